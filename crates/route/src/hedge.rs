//! Decides whether a slow call gets a second attempt at another endpoint while it still runs.
//!
//! A [`Lane`] follows the calls of one service and kind at one instance. It learns how long responses
//! usually take, and which endpoints answer late. [`Share`] bounds the second attempts of a service
//! to a fraction of the requests that this instance counted itself, so that the sum over all
//! instances is bounded whoever hears whom.
//!
//! A second attempt needs evidence that not all endpoints are slow: a call that was sent no earlier
//! than the slow one was answered in time. Otherwise it would only add load.

use {
    agate_core::Mono,
    indexmap::{IndexMap, IndexSet},
    std::{collections::VecDeque, time::Duration},
};

/// Quantile of the response times from which a call is slower than most.
pub const QUANTILE: f64 = 0.95;
/// Minimum number of response times from which the quantile is taken. Two of 40 lie beyond it.
pub const MIN_SAMPLES: usize = 40;
/// Shortest delay of a second attempt. Below it, pauses of the instance itself decide.
pub const MIN_DELAY: Duration = Duration::from_millis(20);
/// Fraction of the slots in use above which no second attempt is sent; 0.6 is the planned use.
pub const MAX_LOAD: f64 = 0.7;
/// Time after a rejection for lack of capacity without second attempts.
pub const REJECTION_PAUSE: Duration = Duration::from_secs(1);
/// Consecutive attempts without an answer after which a cancelled one counts as a failure.
pub const MAX_UNANSWERED: u32 = 3;
/// Maximum number of response times that are kept.
const MAX_SAMPLES: usize = 256;
/// Age from which a response time is dropped.
const SAMPLE_AGE: Duration = Duration::from_secs(60);
/// Time for which an endpoint that answered late is left out, unless it answers in time.
const SLOW_TIME: Duration = Duration::from_secs(10);
/// Number of slow endpoints from which their zone is taken for the cause.
const ZONE_ENDPOINTS: usize = 2;
/// Maximum number of endpoints that are followed.
const MAX_TRACES: usize = 512;
/// Shortest time between two decisions about one call.
const MIN_RECHECK: Duration = Duration::from_millis(10);
/// Number of buckets in the window of a share.
const BUCKETS: u32 = 20;

/// Hash of an endpoint process.
pub type EndpointHash = u32;
/// Hash of an availability zone's name.
pub type ZoneHash = u32;
/// Number of a call in its lane.
pub type CallId = u64;

/// Why a slow call gets no second attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// Too few response times are known.
    FewSamples,
    /// No later call was answered in time while this one ran.
    AllSlow,
    /// The endpoints have too much work.
    Loaded,
    /// The share of second attempts is used.
    Share,
    /// The route allows no further attempt.
    Attempts,
    /// Too little time is left.
    Late,
    /// The request is suspected of crashing endpoints.
    Suspected,
    /// The retry budget is spent.
    Budget,
    /// The API key or what is known is no longer valid.
    Stale,
    /// No other endpoint is free and fast.
    NoEndpoint,
}

impl Denial {
    /// All reasons.
    pub const ALL: [Denial; 10] = [
        Denial::FewSamples,
        Denial::AllSlow,
        Denial::Loaded,
        Denial::Share,
        Denial::Attempts,
        Denial::Late,
        Denial::Suspected,
        Denial::Budget,
        Denial::Stale,
        Denial::NoEndpoint,
    ];

    /// Stable name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Denial::FewSamples => "few_samples",
            Denial::AllSlow => "all_slow",
            Denial::Loaded => "loaded",
            Denial::Share => "share",
            Denial::Attempts => "attempts",
            Denial::Late => "late",
            Denial::Suspected => "suspected",
            Denial::Budget => "budget",
            Denial::Stale => "stale",
            Denial::NoEndpoint => "no_endpoint",
        }
    }
}

/// Facts about a call, apart from its lane.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// Time until the caller's deadline.
    pub left: Duration,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Whether the route allows another attempt.
    pub attempts: bool,
    /// Whether the request is suspected of crashing endpoints.
    pub suspected: bool,
    /// Fraction of the service's slots that are in use.
    pub load: f64,
    /// Whether the share allows a second attempt.
    pub share: bool,
}

/// What to do about a call that still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call is not slow yet; decide again after this time.
    Wait(Duration),
    /// The call is slow, but all endpoints may be; decide again after this time.
    Recheck(Duration),
    /// Send a second attempt; the call has taken longer than this delay.
    Send(Duration),
    /// Leave it alone.
    Deny(Denial),
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Mono,
    endpoint: EndpointHash,
    took: Duration,
}

#[derive(Clone, Copy, Debug)]
struct OpenCall {
    endpoint: EndpointHash,
    sent: Mono,
}

/// What is known of one endpoint's answers.
#[derive(Clone, Copy, Debug)]
struct Trace {
    zone: ZoneHash,
    /// Latest time at which a call was sent that was answered in time.
    prompt_sent: Option<Mono>,
    /// Time of the last answer if it was late, or of the last cancelled call.
    slow_at: Option<Mono>,
    /// Number of cancelled calls since the last answer.
    unanswered: u32,
}

/// Calls of one service and kind at one instance.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    samples: VecDeque<Sample>,
    open: IndexMap<CallId, OpenCall>,
    traces: IndexMap<EndpointHash, Trace>,
    next: CallId,
    rejected: Option<Mono>,
}

impl Lane {
    /// Records that a call was sent to `endpoint` in `zone`.
    pub fn on_sent(&mut self, endpoint: EndpointHash, zone: ZoneHash, now: Mono) -> CallId {
        let id = self.next;
        self.next += 1;
        self.open.insert(id, OpenCall { endpoint, sent: now });
        if !self.traces.contains_key(&endpoint) && self.traces.len() >= MAX_TRACES {
            self.traces.shift_remove_index(0);
        }
        let fresh = Trace { zone, prompt_sent: None, slow_at: None, unanswered: 0 };
        self.traces.entry(endpoint).or_insert(fresh).zone = zone;
        id
    }

    /// Records a good response to a call.
    pub fn on_answer(&mut self, id: CallId, now: Mono) {
        let Some(OpenCall { endpoint, sent }) = self.open.swap_remove(&id) else { return };
        let took = now.saturating_sub(sent);
        let delay = self.delay(endpoint, now);
        if let Some(trace) = self.traces.get_mut(&endpoint) {
            trace.unanswered = 0;
            if delay.is_some_and(|d| took > d) {
                trace.slow_at = Some(now);
            } else {
                trace.slow_at = None;
                trace.prompt_sent = trace.prompt_sent.max(Some(sent));
            }
        }
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at: now, endpoint, took });
    }

    /// Records that a call was cancelled because another attempt was answered. Returns whether its
    /// endpoint has left so many unanswered in a row that it counts as failing. A call that was not
    /// slow yet says nothing about its endpoint.
    pub fn on_cancelled(&mut self, id: CallId, now: Mono) -> bool {
        let Some(call) = self.open.swap_remove(&id) else { return false };
        let delay = self.delay(call.endpoint, now);
        if delay.is_none_or(|delay| now.saturating_sub(call.sent) < delay) {
            return false;
        }
        let Some(trace) = self.traces.get_mut(&call.endpoint) else { return false };
        trace.slow_at = Some(now);
        trace.unanswered += 1;
        trace.unanswered >= MAX_UNANSWERED
    }

    /// Records that a call ended without a good response.
    pub fn on_ended(&mut self, id: CallId) {
        self.open.swap_remove(&id);
    }

    /// Records that an endpoint rejected a request for lack of capacity.
    pub fn on_rejected(&mut self, now: Mono) {
        self.rejected = Some(now);
    }

    /// Number of response times that are known.
    pub fn samples(&self) -> usize {
        self.samples.len()
    }

    /// Time after which a call at `endpoint` is slower than most; `None` if too little is known.
    pub fn delay(&self, endpoint: EndpointHash, now: Mono) -> Option<Duration> {
        let recent = self.samples.iter().filter(|s| now.saturating_sub(s.at) < SAMPLE_AGE);
        let (own, mut used): (Vec<&Sample>, Vec<&Sample>) =
            recent.partition(|s| s.endpoint == endpoint);
        if used.len() < MIN_SAMPLES {
            used.extend(own);
        }
        if used.len() < MIN_SAMPLES {
            return None;
        }
        let mut times: Vec<Duration> = used.into_iter().map(|s| s.took).collect();
        let rank = ((times.len() as f64 * QUANTILE) as usize).min(times.len() - 1);
        let (_, quantile, _) = times.select_nth_unstable(rank);
        Some((*quantile).max(MIN_DELAY))
    }

    /// The delay of the call `id` if it has passed, and when it was sent. `objective` is the latency objective of its route.
    ///
    /// # Errors
    ///
    /// Returns what to do about a call that is not slow or of which that cannot be told.
    pub fn passed(
        &self,
        id: CallId,
        objective: Duration,
        now: Mono,
    ) -> Result<(Duration, Mono), Decision> {
        let Some(call) = self.open.get(&id) else { return Err(Decision::Deny(Denial::Late)) };
        let elapsed = now.saturating_sub(call.sent);
        let Some(delay) = self.delay(call.endpoint, now) else {
            return Err(match objective.saturating_sub(elapsed) {
                Duration::ZERO => Decision::Deny(Denial::FewSamples),
                early => Decision::Wait(early.max(MIN_RECHECK)),
            });
        };
        if elapsed < delay {
            return Err(Decision::Wait(delay - elapsed));
        }
        Ok((delay, call.sent))
    }

    /// Decides whether the call `id` gets a second attempt now.
    pub fn decide(&self, id: CallId, facts: &Facts, now: Mono) -> Decision {
        let (delay, call_sent) = match self.passed(id, facts.objective, now) {
            Ok(passed) => passed,
            Err(decision) => return decision,
        };
        let recent = |at: Mono| now.saturating_sub(at) < REJECTION_PAUSE;
        let rules = [
            (facts.suspected, Denial::Suspected),
            (!facts.attempts, Denial::Attempts),
            (facts.load > MAX_LOAD || self.rejected.is_some_and(recent), Denial::Loaded),
            (!facts.share, Denial::Share),
        ];
        if let Some((_, denial)) = rules.into_iter().find(|(broken, _)| *broken) {
            return Decision::Deny(denial);
        }
        let recheck = (delay / 4).max(MIN_RECHECK);
        let evident = self.traces.values().any(|t| t.prompt_sent >= Some(call_sent));
        match (facts.left > delay, evident) {
            (true, true) => Decision::Send(delay),
            (true, false) => Decision::Recheck(recheck),
            (false, true) => Decision::Deny(Denial::Late),
            (false, false) => Decision::Deny(Denial::AllSlow),
        }
    }

    /// Endpoints that may share the cause of slowness of the call `id`, and zones that do.
    pub fn avoided(&self, id: CallId, now: Mono) -> (IndexSet<EndpointHash>, IndexSet<ZoneHash>) {
        let overdue = self.open.values().filter(|c| {
            let elapsed = now.saturating_sub(c.sent);
            self.delay(c.endpoint, now).is_none_or(|delay| elapsed >= delay)
        });
        let mut slow: IndexSet<EndpointHash> = overdue.map(|c| c.endpoint).collect();
        let late = |t: &Trace| t.slow_at.is_some_and(|at| now.saturating_sub(at) < SLOW_TIME);
        slow.extend(self.traces.iter().filter(|(_, t)| late(t)).map(|(endpoint, _)| *endpoint));
        slow.extend(self.open.get(&id).map(|c| c.endpoint));
        let sent = self.open.get(&id).map(|c| c.sent);
        let mut counts = IndexMap::<ZoneHash, usize>::new();
        for trace in slow.iter().filter_map(|endpoint| self.traces.get(endpoint)) {
            *counts.entry(trace.zone).or_default() += 1;
        }
        let prompt = |zone: &ZoneHash| {
            self.traces.values().any(|t| t.zone == *zone && t.prompt_sent >= sent)
        };
        let zones = counts.into_iter().filter(|(_, n)| *n >= ZONE_ENDPOINTS).map(|(zone, _)| zone);
        let zones = zones.filter(|zone| !prompt(zone)).collect();
        (slow, zones)
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    requests: u32,
    sent: u32,
}

/// Share of second attempts among the requests of one service at one instance.
#[derive(Clone, Debug)]
pub struct Share {
    ratio: f64,
    window: Duration,
    buckets: VecDeque<Bucket>,
}

impl Share {
    /// Makes a share of `ratio` of the requests within each `window`.
    pub fn new(ratio: f64, window: Duration) -> Self {
        Self { ratio, window, buckets: VecDeque::with_capacity(BUCKETS as usize + 1) }
    }

    /// Counts a request of the service.
    pub fn on_request(&mut self, now: Mono) {
        self.bucket(now).requests += 1;
    }

    /// Requests and second attempts within the window.
    pub fn counts(&mut self, now: Mono) -> (u32, u32) {
        self.bucket(now);
        let sums = self.buckets.iter().map(|b| (b.requests, b.sent));
        sums.fold((0, 0), |(requests, sent), (r, s)| (requests + r, sent + s))
    }

    /// Whether one more second attempt is within the share.
    pub fn allows(&mut self, now: Mono) -> bool {
        let (requests, sent) = self.counts(now);
        f64::from(sent) + 1.0 <= self.ratio * f64::from(requests)
    }

    /// Counts a second attempt if it is within the share; returns whether it is.
    pub fn take(&mut self, now: Mono) -> bool {
        let allowed = self.allows(now);
        self.bucket(now).sent += u32::from(allowed);
        allowed
    }

    /// Drops the buckets before the window and returns the one for `now`.
    fn bucket(&mut self, now: Mono) -> &mut Bucket {
        let length = (self.window / BUCKETS).as_nanos().max(1);
        let number = (now.as_nanos() / length) as u64;
        let oldest = number.saturating_sub(u64::from(BUCKETS) - 1);
        while self.buckets.front().is_some_and(|b| b.number < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, requests: 0, sent: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}
