//! Retries and failure detectors while a part of the endpoints fails.
//!
//! A small model without batching: an exchange with an endpoint succeeds after the service time,
//! or fails after the time of the failure's kind. The retry rules and the detector are the
//! production ones; the other detectors are baselines.

use {
    crate::table::{Table, percent, seconds},
    agate_core::Mono,
    agate_route::{
        Budget, Failure,
        health::{self, Health, Kind},
        may_retry,
        ranking::mix,
    },
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

const ENDPOINTS: usize = 12;
const SERVICE: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(5);
const WARM: Duration = Duration::from_secs(5);
const BLIP: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(60);

/// How the failing endpoints fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection is refused at once.
    Refused,
    /// Nothing is answered until a time-out.
    Silent,
    /// Six in ten exchanges fail.
    Flaky,
    /// Every endpoint refuses connections for four seconds and then works.
    Blip,
}

/// Way to detect failing endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detector {
    /// None.
    None,
    /// The production detector.
    Production,
    /// A run of consecutive failures and a fixed offline period.
    Consecutive,
    /// Failure-rate buckets with a fixed offline period and early return.
    Buckets,
}

/// State of any detector at one endpoint.
#[derive(Debug, Default)]
struct State {
    health: Health,
    until: Mono,
    run: u32,
    bucket: u64,
    requests: u32,
    failures: u32,
    failed_buckets: u32,
}

const FIXED_OFFLINE: Duration = Duration::from_secs(10);
const BUCKET: Duration = Duration::from_secs(2);
const BUCKET_REQUESTS: u32 = 5;
const FAILED_BUCKETS: u32 = 3;

impl State {
    fn usable(&self, detector: Detector, now: Mono) -> bool {
        match detector {
            Detector::None => true,
            Detector::Production => health::usable(&self.health, now),
            _ => self.until <= now,
        }
    }

    fn record(&mut self, detector: Detector, failed: bool, now: Mono) {
        match detector {
            Detector::None => {}
            Detector::Production => {
                let kind = if failed { Kind::Failure } else { Kind::Success };
                health::on_result(&self.health, kind, now);
            }
            Detector::Consecutive => {
                self.run = if failed { self.run + 1 } else { 0 };
                if self.run >= health::CONSECUTIVE {
                    self.run = 0;
                    self.until = now + FIXED_OFFLINE;
                }
            }
            Detector::Buckets => self.bucket(failed, now),
        }
    }

    /// Offline after one bucket of failures only, or after several with a high failure rate;
    /// buckets with too few requests are skipped.
    fn bucket(&mut self, failed: bool, now: Mono) {
        let number = (now.as_millis() / BUCKET.as_millis()) as u64;
        if number != self.bucket && self.requests > BUCKET_REQUESTS {
            let bad = self.failures * 100 > self.requests * health::RATE_PERCENT;
            self.failed_buckets = if bad { self.failed_buckets + 1 } else { 0 };
            let all = self.failures == self.requests;
            if all || self.failed_buckets >= FAILED_BUCKETS {
                self.until = now + FIXED_OFFLINE;
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

/// Figures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Attempts for each request.
    pub amplification: f64,
    /// Share of requests that were answered.
    pub answered: f64,
    /// 95th percentile of the time to the answer.
    pub p95: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    end: Mono,
    request: usize,
    begun: Mono,
    endpoint: usize,
    attempts: u32,
    failed: bool,
}

struct Run {
    fault: Fault,
    detector: Detector,
    budgeted: bool,
    seed: u64,
    draws: u64,
    states: Vec<State>,
    budget: Budget,
    ends: BinaryHeap<Reverse<Attempt>>,
    attempts: u64,
    times: Vec<Duration>,
}

/// Runs 200 requests a second while a third of the endpoints fails.
pub fn measure(fault: Fault, detector: Detector, budgeted: bool, seed: u64) -> Outcome {
    let mut run = Run {
        fault,
        detector,
        budgeted,
        seed,
        draws: 0,
        states: (0..ENDPOINTS).map(|_| State::default()).collect(),
        budget: Budget::default(),
        ends: BinaryHeap::new(),
        attempts: 0,
        times: Vec::new(),
    };
    let gap = Duration::from_millis(5);
    let count = (END.as_millis() / gap.as_millis()) as usize;
    for request in 0..count {
        let now = gap * request as u32;
        run.advance(now);
        run.budget.on_request();
        run.attempt(request, now, now, 0, None);
    }
    run.advance(Mono::MAX);
    run.times.sort_unstable();
    let answered = run.times.len();
    Outcome {
        amplification: run.attempts as f64 / count as f64,
        answered: answered as f64 / count as f64,
        p95: run.times.get(answered * 95 / 100).copied().unwrap_or(Duration::MAX),
    }
}

impl Run {
    fn draw(&mut self) -> u64 {
        self.draws += 1;
        mix(self.seed, self.draws)
    }

    fn attempt(
        &mut self,
        request: usize,
        begun: Mono,
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
        let endpoint = candidates[self.draw() as usize % candidates.len()];
        let bad = match self.fault {
            Fault::Blip => (WARM..WARM + BLIP).contains(&now),
            _ => endpoint % 3 == 0 && now >= WARM,
        };
        let (failed, time) = match self.fault {
            _ if !bad => (false, SERVICE),
            Fault::Refused | Fault::Blip => (true, Duration::from_millis(1)),
            Fault::Silent => (true, Duration::from_secs(1)),
            Fault::Flaky => (self.draw() % 10 < 6, SERVICE),
        };
        self.attempts += 1;
        let (end, attempts) = (now + time, attempts + 1);
        self.ends.push(Reverse(Attempt { end, request, begun, endpoint, attempts, failed }));
    }

    /// Brings endpoints back early, for the detectors that do.
    fn return_early(&mut self, now: Mono) {
        match self.detector {
            Detector::Production => {
                let list: Vec<_> = self.states.iter().map(|s| &s.health).collect();
                health::return_early(&list, now);
            }
            Detector::Buckets => {
                let least = (ENDPOINTS * health::USABLE_PERCENT).div_ceil(100);
                let mut untils: Vec<_> = self.states.iter().map(|s| s.until).collect();
                untils.sort_unstable();
                let bound = untils[least - 1];
                let early = self.states.iter_mut().filter(|s| s.until > now && s.until <= bound);
                early.for_each(|s| s.until = now);
            }
            _ => {}
        }
    }

    /// Handles the attempts that end before `now`.
    fn advance(&mut self, now: Mono) {
        while let Some(Reverse(a)) = self.ends.peek().copied()
            && a.end <= now
        {
            self.ends.pop();
            self.states[a.endpoint].record(self.detector, a.failed, a.end);
            if !a.failed {
                self.times.push(a.end - a.begun);
                continue;
            }
            let left = DEADLINE.saturating_sub(a.end - a.begun);
            let sent = !matches!(self.fault, Fault::Refused | Fault::Blip);
            let failure = Failure { sent, declared_unrun: false };
            let fresh = Budget::default();
            let budget = if self.budgeted { &self.budget } else { &fresh };
            if may_retry(failure, true, a.attempts, left, budget).is_some() {
                self.attempt(a.request, a.begun, a.end, a.attempts, Some(a.endpoint));
            }
        }
    }
}

/// Compares detectors and budgets for each kind of failure.
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
                percent(outcome.answered),
                seconds(outcome.p95),
            ]);
        }
    }
    table
}
