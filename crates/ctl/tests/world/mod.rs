//! Two holders, engines that ignore fencing tokens, and a network that delays and loses, in virtual
//! time. Every order that reaches an engine is checked here, apart from the code that gave it.

use {
    agate_ctl::{
        Action, Demand, Engine, Grant, Input, Outcome, Piece, Reading, Role, Saved, Settings, Verb,
        decode, step,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

pub const TICK: Duration = Duration::from_millis(100);
/// Time for which a granted authority lasts unless renewed.
pub const LEASE: Duration = Duration::from_secs(10);
/// Time for which a crash may go unnoticed: the age of a proof and the life of an order.
const UNSEEN: Duration = Duration::from_secs(10);
/// Time that a role change takes an engine.
const CHANGING: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub struct Fake {
    pub zone: u32,
    pub role: Role,
    pub draining: bool,
    pub running: u32,
    pub crashed: Option<Duration>,
    busy: Option<(Duration, Role)>,
    /// Fencing token of the last order; an engine that ignores tokens only remembers it.
    fence: u64,
}

enum Arrival {
    Order { engine: usize, verb: Verb, fence: u64, expires: Duration },
    Input { holder: usize, input: Input },
}

pub struct World {
    pub now: Duration,
    pub fakes: Vec<Fake>,
    pub holders: Vec<Piece>,
    pub paused: Vec<bool>,
    pub demand: Demand,
    /// Share of answers lost.
    pub loss: f64,
    pub orders: usize,
    pub fence: u64,
    record: Vec<u8>,
    queue: Vec<(Duration, Arrival)>,
    rng: ChaCha8Rng,
}

impl World {
    pub fn new(engines: usize, zones: u32, seed: u64) -> Self {
        let role = |i: usize| {
            if (i / zones as usize).is_multiple_of(2) { Role::Prefill } else { Role::Decode }
        };
        let zone = |i: usize| i as u32 % zones;
        let fake = |i| Fake {
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
            fakes: (0..engines).map(fake).collect(),
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

    /// Grants authority; the former holder may act until `former`, in engines' sight up to the life
    /// of its last order.
    pub fn grant(&mut self, holder: usize, former: Duration) {
        self.fence += 1;
        let life = self.holders[holder].settings.order_life;
        let first_order = former.max(self.now) + if self.fence > 1 { life } else { Duration::ZERO };
        let grant = Grant { fence: self.fence, until: self.now + LEASE, first_order };
        let saved: Vec<Saved> = decode(&self.record).map(|r| r.1).unwrap_or_default();
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
            self.arrive(a);
        }
        for h in 0..self.holders.len() {
            if !self.paused[h] {
                self.input(h, Input::Observed(self.demand));
                self.input(h, Input::Tick);
            }
        }
    }

    fn work(&mut self) {
        for f in &mut self.fakes {
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

    fn arrive(&mut self, a: Arrival) {
        match a {
            Arrival::Order { engine, verb, fence, expires } if self.now <= expires => {
                self.carry_out(engine, verb, fence);
            }
            Arrival::Order { .. } => {}
            Arrival::Input { holder, input } => self.input(holder, input),
        }
    }

    fn carry_out(&mut self, engine: usize, verb: Verb, fence: u64) {
        let f = self.fakes[engine].clone();
        self.orders += 1;
        assert!(fence >= f.fence, "an order of a former holder followed one of its successor");
        assert!(f.busy.is_none(), "an order reached an engine that carried out another");
        if f.crashed.is_some() {
            return;
        }
        // A crash is seen only after a while, and the order may be on its way by then.
        let gone = |g: &Fake| g.crashed.is_some_and(|t| self.now > t + UNSEEN);
        let alike = |(j, g): (usize, &Fake)| {
            j != engine && g.zone == f.zone && g.role == f.role && !g.draining && !gone(g)
        };
        let served = self.fakes.iter().enumerate().any(alike);
        let e = &mut self.fakes[engine];
        e.fence = fence;
        match verb {
            Verb::Drain => {
                assert!(served, "the last of a role was drained");
                e.draining = true;
            }
            Verb::Undrain => (e.draining, e.running) = (false, 4),
            Verb::Role(role) => {
                assert!(f.draining && f.running == 0, "a planned change cut requests");
                assert!(served, "the last of a role was taken");
                e.busy = Some((self.now + CHANGING, role));
            }
        }
    }

    fn input(&mut self, holder: usize, input: Input) {
        for a in step(&mut self.holders[holder], input, self.now) {
            self.act(holder, a);
        }
    }

    fn soon(&mut self) -> Duration {
        self.now + Duration::from_millis(self.rng.random_range(1..800))
    }

    fn act(&mut self, holder: usize, a: Action) {
        let lost = self.rng.random_bool(self.loss);
        match a {
            Action::Write { number, bytes } => {
                let (fence, _) = decode(&bytes).expect("a record decodes");
                let kept = fence == self.fence && !lost;
                if kept {
                    self.record = bytes;
                }
                let input = if kept { Input::Recorded(number) } else { Input::Unrecorded };
                let at = self.soon();
                self.queue.push((at, Arrival::Input { holder, input }));
            }
            Action::Read { engine, number } => {
                let f = &self.fakes[engine];
                let (role, draining, running) = (f.role, f.draining, f.running);
                let busy = f.busy.is_some();
                let reading = Reading { role, draining, running, busy };
                let reading = (f.crashed.is_none() && !lost).then_some(reading);
                let at = self.soon();
                let input = Input::Read(engine, number, reading);
                self.queue.push((at, Arrival::Input { holder, input }));
            }
            Action::Order { engine, fence, number, verb, expires } => {
                // With a lost answer the order may come as late as its connection allows.
                let life = (expires - self.now).as_millis() as u64;
                let late = self.now + Duration::from_millis(self.rng.random_range(0..=life));
                let answered = self.soon().min(expires);
                let at = if lost { late } else { answered };
                self.queue.push((at, Arrival::Order { engine, verb, fence, expires }));
                let outcome = if lost { Outcome::Unknown } else { Outcome::Done };
                let input = Input::Ordered(engine, number, outcome);
                self.queue.push((answered, Arrival::Input { holder, input }));
            }
        }
    }

    pub fn count(&self, role: Role) -> usize {
        self.fakes.iter().filter(|f| f.role == role && f.busy.is_none()).count()
    }
}
