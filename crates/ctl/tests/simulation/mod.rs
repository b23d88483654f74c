//! Simulation in virtual time: two lease holders, engines that ignore fencing tokens, and a network
//! that delays and loses messages. Every order that reaches an engine is checked here,
//! independently of the controller.

use {
    agate_ctl::{
        Action, ChangeIntent, Demand, Engine, EngineState, Grant, Input, Outcome, Piece, Role,
        Settings, Verb, decode, step,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

pub const TICK: Duration = Duration::from_millis(100);
/// Time after which a lease expires unless it is renewed.
pub const LEASE: Duration = Duration::from_secs(10);
/// Longest time until a crash is noticed: the maximum age of a state plus the life of an order.
const DETECTION_TIME: Duration = Duration::from_secs(10);
/// Time that an engine needs for a role change.
const CHANGE_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub zone: u32,
    pub role: Role,
    pub draining: bool,
    pub running: u32,
    pub crashed: Option<Duration>,
    busy: Option<(Duration, Role)>,
    /// Fencing token of the last order; it is recorded for the check and not enforced.
    fence: u64,
}

enum Event {
    Order { engine: usize, verb: Verb, fence: u64, expires: Duration },
    Input { holder: usize, input: Input },
}

pub struct Simulation {
    pub now: Duration,
    pub engines: Vec<FakeEngine>,
    pub holders: Vec<Piece>,
    pub paused: Vec<bool>,
    pub demand: Demand,
    /// Fraction of the messages that are lost.
    pub loss: f64,
    pub orders: usize,
    pub fence: u64,
    record: Vec<u8>,
    queue: Vec<(Duration, Event)>,
    rng: ChaCha8Rng,
}

impl Simulation {
    pub fn new(engines: usize, zones: u32, seed: u64) -> Self {
        let role = |i: usize| {
            if (i / zones as usize).is_multiple_of(2) { Role::Prefill } else { Role::Decode }
        };
        let zone = |i: usize| i as u32 % zones;
        let fake = |i| FakeEngine {
            zone: zone(i),
            role: role(i),
            draining: false,
            running: 4,
            crashed: None,
            busy: None,
            fence: 0,
        };
        let listed = |i| Engine::new(format!("engine-{i}"), zone(i), role(i));
        let settings = Settings { away: Duration::from_secs(10), ..Settings::default() };
        let piece = Piece::new(settings, (0..engines).map(listed).collect());
        Self {
            now: Duration::ZERO,
            engines: (0..engines).map(fake).collect(),
            holders: vec![piece.clone(), piece],
            paused: vec![false; 2],
            demand: Demand::default(),
            loss: 0.0,
            orders: 0,
            fence: 0,
            record: Vec::new(),
            queue: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Grants the lease. The former holder may send orders until `former_until`, and they may
    /// arrive until the last one expires.
    pub fn grant(&mut self, holder: usize, former_until: Duration) {
        self.fence += 1;
        let life = self.holders[holder].settings.order_life;
        let first_order =
            former_until.max(self.now) + if self.fence > 1 { life } else { Duration::ZERO };
        let grant = Grant { fence: self.fence, until: self.now + LEASE, first_order };
        let saved: Vec<ChangeIntent> = decode(&self.record).map(|r| r.1).unwrap_or_default();
        step(&mut self.holders[holder], Input::Granted(grant, saved), self.now);
    }

    pub fn renew(&mut self, holder: usize) {
        let until = self.now + LEASE;
        step(&mut self.holders[holder], Input::Renewed(until), self.now);
    }

    pub fn advance(&mut self) {
        self.now += TICK;
        self.work();
        let due: Vec<_> = self.queue.extract_if(.., |(at, _)| *at <= self.now).collect();
        for (_, a) in due {
            self.deliver(a);
        }
        for h in 0..self.holders.len() {
            if !self.paused[h] {
                self.input(h, Input::Observed(self.demand));
                self.input(h, Input::Tick);
            }
        }
    }

    fn work(&mut self) {
        for f in &mut self.engines {
            if f.draining && self.rng.random_bool(0.1) {
                f.running = f.running.saturating_sub(1);
            }
            if let Some((until, role)) = f.busy
                && self.now >= until
            {
                (f.role, f.busy) = (role, None);
            }
        }
    }

    fn deliver(&mut self, a: Event) {
        match a {
            Event::Order { engine, verb, fence, expires } if self.now <= expires => {
                self.execute(engine, verb, fence);
            }
            Event::Order { .. } => {}
            Event::Input { holder, input } => self.input(holder, input),
        }
    }

    fn execute(&mut self, engine: usize, verb: Verb, fence: u64) {
        let f = self.engines[engine].clone();
        self.orders += 1;
        assert!(fence >= f.fence, "an order of a former holder arrived after one of its successor");
        assert!(f.busy.is_none(), "an order reached an engine that was executing another one");
        if f.crashed.is_some() {
            return;
        }
        // A crash is noticed late, and the order may have been sent before.
        let known_crashed =
            |g: &FakeEngine| g.crashed.is_some_and(|t| self.now > t + DETECTION_TIME);
        let replaces = |(j, g): (usize, &FakeEngine)| {
            j != engine && g.zone == f.zone && g.role == f.role && !g.draining && !known_crashed(g)
        };
        let served = self.engines.iter().enumerate().any(replaces);
        let e = &mut self.engines[engine];
        e.fence = fence;
        match verb {
            Verb::Drain => {
                assert!(served, "the last engine of a role was drained");
                e.draining = true;
            }
            Verb::Undrain => (e.draining, e.running) = (false, 4),
            Verb::Role(role) => {
                assert!(f.draining && f.running == 0, "a role change interrupted requests");
                assert!(served, "the last engine of a role changed its role");
                e.busy = Some((self.now + CHANGE_TIME, role));
            }
        }
    }

    fn input(&mut self, holder: usize, input: Input) {
        for a in step(&mut self.holders[holder], input, self.now) {
            self.perform(holder, a);
        }
    }

    fn delivery_time(&mut self) -> Duration {
        self.now + Duration::from_millis(self.rng.random_range(1..800))
    }

    fn perform(&mut self, holder: usize, a: Action) {
        let lost = self.rng.random_bool(self.loss);
        match a {
            Action::Write { number, bytes } => {
                let (fence, _) = decode(&bytes).expect("the record was encoded by this version");
                let stored = fence == self.fence && !lost;
                if stored {
                    self.record = bytes;
                }
                let input = if stored { Input::Recorded(number) } else { Input::RecordFailed };
                let at = self.delivery_time();
                self.queue.push((at, Event::Input { holder, input }));
            }
            Action::Read { engine, number } => {
                let f = &self.engines[engine];
                let (role, draining, running) = (f.role, f.draining, f.running);
                let busy = f.busy.is_some();
                let reading = EngineState { role, draining, running, busy };
                let reading = (f.crashed.is_none() && !lost).then_some(reading);
                let at = self.delivery_time();
                let input = Input::Read(engine, number, reading);
                self.queue.push((at, Event::Input { holder, input }));
            }
            Action::Order { engine, fence, number, verb, expires } => {
                // If the response is lost, the order may arrive until it expires.
                let life = (expires - self.now).as_millis() as u64;
                let late = self.now + Duration::from_millis(self.rng.random_range(0..=life));
                let answered = self.delivery_time().min(expires);
                let at = if lost { late } else { answered };
                self.queue.push((at, Event::Order { engine, verb, fence, expires }));
                let outcome = if lost { Outcome::Unknown } else { Outcome::Done };
                let input = Input::Ordered(engine, number, outcome);
                self.queue.push((answered, Event::Input { holder, input }));
            }
        }
    }

    pub fn count(&self, role: Role) -> usize {
        self.engines.iter().filter(|f| f.role == role && f.busy.is_none()).count()
    }
}
