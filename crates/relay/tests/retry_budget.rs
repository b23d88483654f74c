//! The retry budget holds over all instances together.

use {
    agate_audit::retries::{self, Arrival, Excess, excess},
    agate_relay::{
        calls::CallTracker,
        instance_count::InstanceCount,
        retry_budget::{RetryBudget, RetryLimits},
    },
    rstest::rstest,
    std::time::Duration,
};

const RATES: RetryLimits = RetryLimits { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };

/// Length of a run in milliseconds; several windows.
const LENGTH: u64 = 60_000;

/// One incarnation of an instance.
struct Instance {
    budget: RetryBudget,
    instance_count: InstanceCount,
    listed: Duration,
}

impl Instance {
    fn start(now: Duration) -> Self {
        let instance_count = InstanceCount::new(RATES.window, now);
        Self { budget: RetryBudget::new(RATES), instance_count, listed: Duration::ZERO }
    }

    /// Reads a list of `count` instances, with this one on it if `listed`.
    fn read(&mut self, count: usize, listed: bool, now: Duration) {
        self.instance_count.record(count, now);
        if listed {
            self.listed = now;
        }
    }

    /// Tries to retry a request; returns whether that is permitted.
    fn retry(&mut self, now: Duration) -> bool {
        let sharers = self.instance_count.sharers(Some(now.saturating_sub(self.listed)), now);
        retry(&self.budget, sharers, now)
    }
}

/// Sends a request and retries it once; returns whether the budget permitted the retry.
fn retry(budget: &RetryBudget, sharers: Option<usize>, now: Duration) -> bool {
    let mut arrivals = CallTracker::default();
    arrivals.admit(|| unreachable!("the first call is free")).expect("the first call");
    arrivals.admit(|| budget.take(sharers, now)).is_some()
}

/// Requests of callers, and the calls that reached endpoints.
#[derive(Default)]
struct Seen {
    requests: Vec<Duration>,
    arrivals: Vec<Arrival>,
}

impl Seen {
    fn request(&mut self, retried: bool, now: Duration) {
        let request = format!("r{}", self.requests.len());
        self.requests.push(now);
        for _ in 0..1 + usize::from(retried) {
            self.arrivals.push(Arrival { at: now, request: request.clone(), prefill_only: false });
        }
    }

    fn excess(&self) -> Option<Excess> {
        let RetryLimits { ratio, slack, window } = RATES;
        excess(&self.arrivals, &self.requests, retries::Budget { ratio, slack, window })
    }
}

/// Sends a request every `every` milliseconds, to each instance in turn; all fail and ask for a
/// retry. `step` changes an instance before its request.
fn retry_storm(instances: usize, every: usize, step: impl Fn(&mut Instance, usize, u64)) -> Seen {
    let mut fleet: Vec<Instance> =
        (0..instances).map(|_| Instance::start(Duration::ZERO)).collect();
    let mut seen = Seen::default();
    for ms in (0..LENGTH).step_by(every) {
        let now = Duration::from_millis(ms);
        let index = ms as usize / every % instances;
        let instance = &mut fleet[index];
        step(instance, index, ms);
        instance.budget.on_request(now);
        seen.request(instance.retry(now), now);
    }
    seen
}

/// Guards against exceeding the budget, or leaving most of it unused, when every request fails.
#[rstest]
#[case(1)]
#[case(8)]
#[case(89)]
fn steady_storm(#[case] instances: usize) {
    let seen =
        retry_storm(instances, 1, |i, _, ms| i.read(instances, true, Duration::from_millis(ms)));
    assert_eq!(seen.excess(), None);
    // The budget is also used, not only respected.
    let retried = seen.arrivals.len() - seen.requests.len();
    assert!(retried * 10 > seen.requests.len(), "{retried}");
}

/// Guards against a new share of the slack after each restart: few requests, many restarts.
#[rstest]
#[case(700)]
#[case(2_000)]
#[case(9_500)]
fn frequent_restarts(#[case] period: u64) {
    let seen = retry_storm(8, 50, |instance, index, ms| {
        let now = Duration::from_millis(ms);
        if (ms + 50 * index as u64) % period < 400 {
            *instance = Instance::start(now);
        }
        instance.read(8, true, now);
    });
    assert_eq!(seen.excess(), None);
}

/// Guards against dividing the slack by an incomplete instance list, however long it stays
/// incomplete and whether or not an instance sees itself on it.
#[rstest]
#[case(3_000, 0, false)]
#[case(3_000, 1, true)]
#[case(9_000, 2, true)]
#[case(30_000, 0, false)]
#[case(30_000, 2, true)]
fn incomplete_list(#[case] length: u64, #[case] known: usize, #[case] listed: bool) {
    let seen = retry_storm(8, 50, |instance, index, ms| {
        let now = Duration::from_millis(ms);
        let short = (20_000..20_000 + length).contains(&ms);
        // If listed instances see themselves, there are `known` of them.
        let sees = !short || (listed && index < known);
        instance.read(if short { known } else { 8 }, sees, now);
    });
    assert_eq!(seen.excess(), None);
}

/// An instance without requests may still make a few retries.
#[test]
fn slack_share() {
    let budget = RetryBudget::new(RATES);
    let taken = (0..100).filter(|_| retry(&budget, Some(8), Duration::from_secs(1))).count();
    assert!((1..=7).contains(&taken), "{taken}");
    assert!(!retry(&budget, Some(8), Duration::from_secs(10)), "the window has not passed");
    assert!(retry(&budget, Some(8), Duration::from_secs(12)), "it has passed");
}

/// A permit that is dropped unspent returns to the budget.
#[test]
fn unspent_permit_returned() {
    let budget = RetryBudget::new(RATES);
    let now = Duration::from_secs(1);
    for _ in 0..100 {
        assert!(budget.take(Some(8), now).is_some());
    }
    assert_eq!(budget.counts(now).retries, 0);
}
