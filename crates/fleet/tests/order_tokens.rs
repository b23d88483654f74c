//! An order has its effect once, whatever happens to its answer, its holder or the store.

use {
    agate_core::Mono,
    agate_fleet::{
        Action, Endpoint, Grant, Input, Kind, Life, Name, Outcome, Record, Settings, State, decode,
        step,
    },
    indexmap::IndexMap,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::time::Duration,
};

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time from an order to its endpoints in the fake platform, in seconds.
const LAG: u64 = 30;

fn settings() -> Settings {
    let secs = Duration::from_secs;
    let hold = secs(20);
    Settings { lag: secs(LAG), hold, ..Settings::new("pool", &ZONES, 100.0) }
}

/// A platform, a store with the record, and the present holder.
struct Bench {
    state: State,
    record: Record,
    now: Mono,
    fence: u64,
    /// Effective orders by token.
    orders: IndexMap<String, (Name, Kind, u32, Mono)>,
    released: Vec<Name>,
    rng: ChaCha8Rng,
    /// Chance that an answer is lost.
    loss: f64,
    /// Chance that a write of the record fails.
    outage: f64,
}

impl Bench {
    fn open(settings: Settings, seed: u64) -> Self {
        let mut bench = Self {
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
        bench.succeed(settings);
        bench
    }

    /// Replaces the holder by one that knows the record only.
    fn succeed(&mut self, settings: Settings) {
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
                life: Life::Live,
                fixed: false,
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
                        self.record = decode(&bytes).expect("it was just encoded");
                    }
                    // The answer of a write that took effect may be lost too.
                    let lost = failed || self.rng.random_bool(self.loss);
                    self.feed(if lost { Input::Unrecorded } else { Input::Recorded(number) });
                }
                Action::Order { zone, kind, count, token } => {
                    let known = self.record.intents.iter().any(|i| i.token("pool") == token);
                    assert!(known, "{token} was ordered before it was recorded");
                    let order = (zone, kind, count, self.now);
                    self.orders.entry(token.clone()).or_insert(order);
                    self.answer(token);
                }
                Action::Release { endpoint, token } => {
                    self.released.push(endpoint);
                    self.answer(token);
                }
            }
        }
    }

    fn answer(&mut self, token: String) {
        let lost = self.rng.random_bool(self.loss);
        let outcome = if lost { Outcome::Unknown } else { Outcome::Taken };
        self.feed(Input::Answered(token, outcome));
    }

    fn second(&mut self, deadline: f64, long: f64) {
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

/// With a steady demand every endpoint ordered is one that is needed: none is ordered twice.
#[rstest]
#[case::calm(0.0, 0.0, 1000)]
#[case::lost_answers(0.5, 0.0, 1000)]
#[case::store_outage(0.0, 0.7, 1000)]
#[case::holders_change(0.0, 0.0, 5)]
#[case::all(0.5, 0.5, 7)]
fn ordered_once(#[case] loss: f64, #[case] outage: f64, #[case] term: u64) {
    let mut calm = Bench::open(settings(), 1);
    (0..120).for_each(|_| calm.second(900.0, 300.0));
    assert!(calm.ordered() >= 13, "the need is not met");
    for seed in 0..40 {
        let mut bench = Bench::open(settings(), seed);
        (bench.loss, bench.outage) = (loss, outage);
        for i in 1..240 {
            bench.second(900.0, 300.0);
            if i % term == 0 {
                bench.succeed(settings());
            }
        }
        assert_eq!(bench.ordered(), calm.ordered(), "seed {seed}");
        assert!(bench.released.is_empty(), "seed {seed}");
    }
}

/// The loss of any one zone's cheap endpoints leaves enough for the deadline work.
#[rstest]
#[case(900.0, 300.0)]
#[case(100.0, 2_000.0)]
#[case(2_500.0, 0.0)]
fn zone_lost(#[case] deadline: f64, #[case] long: f64) {
    let mut bench = Bench::open(settings(), 1);
    (0..120).for_each(|_| bench.second(deadline, long));
    let list = bench.list();
    for zone in ZONES {
        let stays = |e: &&Endpoint| e.kind == Kind::Standard || &*e.zone != zone;
        let left = list.iter().filter(stays).count() as f64;
        assert!(left * 100.0 >= deadline, "zone {zone}: {left} left");
    }
}

/// Without authority nothing is ordered, and before `first_order` neither.
#[test]
fn no_authority() {
    let mut bench = Bench::open(settings(), 1);
    bench.feed(Input::Lost);
    (0..60).for_each(|_| bench.second(900.0, 300.0));
    assert!(bench.orders.is_empty());
    bench.succeed(settings());
    bench.second(900.0, 300.0);
    assert!(bench.orders.is_empty(), "an order of the last holder might still arrive");
    (0..5).for_each(|_| bench.second(900.0, 300.0));
    assert!(!bench.orders.is_empty());
}

/// A budget is never exceeded, and long work is given up before deadline work.
#[test]
fn budget_kept() {
    let mut bench = Bench::open(Settings { budget: 5.0, ..settings() }, 1);
    for i in 0..200 {
        bench.second(600.0, 900.0);
        let price = |o: &(Name, Kind, u32, Mono)| settings().price(o.1) * f64::from(o.2);
        let cost: f64 = bench.orders.values().map(price).sum();
        assert!(cost <= 5.0, "second {i}: {cost}");
    }
    let short = bench.state.short();
    assert!(short.long > 0.0 && short.deadline < 1e-9, "{short:?}");
}

/// What is superfluous for long enough is drained and released, but never the last of a zone.
#[test]
fn last_stays() {
    let mut bench = Bench::open(settings(), 1);
    (0..120).for_each(|_| bench.second(900.0, 300.0));
    let before = bench.list().len();
    (0..300).for_each(|_| bench.second(50.0, 0.0));
    let list = bench.list();
    assert!(list.len() < before, "nothing was released");
    for zone in ZONES {
        assert!(list.iter().any(|e| &*e.zone == zone), "zone {zone} has no endpoint left");
    }
}
