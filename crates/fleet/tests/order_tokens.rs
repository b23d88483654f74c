//! Orders must take effect once, also if responses are lost, the lease holder changes or the store
//! fails; a duplicate would pay for endpoints that are not needed. Also covered: the loss of a
//! zone, missing authority, the budget and releases.

use {
    agate_core::Mono,
    agate_fleet::{
        Action, Endpoint, EndpointState, Grant, Input, Kind, Name, Outcome, Record, Settings,
        State, decode, step,
    },
    indexmap::IndexMap,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::time::Duration,
};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Seconds from an order until the fake platform lists its endpoints.
const LAG: u64 = 30;

fn settings() -> Settings {
    let secs = Duration::from_secs;
    let hold = secs(20);
    Settings { lag: secs(LAG), hold, ..Settings::new("pool", &ZONES, 100.0) }
}

/// Fake platform, stored record and current lease holder.
struct Harness {
    state: State,
    record: Record,
    now: Mono,
    fence: u64,
    /// Executed orders by token.
    orders: IndexMap<String, (Name, Kind, u32, Mono)>,
    released: Vec<Name>,
    rng: ChaCha8Rng,
    /// Probability that a response is lost.
    loss: f64,
    /// Probability that a write of the record fails.
    outage: f64,
}

impl Harness {
    fn new(settings: Settings, seed: u64) -> Self {
        let mut h = Self {
            state: State::new(settings.clone()),
            record: Record::default(),
            now: Mono::ZERO,
            fence: 0,
            orders: IndexMap::new(),
            released: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            outage: 0.0,
        };
        h.change_holder(settings);
        h
    }

    /// Replaces the holder by one that starts from the stored record.
    fn change_holder(&mut self, settings: Settings) {
        self.fence += 1;
        self.state = State::new(settings);
        let first_order = self.now + Duration::from_secs(2);
        let grant = Grant { fence: self.fence, until: Mono::MAX, first_order };
        self.feed(Input::Granted(grant, self.record.clone()));
    }

    fn list(&self) -> Vec<Endpoint> {
        let mut list = Vec::new();
        for (token, (zone, kind, count, at)) in &self.orders {
            let arrived = (0..*count).filter(|_| self.now >= *at + Duration::from_secs(LAG));
            list.extend(arrived.map(|i| Endpoint {
                name: format!("{token}-{i}").into(),
                zone: zone.clone(),
                kind: *kind,
                state: EndpointState::Live,
                declared: false,
            }));
        }
        list.retain(|e| !self.released.contains(&e.name));
        list
    }

    fn feed(&mut self, input: Input) {
        for action in step(&mut self.state, input, self.now) {
            match action {
                Action::Write { number, bytes } => {
                    let failed = self.rng.random_bool(self.outage);
                    if !failed {
                        self.record =
                            decode(&bytes).expect("the record was encoded by this version");
                    }
                    // The response of a successful write may be lost too.
                    let lost = failed || self.rng.random_bool(self.loss);
                    self.feed(if lost { Input::RecordFailed } else { Input::Recorded(number) });
                }
                Action::Order { zone, kind, count, token } => {
                    let known = self.record.intents.iter().any(|i| i.token("pool") == token);
                    assert!(known, "{token} was ordered before its intent was stored");
                    let order = (zone, kind, count, self.now);
                    self.orders.entry(token.clone()).or_insert(order);
                    self.respond(token);
                }
                Action::Release { endpoint, token } => {
                    self.released.push(endpoint);
                    self.respond(token);
                }
            }
        }
    }

    fn respond(&mut self, token: String) {
        let lost = self.rng.random_bool(self.loss);
        let outcome = if lost { Outcome::Unknown } else { Outcome::Accepted };
        self.feed(Input::Responded(token, outcome));
    }

    fn run_second(&mut self, deadline: f64, long: f64) {
        self.now += Duration::from_secs(1);
        self.feed(Input::Listed(self.list()));
        self.feed(Input::Observed { deadline, long });
        let draining: Vec<_> = self.state.draining().cloned().collect();
        draining.into_iter().for_each(|n| self.feed(Input::Idle(n)));
        self.feed(Input::Tick);
    }

    fn ordered(&self) -> u32 {
        self.orders.values().map(|o| o.2).sum()
    }
}

/// With constant demand the number of ordered endpoints does not depend on faults.
#[rstest]
#[case::no_faults(0.0, 0.0, 1000)]
#[case::lost_responses(0.5, 0.0, 1000)]
#[case::store_outage(0.0, 0.7, 1000)]
#[case::holder_changes(0.0, 0.0, 5)]
#[case::all(0.5, 0.5, 7)]
fn no_duplicate_orders(#[case] loss: f64, #[case] outage: f64, #[case] term: u64) {
    let mut baseline = Harness::new(settings(), 1);
    (0..120).for_each(|_| baseline.run_second(900.0, 300.0));
    assert!(baseline.ordered() >= 13, "too few endpoints were ordered for the demand");
    for seed in 0..40 {
        let mut h = Harness::new(settings(), seed);
        (h.loss, h.outage) = (loss, outage);
        for i in 1..240 {
            h.run_second(900.0, 300.0);
            if i % term == 0 {
                h.change_holder(settings());
            }
        }
        assert_eq!(h.ordered(), baseline.ordered(), "seed {seed}");
        assert!(h.released.is_empty(), "seed {seed}");
    }
}

/// The loss of all cheap endpoints of any one zone leaves enough capacity for deadline work.
#[rstest]
#[case(900.0, 300.0)]
#[case(100.0, 2_000.0)]
#[case(2_500.0, 0.0)]
fn zone_loss(#[case] deadline: f64, #[case] long: f64) {
    let mut h = Harness::new(settings(), 1);
    (0..120).for_each(|_| h.run_second(deadline, long));
    let list = h.list();
    for zone in ZONES {
        let stays = |e: &&Endpoint| e.kind == Kind::Standard || &*e.zone != zone;
        let left = list.iter().filter(stays).count() as f64;
        assert!(left * 100.0 >= deadline, "zone {zone}: {left} left");
    }
}

/// Nothing is ordered without a lease, nor before `first_order` of a grant.
#[test]
fn no_authority() {
    let mut h = Harness::new(settings(), 1);
    h.feed(Input::Lost);
    (0..60).for_each(|_| h.run_second(900.0, 300.0));
    assert!(h.orders.is_empty());
    h.change_holder(settings());
    h.run_second(900.0, 300.0);
    assert!(h.orders.is_empty(), "ordered while an order of the previous holder may still arrive");
    (0..5).for_each(|_| h.run_second(900.0, 300.0));
    assert!(!h.orders.is_empty());
}

/// The cost stays within the budget, and long work is shed before deadline work.
#[test]
fn budget_limit() {
    let mut h = Harness::new(Settings { budget: 5.0, ..settings() }, 1);
    for i in 0..200 {
        h.run_second(600.0, 900.0);
        let price = |o: &(Name, Kind, u32, Mono)| settings().price(o.1) * f64::from(o.2);
        let cost: f64 = h.orders.values().map(price).sum();
        assert!(cost <= 5.0, "second {i}: {cost}");
    }
    let unserved = h.state.unserved();
    assert!(unserved.long > 0.0 && unserved.deadline < 1e-9, "{unserved:?}");
}

/// Endpoints that stay unneeded are drained and released, but never the last one of a zone.
#[test]
fn last_of_zone() {
    let mut h = Harness::new(settings(), 1);
    (0..120).for_each(|_| h.run_second(900.0, 300.0));
    let before = h.list().len();
    (0..300).for_each(|_| h.run_second(50.0, 0.0));
    let list = h.list();
    assert!(list.len() < before, "nothing was released");
    for zone in ZONES {
        assert!(list.iter().any(|e| &*e.zone == zone), "zone {zone} has no endpoint left");
    }
}
