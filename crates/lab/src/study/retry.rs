//! Retries and failure detectors while some endpoints fail.
//!
//! The model has no batching: an attempt succeeds after the service time, or fails after a time
//! that depends on the kind of failure. The retry rules and one detector are those of production;
//! the other detectors are baselines.

use {
    crate::table::{Table, percent, seconds},
    agate_core::Mono,
    agate_route::{
        Budget, Failure,
        health::{self, ExchangeResult, Health},
        may_retry,
        ranking::mix,
    },
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// Number of endpoints.
const ENDPOINTS: usize = 12;
/// Time that a successful attempt takes.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time at which the endpoints begin to fail.
const FAULT_START: Duration = Duration::from_secs(5);
/// Duration of the failure of [`Fault::Blip`].
const BLIP_TIME: Duration = Duration::from_secs(4);
/// Time of the last request.
const END: Duration = Duration::from_secs(60);

/// Kind of failure of the failing endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Connections are refused immediately.
    Refused,
    /// There is no response, and the attempt times out.
    Silent,
    /// 60% of the attempts fail.
    Flaky,
    /// All endpoints refuse connections for four seconds.
    Blip,
}

/// Detector of failing endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detector {
    /// No detection.
    None,
    /// The production detector.
    Production,
    /// Offline for a fixed time after consecutive failures.
    Consecutive,
    /// Offline for a fixed time by the failure rate in time buckets, with early return.
    Buckets,
}

/// State of the detectors for one endpoint; each uses some of the fields.
#[derive(Debug, Default)]
struct State {
    health: Health,
    /// Time until which the endpoint is offline.
    offline_until: Mono,
    /// Number of consecutive failures.
    consecutive: u32,
    /// Number of the current bucket.
    bucket: u64,
    requests: u32,
    failures: u32,
    failed_buckets: u32,
}

/// Offline time of the baseline detectors.
const FIXED_OFFLINE: Duration = Duration::from_secs(10);
/// Length of a bucket.
const BUCKET: Duration = Duration::from_secs(2);
/// Number of requests that a bucket must exceed to count.
const BUCKET_REQUESTS: u32 = 5;
/// Number of consecutive failed buckets after which an endpoint goes offline.
const FAILED_BUCKETS: u32 = 3;

impl State {
    fn usable(&self, detector: Detector, now: Mono) -> bool {
        match detector {
            Detector::None => true,
            Detector::Production => health::usable(&self.health, now),
            _ => self.offline_until <= now,
        }
    }

    fn record(&mut self, detector: Detector, failed: bool, now: Mono) {
        match detector {
            Detector::None => {}
            Detector::Production => {
                let kind = if failed { ExchangeResult::Failure } else { ExchangeResult::Success };
                health::on_result(&self.health, kind, now);
            }
            Detector::Consecutive => {
                self.consecutive = if failed { self.consecutive + 1 } else { 0 };
                if self.consecutive >= health::MAX_CONSECUTIVE {
                    self.consecutive = 0;
                    self.offline_until = now + FIXED_OFFLINE;
                }
            }
            Detector::Buckets => self.record_bucket(failed, now),
        }
    }

    /// Counts a result. An endpoint goes offline after one bucket with failures only, or after
    /// several with a high failure rate; buckets with too few requests are skipped.
    fn record_bucket(&mut self, failed: bool, now: Mono) {
        let number = (now.as_millis() / BUCKET.as_millis()) as u64;
        if number != self.bucket && self.requests > BUCKET_REQUESTS {
            let bad = self.failures * 100 > self.requests * health::RATE_PERCENT;
            self.failed_buckets = if bad { self.failed_buckets + 1 } else { 0 };
            let all = self.failures == self.requests;
            if all || self.failed_buckets >= FAILED_BUCKETS {
                self.offline_until = now + FIXED_OFFLINE;
                self.failed_buckets = 0;
            }
        }
        if number != self.bucket {
            (self.bucket, self.requests, self.failures) = (number, 0, 0);
        }
        self.requests += 1;
        self.failures += u32::from(failed);
    }
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Attempts per request.
    pub amplification: f64,
    /// Fraction of the requests that succeeded.
    pub succeeded: f64,
    /// 95th percentile of the time to a response.
    pub p95: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    end: Mono,
    request: usize,
    started: Mono,
    endpoint: usize,
    attempts: u32,
    failed: bool,
}

struct Simulation {
    fault: Fault,
    detector: Detector,
    budgeted: bool,
    seed: u64,
    random_count: u64,
    states: Vec<State>,
    budget: Budget,
    ends: BinaryHeap<Reverse<Attempt>>,
    attempts: u64,
    latencies: Vec<Duration>,
}

/// Runs 200 requests per second while a third of the endpoints fails, or all of them for a short
/// time.
pub fn measure(fault: Fault, detector: Detector, budgeted: bool, seed: u64) -> Outcome {
    let mut simulation = Simulation {
        fault,
        detector,
        budgeted,
        seed,
        random_count: 0,
        states: (0..ENDPOINTS).map(|_| State::default()).collect(),
        budget: Budget::default(),
        ends: BinaryHeap::new(),
        attempts: 0,
        latencies: Vec::new(),
    };
    let gap = Duration::from_millis(5);
    let count = (END.as_millis() / gap.as_millis()) as usize;
    for request in 0..count {
        let now = gap * request as u32;
        simulation.advance(now);
        simulation.budget.on_request();
        simulation.attempt(request, now, now, 0, None);
    }
    simulation.advance(Mono::MAX);
    simulation.latencies.sort_unstable();
    let succeeded = simulation.latencies.len();
    Outcome {
        amplification: simulation.attempts as f64 / count as f64,
        succeeded: succeeded as f64 / count as f64,
        p95: simulation.latencies.get(succeeded * 95 / 100).copied().unwrap_or(Duration::MAX),
    }
}

impl Simulation {
    fn random(&mut self) -> u64 {
        self.random_count += 1;
        mix(self.seed, self.random_count)
    }

    fn attempt(
        &mut self,
        request: usize,
        started: Mono,
        now: Mono,
        attempts: u32,
        avoid: Option<usize>,
    ) {
        self.return_early(now);
        let usable = |i: &usize| self.states[*i].usable(self.detector, now) && Some(*i) != avoid;
        let mut candidates: Vec<_> = (0..ENDPOINTS).filter(usable).collect();
        if candidates.is_empty() {
            candidates = (0..ENDPOINTS).collect();
        }
        let endpoint = candidates[self.random() as usize % candidates.len()];
        let bad = match self.fault {
            Fault::Blip => (FAULT_START..FAULT_START + BLIP_TIME).contains(&now),
            _ => endpoint % 3 == 0 && now >= FAULT_START,
        };
        let (failed, time) = match self.fault {
            _ if !bad => (false, SERVICE_TIME),
            Fault::Refused | Fault::Blip => (true, Duration::from_millis(1)),
            Fault::Silent => (true, Duration::from_secs(1)),
            Fault::Flaky => (self.random() % 10 < 6, SERVICE_TIME),
        };
        self.attempts += 1;
        let (end, attempts) = (now + time, attempts + 1);
        self.ends.push(Reverse(Attempt { end, request, started, endpoint, attempts, failed }));
    }

    /// Returns offline endpoints to service early if too few are left, for the detectors that do
    /// so.
    fn return_early(&mut self, now: Mono) {
        match self.detector {
            Detector::Production => {
                let list: Vec<_> = self.states.iter().map(|s| &s.health).collect();
                health::return_early(&list, now);
            }
            Detector::Buckets => {
                let min_usable = (ENDPOINTS * health::USABLE_PERCENT).div_ceil(100);
                let mut offline_times: Vec<_> =
                    self.states.iter().map(|s| s.offline_until).collect();
                offline_times.sort_unstable();
                let limit = offline_times[min_usable - 1];
                let early = self
                    .states
                    .iter_mut()
                    .filter(|s| s.offline_until > now && s.offline_until <= limit);
                early.for_each(|s| s.offline_until = now);
            }
            _ => {}
        }
    }

    /// Processes the attempts that end until `now`.
    fn advance(&mut self, now: Mono) {
        while let Some(Reverse(a)) = self.ends.peek().copied()
            && a.end <= now
        {
            self.ends.pop();
            self.states[a.endpoint].record(self.detector, a.failed, a.end);
            if !a.failed {
                self.latencies.push(a.end - a.started);
                continue;
            }
            let remaining = DEADLINE.saturating_sub(a.end - a.started);
            let sent = !matches!(self.fault, Fault::Refused | Fault::Blip);
            let failure = Failure { sent, declared_not_run: false };
            let unused = Budget::default();
            let budget = if self.budgeted { &self.budget } else { &unused };
            if may_retry(failure, true, a.attempts, remaining, budget).is_some() {
                self.attempt(a.request, a.started, a.end, a.attempts, Some(a.endpoint));
            }
        }
    }
}

/// Compares the detectors, with and without a retry budget, for each kind of failure.
pub fn table(seed: u64) -> Table {
    let title = format!(
        "Failures from 5 s to 60 s of a third of 12 endpoints, or of all for 4 s (blip), 200 requests/s, seed {seed}"
    );
    let head =
        ["failure", "detector", "retry budget", "attempts / request", "answered", "p95 answer"];
    let mut table = Table::new(title, &head);
    let detectors = [
        (Detector::None, false, "none"),
        (Detector::None, true, "none"),
        (Detector::Consecutive, true, "consecutive failures"),
        (Detector::Buckets, true, "failure-rate buckets"),
        (Detector::Production, true, "production"),
    ];
    for fault in [Fault::Refused, Fault::Silent, Fault::Flaky, Fault::Blip] {
        for (detector, budgeted, name) in detectors {
            let outcome = measure(fault, detector, budgeted, seed);
            table.row([
                format!("{fault:?}").to_lowercase(),
                name.into(),
                if budgeted { "yes" } else { "no" }.into(),
                format!("{:.3}", outcome.amplification),
                percent(outcome.succeeded),
                seconds(outcome.p95),
            ]);
        }
    }
    table
}
