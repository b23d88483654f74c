//! The budget of repeated attempts holds over all instances together.

use {
    agate_audit::repeats::{self, Arrival, Excess, excess},
    agate_relay::{
        arrivals::Arrivals,
        headcount::Headcount,
        spare::{Budget, Rates},
    },
    rstest::rstest,
    std::time::Duration,
};

const RATES: Rates = Rates { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };

/// Length of a run, several windows.
const LENGTH: u64 = 60_000;

/// One incarnation of an instance.
struct Instance {
    budget: Budget,
    headcount: Headcount,
    listed: Duration,
}

impl Instance {
    fn start(now: Duration) -> Self {
        let headcount = Headcount::new(RATES.window, now);
        Self { budget: Budget::new(RATES), headcount, listed: Duration::ZERO }
    }

    /// Reads a list of `count` instances, with this one on it if `listed`.
    fn read(&mut self, count: usize, listed: bool, now: Duration) {
        self.headcount.note(count, now);
        if listed {
            self.listed = now;
        }
    }

    /// Tries to send a request once more; returns whether that is permitted.
    fn repeat(&mut self, now: Duration) -> bool {
        let sharing = self.headcount.sharing(Some(now.saturating_sub(self.listed)), now);
        repeat(&self.budget, sharing, now)
    }
}

/// Sends a request twice if the budget permits the second time.
fn repeat(budget: &Budget, sharing: Option<usize>, now: Duration) -> bool {
    let mut arrivals = Arrivals::default();
    arrivals.admit(|| unreachable!("the first call is free")).expect("the first call");
    arrivals.admit(|| budget.take(sharing, now)).is_some()
}

/// What endpoints and callers saw.
#[derive(Default)]
struct Seen {
    requests: Vec<Duration>,
    arrivals: Vec<Arrival>,
}

impl Seen {
    fn request(&mut self, repeated: bool, now: Duration) {
        let request = format!("r{}", self.requests.len());
        self.requests.push(now);
        for _ in 0..1 + usize::from(repeated) {
            self.arrivals.push(Arrival { at: now, request: request.clone(), read: false });
        }
    }

    fn excess(&self) -> Option<Excess> {
        let Rates { ratio, slack, window } = RATES;
        excess(&self.arrivals, &self.requests, repeats::Budget { ratio, slack, window })
    }
}

/// Pattern: every request fails and would be sent again, `every` so many milliseconds, evenly over the
/// fleet; `step` changes an instance before its request.
fn storm(instances: usize, every: usize, step: impl Fn(&mut Instance, usize, u64)) -> Seen {
    let mut fleet: Vec<Instance> =
        (0..instances).map(|_| Instance::start(Duration::ZERO)).collect();
    let mut seen = Seen::default();
    for ms in (0..LENGTH).step_by(every) {
        let now = Duration::from_millis(ms);
        let index = ms as usize / every % instances;
        let instance = &mut fleet[index];
        step(instance, index, ms);
        instance.budget.on_request(now);
        seen.request(instance.repeat(now), now);
    }
    seen
}

#[rstest]
#[case(1)]
#[case(8)]
#[case(89)]
fn steady(#[case] instances: usize) {
    let seen = storm(instances, 1, |i, _, ms| i.read(instances, true, Duration::from_millis(ms)));
    assert_eq!(seen.excess(), None);
    // The budget is used, not only kept.
    let repeated = seen.arrivals.len() - seen.requests.len();
    assert!(repeated * 10 > seen.requests.len(), "{repeated}");
}

/// Guards against a fresh part of the slack for each start: few requests, many starts.
#[rstest]
#[case(700)]
#[case(2_000)]
#[case(9_500)]
fn started_again(#[case] period: u64) {
    let seen = storm(8, 50, |instance, index, ms| {
        let now = Duration::from_millis(ms);
        if (ms + 50 * index as u64) % period < 400 {
            *instance = Instance::start(now);
        }
        instance.read(8, true, now);
    });
    assert_eq!(seen.excess(), None);
}

/// Guards against dividing the slack by a short list, however long it stays short and whether or not
/// an instance sees itself on it.
#[rstest]
#[case(3_000, 0, false)]
#[case(3_000, 1, true)]
#[case(9_000, 2, true)]
#[case(30_000, 0, false)]
#[case(30_000, 2, true)]
fn short_list(#[case] length: u64, #[case] known: usize, #[case] listed: bool) {
    let seen = storm(8, 50, |instance, index, ms| {
        let now = Duration::from_millis(ms);
        let short = (20_000..20_000 + length).contains(&ms);
        // Where some see themselves, as many do as are known.
        let sees = !short || (listed && index < known);
        instance.read(if short { known } else { 8 }, sees, now);
    });
    assert_eq!(seen.excess(), None);
}

/// A quiet instance may still repeat a few.
#[test]
fn own_slack() {
    let budget = Budget::new(RATES);
    let taken = (0..100).filter(|_| repeat(&budget, Some(8), Duration::from_secs(1))).count();
    assert!((1..=7).contains(&taken), "{taken}");
    assert!(!repeat(&budget, Some(8), Duration::from_secs(10)), "the window has not passed");
    assert!(repeat(&budget, Some(8), Duration::from_secs(12)), "it has passed");
}

/// A permit that is not spent returns to the budget.
#[test]
fn given_back() {
    let budget = Budget::new(RATES);
    let now = Duration::from_secs(1);
    for _ in 0..100 {
        assert!(budget.take(Some(8), now).is_some());
    }
    assert_eq!(budget.counts(now).repeats, 0);
}
