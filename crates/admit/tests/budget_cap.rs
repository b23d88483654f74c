//! Spend never exceeds the cap, whichever messages are lost, delayed, duplicated or partitioned.

use {
    agate_admit::budget::{
        Amount,
        owner::{Action, Input, Owner},
        spender::Spender,
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

const CAP: Amount = 100_000;
const SPENDERS: usize = 8;

/// Two instances that both believe to be the owner, eight spenders and one store record.
struct World {
    record: Amount,
    owners: [Owner<usize>; 2],
    spenders: Vec<Spender>,
    grants: Vec<(usize, Amount)>,
    charged: Vec<(usize, Amount)>,
}

#[derive(Clone, Debug)]
enum Step {
    Spend(usize, Amount),
    Refund(usize, u8),
    Ask { spender: usize, owner: usize, store: Store },
    Deliver(usize),
    Restart(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Store {
    Works,
    Down,
    ResponseLost,
}

impl World {
    fn new() -> Self {
        let owners = [Owner::new(CAP, 0), Owner::new(CAP, 0)];
        let spenders = vec![Spender::default(); SPENDERS];
        Self { record: 0, owners, spenders, grants: Vec::new(), charged: Vec::new() }
    }

    fn act(&mut self, owner: usize, input: Input<usize>, store: Store) {
        for action in self.owners[owner].step(input) {
            match action {
                Action::Grant { spender, total, .. } => self.grants.push((spender, total)),
                Action::Deny { .. } => {}
                Action::Reserve { period, from, to } => {
                    let input = self.swap(period, from, to, store);
                    self.act(owner, input, store);
                }
            }
        }
    }

    fn swap(&mut self, period: u64, from: Amount, to: Amount, store: Store) -> Input<usize> {
        if store == Store::Down {
            return Input::Lost;
        }
        if self.record != from {
            return Input::Conflict { period, total: self.record };
        }
        self.record = to;
        match store {
            Store::ResponseLost => Input::Lost,
            _ => Input::Reserved { period, total: to },
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Spend(i, amount) => {
                if self.spenders[i].charge(amount) {
                    self.charged.push((i, amount));
                }
            }
            Step::Refund(i, percent) => {
                if !self.charged.is_empty() {
                    let n = i % self.charged.len();
                    let (spender, amount) = self.charged.swap_remove(n);
                    self.spenders[spender].refund(0, amount * u64::from(percent) / 100);
                }
            }
            Step::Ask { spender, owner, store } => {
                if let Some(ask) = self.spenders[spender].ask(500) {
                    let (period, granted, want) = (ask.period, ask.granted, ask.want);
                    self.act(owner, Input::Ask { spender, period, granted, want }, store);
                }
            }
            Step::Deliver(n) => {
                if !self.grants.is_empty() {
                    let (spender, total) = self.grants[n % self.grants.len()];
                    self.spenders[spender].grant(0, total);
                }
            }
            Step::Restart(owner) => self.owners[owner] = Owner::new(CAP, 0),
        }
    }

    fn spent(&self) -> Amount {
        self.spenders.iter().map(Spender::spent).sum()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let store = prop_oneof![6 => Just(Store::Works), 1 => Just(Store::Down), 1 => Just(Store::ResponseLost)];
    prop_oneof![
        4 => (0..SPENDERS, 1..4000u64).prop_map(|(i, a)| Step::Spend(i, a)),
        1 => (0..64usize, 0..=100u8).prop_map(|(i, p)| Step::Refund(i, p)),
        4 => (0..SPENDERS, 0..2usize, store)
            .prop_map(|(spender, owner, store)| Step::Ask { spender, owner, store }),
        6 => any::<usize>().prop_map(Step::Deliver),
        1 => (0..40usize).prop_map(|i| if i < 2 { Step::Restart(i) } else { Step::Deliver(i) }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..ProptestConfig::with_cases(256)
    })]

    /// Guards against spending more than the reserved total or the cap in any sequence of faults.
    #[test]
    fn cap_respected(steps in proptest::collection::vec(step(), 1..800)) {
        let mut world = World::new();
        for step in steps {
            world.run(step);
            prop_assert!(world.spent() <= world.record);
            prop_assert!(world.record <= CAP);
        }
    }
}

/// Guards against a cap that cannot be spent because too much of it stays in unused slices.
#[test]
fn cap_reached() {
    let mut world = World::new();
    for round in 0..400 {
        for spender in 0..SPENDERS {
            world.run(Step::Spend(spender, 300));
            world.run(Step::Ask { spender, owner: 0, store: Store::Works });
            let last = world.grants.len().saturating_sub(1);
            world.run(Step::Deliver(last));
        }
        assert!(world.spent() <= CAP, "round {round}");
    }
    assert!(world.spent() * 100 >= CAP * 95, "only {} of {CAP} could be spent", world.spent());
}

/// Without an owner, a spender can spend the rest of its slice and no more.
#[test]
fn spending_without_owner() {
    let mut world = World::new();
    for _ in 0..3 {
        world.run(Step::Spend(0, 300));
        world.run(Step::Ask { spender: 0, owner: 0, store: Store::Works });
        world.run(Step::Deliver(world.grants.len().saturating_sub(1)));
    }
    let left = world.spenders[0].left();
    assert!(left > 0);
    assert!(world.spenders[0].charge(left));
    assert!(!world.spenders[0].charge(1), "without an owner the slice is the bound");
}

/// Guards against refunds and grants of an earlier period that change the current one.
#[test]
fn new_period() {
    let mut spender = Spender::default();
    spender.grant(0, 1000);
    assert!(spender.charge(600));
    spender.advance(1);
    assert_eq!(spender.left(), 0);
    spender.refund(0, 600);
    spender.grant(0, 2000);
    assert_eq!(spender.left(), 0, "what belongs to the old period has no effect");
}
