//! Random phases of faults, pauses, restarts and clock drift; and recovery after they end.

mod support;

use {
    agate_lease::machine::{self, Answer, Input, Settings, State},
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    std::time::Duration,
    support::{Plant, World, settings},
};

const STEP: Duration = Duration::from_millis(50);
/// Longest life of an order to an endpoint that ignores tokens.
const LIFE: Duration = Duration::from_secs(2);

/// Caller of calls whose process is gone.
const GONE: usize = 7;

/// How the store and the network behave in a phase.
#[derive(Clone, Copy, Debug)]
enum Mode {
    Healthy,
    Down,
    Slow,
    Lossy,
}

/// What happens at the start of a phase.
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
    noise: u64,
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
    let phase = (mode, event, 1u32..240, 0u8..8, any::<u64>())
        .prop_map(|(mode, event, steps, awake, noise)| Phase { mode, event, steps, awake, noise });
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
    /// Sends an order if `who` may, and checks that no other holder's order can still arrive.
    fn send(&mut self, w: &World, who: usize) -> Result<(), String> {
        let (s, local) = (&w.machines[who], w.local(who));
        let Some(first) = machine::first_order_at(s, LIFE) else { return Ok(()) };
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
        self.last = w.now + s.settings.ttl * 9 / 10 + LIFE * 9 / 10;
        self.holder = s.settings.holder.clone();
        Ok(())
    }
}

struct Run {
    w: World,
    orders: Orders,
    noise: u64,
    starts: u32,
}

impl Run {
    fn new(plant: Plant, wait: bool) -> Self {
        // Times in tenths of a second, as in the usual settings.
        let times = [60, 6, 20, 20, 5, 10];
        let make = |name| settings(name, Duration::from_millis(100), times);
        let w = World::new(plant, &[950, 1000, 1050], make);
        Self { w, orders: Orders { wait, ..Orders::default() }, noise: 1, starts: 0 }
    }

    fn draw(&mut self, n: u64) -> u64 {
        self.noise = self.noise.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.noise >> 33) % n
    }

    fn begin(&mut self, event: Event) {
        match event {
            Event::Nothing => {}
            Event::Release(who) => self.w.step(who, Input::Release),
            Event::Restart(who) => {
                self.starts += 1;
                let holder = format!("h{who}-{}", self.starts);
                let old = &*self.w.machines[who].settings;
                let mut s = State::new(Settings { holder, ..old.clone() });
                s.next = self.w.local(who);
                self.w.machines[who] = s;
                // Calls of the old process stay on their way, and their answers reach nobody.
                self.w.nets.iter_mut().filter(|n| n.who == who).for_each(|n| n.who = GONE);
            }
        }
    }

    /// One step of time, in which awake machines are woken and calls go on as `mode` says.
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
        for i in (0..self.w.nets.len()).rev() {
            if i < self.w.nets.len() {
                self.go_on(i, mode, awake);
                self.w.check()?;
            }
        }
        Ok(())
    }

    fn go_on(&mut self, i: usize, mode: Mode, awake: u8) {
        let hears = awake & (1 << self.w.nets[i].who) != 0;
        let waits = self.w.nets[i].request.is_some();
        match mode {
            Mode::Slow if self.draw(15) > 0 => {}
            Mode::Down if hears && waits => self.w.deliver(i, Answer::Failed),
            Mode::Lossy if hears && self.draw(3) == 0 => self.w.lose(i),
            Mode::Down => {}
            _ if waits => self.w.apply(i),
            _ if hears => self.w.deliver(i, Answer::Unknown),
            _ => {}
        }
    }

    fn phase(&mut self, p: &Phase) -> Result<(), String> {
        self.noise = p.noise;
        self.begin(p.event);
        for _ in 0..p.steps {
            self.advance(p.mode, p.awake)?;
        }
        Ok(())
    }

    /// Lets everything work again; returns the time until someone acts.
    fn recover(&mut self) -> Result<Duration, String> {
        let start = self.w.now;
        for who in 0..3 {
            self.w.step(who, Input::Wants(true));
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

fn run(phases: &[Phase], plant: Plant, wait: bool) -> Result<Duration, String> {
    let mut run = Run::new(plant, wait);
    for p in phases {
        run.phase(p)?;
    }
    run.recover()
}

proptest! {
    #![proptest_config(config(400))]

    /// Never two act, tokens only grow, orders never cross, and the lease is held again in time.
    #[test]
    fn faults_keep_order(phases in phases()) {
        let took = run(&phases, Plant::Sound, true).map_err(TestCaseError::fail)?;
        let slowest = Settings::new("x", "h").recovery() * 1000 / 950;
        prop_assert!(took <= slowest, "{took:?} until someone held the lease again");
    }
}

#[rstest]
#[case::deadline(Plant::DeadlineFromAnswer, true)]
#[case::wait(Plant::WaitFromRequest, true)]
#[case::margin(Plant::NoMargin, true)]
#[case::token(Plant::SameToken, true)]
#[case::order(Plant::Sound, false)]
fn planted_fault_found(#[case] plant: Plant, #[case] wait: bool) {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        max_shrink_iters: 0,
        ..config(20_000)
    });
    let found =
        runner.run(&phases(), |p| run(&p, plant, wait).map(|_| ()).map_err(TestCaseError::fail));
    let why = found.expect_err("the checks see the planted fault").to_string();
    assert!(why.contains("act") || why.contains("token") || why.contains("order"), "{why}");
}
