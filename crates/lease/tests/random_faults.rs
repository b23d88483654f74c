//! Random phases of faults, pauses, restarts and clock drift, and the recovery after them.

mod support;

use {
    agate_lease::machine::{self, CallResult, Input, Settings, State},
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    std::time::Duration,
    support::{Fault, Simulation, settings},
};

const STEP: Duration = Duration::from_millis(50);
/// Maximum time for which an order to an endpoint that ignores tokens may be delayed.
const ORDER_LIFE: Duration = Duration::from_secs(2);

/// Caller index of calls whose process has ended.
const DEAD_CALLER: usize = 7;

/// Behaviour of the store and the network in a phase.
#[derive(Clone, Copy, Debug)]
enum Mode {
    Healthy,
    Down,
    Slow,
    Lossy,
}

/// Event at the start of a phase.
#[derive(Clone, Copy, Debug)]
enum Event {
    Nothing,
    Release(usize),
    Restart(usize),
}

#[derive(Clone, Debug)]
struct Phase {
    mode: Mode,
    event: Event,
    steps: u32,
    awake: u8,
    random_state: u64,
}

fn phases() -> impl Strategy<Value = Vec<Phase>> {
    let mode = prop_oneof![
        4 => Just(Mode::Healthy), 1 => Just(Mode::Down), 2 => Just(Mode::Slow), 2 => Just(Mode::Lossy)
    ];
    let event = prop_oneof![
        6 => Just(Event::Nothing),
        1 => (0usize..3).prop_map(Event::Release),
        1 => (0usize..3).prop_map(Event::Restart),
    ];
    let phase = (mode, event, 1u32..240, 0u8..8, any::<u64>()).prop_map(
        |(mode, event, steps, awake, random_state)| Phase {
            mode,
            event,
            steps,
            awake,
            random_state,
        },
    );
    prop::collection::vec(phase, 1..14)
}

/// Orders to an endpoint that ignores tokens.
#[derive(Default)]
struct Orders {
    holder: String,
    last: Duration,
    wait: bool,
}

impl Orders {
    /// Sends an order if `who` may act, and checks that no order of another holder can still
    /// arrive.
    fn send(&mut self, w: &Simulation, who: usize) -> Result<(), String> {
        let (s, local) = (&w.machines[who], w.local(who));
        let Some(first) = machine::first_order_at(s, ORDER_LIFE) else { return Ok(()) };
        if machine::may_act(s, local).is_none() || (self.wait && local < first) {
            return Ok(());
        }
        if s.settings.holder != self.holder && w.now < self.last {
            return Err(format!(
                "order of {} while {}'s may arrive",
                s.settings.holder, self.holder
            ));
        }
        // The sender may be paused for up to a lease between its check and its write.
        self.last = w.now + s.settings.ttl * 9 / 10 + ORDER_LIFE * 9 / 10;
        self.holder = s.settings.holder.clone();
        Ok(())
    }
}

struct Run {
    w: Simulation,
    orders: Orders,
    random_state: u64,
    starts: u32,
}

impl Run {
    fn new(fault: Fault, wait: bool) -> Self {
        // Times in tenths of a second, as in the default settings.
        let times = [60, 6, 20, 20, 5, 10];
        let make = |name| settings(name, Duration::from_millis(100), times);
        let w = Simulation::new(fault, &[950, 1000, 1050], make);
        Self { w, orders: Orders { wait, ..Orders::default() }, random_state: 1, starts: 0 }
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random_state >> 33) % n
    }

    fn start_phase(&mut self, event: Event) {
        match event {
            Event::Nothing => {}
            Event::Release(who) => self.w.step(who, Input::Release),
            Event::Restart(who) => {
                self.starts += 1;
                let holder = format!("h{who}-{}", self.starts);
                let old = &*self.w.machines[who].settings;
                let mut s = State::new(Settings { holder, ..old.clone() });
                s.next_call = self.w.local(who);
                self.w.machines[who] = s;
                // Calls of the old process are still delivered, and nobody receives their results.
                self.w
                    .network
                    .iter_mut()
                    .filter(|n| n.who == who)
                    .for_each(|n| n.who = DEAD_CALLER);
            }
        }
    }

    /// Advances time by one step: wakes the machines that are awake and advances calls according to
    /// `mode`.
    fn advance(&mut self, mode: Mode, awake: u8) -> Result<(), String> {
        self.w.now += STEP;
        self.w.check()?;
        for who in (0..3).filter(|who| awake & (1 << who) != 0) {
            if self.w.due(who) {
                self.w.step(who, Input::Tick);
                self.w.check()?;
            }
            self.orders.send(&self.w, who)?;
        }
        for i in (0..self.w.network.len()).rev() {
            if i < self.w.network.len() {
                self.advance_call(i, mode, awake);
                self.w.check()?;
            }
        }
        Ok(())
    }

    fn advance_call(&mut self, i: usize, mode: Mode, awake: u8) {
        let awake_caller = awake & (1 << self.w.network[i].who) != 0;
        let in_request = self.w.network[i].request.is_some();
        match mode {
            Mode::Slow if self.random_below(15) > 0 => {}
            Mode::Down if awake_caller && in_request => self.w.deliver(i, CallResult::Failed),
            Mode::Lossy if awake_caller && self.random_below(3) == 0 => self.w.lose_result(i),
            Mode::Down => {}
            _ if in_request => self.w.apply_request(i),
            _ if awake_caller => self.w.deliver(i, CallResult::Unknown),
            _ => {}
        }
    }

    fn phase(&mut self, p: &Phase) -> Result<(), String> {
        self.random_state = p.random_state;
        self.start_phase(p.event);
        for _ in 0..p.steps {
            self.advance(p.mode, p.awake)?;
        }
        Ok(())
    }

    /// Restores normal operation; returns the time until an instance holds the lease.
    fn recover(&mut self) -> Result<Duration, String> {
        let start = self.w.now;
        for who in 0..3 {
            self.w.step(who, Input::SetCandidate(true));
        }
        while self.w.acting().is_empty() {
            self.advance(Mode::Healthy, 7)?;
            if self.w.now > start + Duration::from_secs(60) {
                return Err("nobody holds the lease".into());
            }
        }
        Ok(self.w.now - start)
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(21),
        ..Default::default()
    }
}

fn run(phases: &[Phase], fault: Fault, wait: bool) -> Result<Duration, String> {
    let mut run = Run::new(fault, wait);
    for p in phases {
        run.phase(p)?;
    }
    run.recover()
}

proptest! {
    #![proptest_config(config(400))]

    /// No two instances act at once, tokens only increase, orders of two holders never overlap, and
    /// the lease is held again in time.
    #[test]
    fn safety_under_faults(phases in phases()) {
        let took = run(&phases, Fault::None, true).map_err(TestCaseError::fail)?;
        let slowest = Settings::new("x", "h").recovery() * 1000 / 950;
        prop_assert!(took <= slowest, "{took:?} until an instance held the lease again");
    }
}

#[rstest]
#[case::deadline(Fault::DeadlineFromResponse, true)]
#[case::wait(Fault::WaitFromRequest, true)]
#[case::margin(Fault::NoMargin, true)]
#[case::token(Fault::SameToken, true)]
#[case::order(Fault::None, false)]
fn injected_fault(#[case] fault: Fault, #[case] wait: bool) {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        max_shrink_iters: 0,
        ..config(20_000)
    });
    let found =
        runner.run(&phases(), |p| run(&p, fault, wait).map(|_| ()).map_err(TestCaseError::fail));
    let why = found.expect_err("the checks detect the injected fault").to_string();
    assert!(why.contains("act") || why.contains("token") || why.contains("order"), "{why}");
}
