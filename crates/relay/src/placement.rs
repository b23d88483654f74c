//! Choice of an endpoint, as a pure function of the candidates' state.
//!
//! Model requests go where the first token is expected first. The estimate covers the backlog, the
//! request's own uncached tokens and a penalty for another availability zone. Prefilling cached
//! tokens again takes capacity from other requests, so it costs more the fuller the engines are.
//! All instances expect a shared prefix to be cached at the same few home endpoints, chosen by
//! rendezvous hashing. Other requests go where slot usage is lowest; requests that need a slot go
//! only where one is free.

use {
    crate::{late, load::PrefillLoad},
    agate_route::{ranking::mix, signals::Withheld},
    indexmap::IndexSet,
    std::time::Duration,
};

/// Maximum number of endpoints evaluated for one request. The least loaded of that many is nearly
/// as good as the least loaded of all, and evaluating thousands takes longer than a request may
/// wait.
pub const MAX_CANDIDATES: usize = 96;
/// Maximum number of sampled candidates in the preferred availability zone.
const MAX_SAME_ZONE: usize = 64;
/// Slot usage up to which requests that hold slots for long are put together. The slots left over are
/// for those that other instances place before the next load report.
const FILL: f64 = 0.6;
/// Size of the sample in which a free slot is looked for first.
const SAMPLE: usize = 6;
/// Maximum number of endpoints of that sample in the preferred availability zone.
const SAMPLE_SAME_ZONE: usize = 3;
/// Number of home endpoints per shared prefix.
pub const HOME_COUNT: usize = 2;
/// Extra time counted for a prefix's second home, so that the first one is preferred while idle.
const SECOND_PENALTY: Duration = Duration::from_millis(8);
/// Extra time counted for an endpoint in another availability zone.
pub const ZONE_PENALTY: Duration = Duration::from_millis(4);
/// Estimated time until an endpoint has room, if none accepts requests now.
const BACKOFF_WAIT: Duration = Duration::from_millis(200);
/// Weight of prefilling shared tokens again while the engines are idle.
const RECOMPUTE_IDLE: f64 = 1.0;
/// Additional weight of that while the engines are full.
const RECOMPUTE_FULL: f64 = 4.0;
/// Extra time counted for an endpoint whose slots are all in use.
const FULL_PENALTY: Duration = Duration::from_millis(30);
/// Fraction of the objective within which the first token must be expected to admit a request.
pub const ADMIT_FRACTION: f64 = 0.9;

/// State of one endpoint as far as it matters for placement.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Hash of its name, equal on every instance.
    pub hash: u64,
    /// Whether it is in the preferred availability zone.
    pub same_zone: bool,
    /// Whether its failure detector allows its use.
    pub healthy: bool,
    /// Whether it is left out for now, such as after a rejection for lack of capacity.
    pub backing_off: bool,
    /// Why it may get no request by its own statements; `None` if it may.
    pub withheld: Option<Withheld>,
    /// Open requests of this instance.
    pub open: u32,
    /// Open requests of all other instances, as last reported.
    pub others_open: u32,
    /// Maximum number of open requests of this instance.
    pub max_open: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Prefill backlog and speed.
    pub prefill: PrefillLoad,
}

/// The work to place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Workload {
    /// Identifier of the prompt's shared prefix; `None` if there is none.
    pub prefix: Option<u64>,
    /// Tokens to prefill; zero for plain services and after a remote prefill.
    pub tokens: u32,
    /// Length of the shared prefix in tokens, at most `tokens`.
    pub shared: u32,
    /// Maximum time to first token for a timely response.
    pub limit: Duration,
    /// Policy by which it is admitted although its response will be late.
    pub late: late::LatePolicy,
    /// Whether it may go only where a slot is free.
    pub needs_slot: bool,
    /// Expected wait for each request ahead of it if no slot is free; zero if slots do not count.
    pub slot_wait: Duration,
    /// Whether it may go only where no other request is open.
    pub idle_only: bool,
    /// Whether it goes where the fewest other requests are open, since it may crash the endpoint.
    pub isolated: bool,
}

impl Candidate {
    /// Open requests per slot; above 1 if some requests wait.
    pub fn slot_usage(&self) -> f64 {
        f64::from(self.open + self.others_open) / f64::from(self.slots.max(1))
    }

    /// Number of requests that wait there before a new one.
    fn waiting(&self) -> u32 {
        (self.open + self.others_open + 1).saturating_sub(self.slots)
    }

    /// Number of requests that would run there concurrently with a new one.
    fn concurrent(&self) -> u32 {
        (self.open + self.others_open).min(self.slots.saturating_sub(1))
    }

    /// Whether `workload` may be placed there now.
    fn accepts(&self, workload: &Workload) -> bool {
        let free = !workload.needs_slot || self.slot_usage() < 1.0;
        let free = free && !(workload.idle_only && self.open + self.others_open > 0);
        free && !self.backing_off && self.withheld.is_none() && self.open < self.max_open
    }
}

/// Result of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Place the request at a candidate.
    At {
        /// Index of the candidate.
        index: usize,
        /// Prompt tokens that are expected not to be cached there.
        tokens: u32,
    },
    /// No candidate can serve it in time; one is expected to have room after this time.
    Full(Duration),
    /// All candidates have stated that they accept no request now; this one does first.
    Withheld(Withheld),
    /// There are no candidates.
    None,
}

/// Chooses the candidate with the lowest cost; unhealthy ones only if all are unhealthy.
pub fn choose(workload: &Workload, candidates: &[Candidate]) -> Choice {
    let healthy = candidates.iter().any(|c| c.healthy);
    let usable = |c: &Candidate| c.healthy || !healthy;
    if candidates.is_empty() {
        return Choice::None;
    }
    let homes = home_indices(workload, candidates);
    let weight = RECOMPUTE_IDLE + RECOMPUTE_FULL * mean_fullness(workload, candidates);
    let mut best: Option<Scored> = None;
    for (index, c) in
        candidates.iter().enumerate().filter(|(_, c)| usable(c) && c.accepts(workload))
    {
        let home = homes.iter().position(|h| *h == Some(index));
        let cached = if home.is_some() { workload.shared } else { 0 };
        let tokens = workload.tokens - cached.min(workload.tokens);
        let expected = expected_ttft(workload, c, tokens);
        let recomputed = tokens - (workload.tokens - workload.shared.min(workload.tokens));
        let second = if home == Some(1) { SECOND_PENALTY } else { Duration::ZERO };
        let others = if workload.isolated { c.open + c.others_open } else { 0 };
        let cost = expected + second + c.prefill.prefill_time(recomputed).mul_f64(weight);
        let score = (others, cost);
        if best.as_ref().is_none_or(|b| score < b.score) {
            best = Some(Scored { score, expected, index, tokens });
        }
    }
    match best {
        Some(b) if b.admits(workload, &candidates[b.index]) => {
            Choice::At { index: b.index, tokens: b.tokens }
        }
        Some(b) => Choice::Full(b.expected.saturating_sub(workload.limit)),
        None => {
            let withheld = candidates.iter().filter(|c| usable(c)).map(|c| c.withheld);
            first_available(withheld).map_or(Choice::Full(BACKOFF_WAIT), Choice::Withheld)
        }
    }
}

/// The reason with the shortest wait; `None` if a candidate is not withheld.
fn first_available(mut withheld: impl Iterator<Item = Option<Withheld>>) -> Option<Withheld> {
    let first = withheld.next()??;
    withheld.try_fold(first, |first, next| {
        next.map(|next| if next.left() < first.left() { next } else { first })
    })
}

/// The parts of an endpoint by which it is shortlisted.
#[derive(Clone, Copy, Debug)]
pub struct EndpointKey {
    /// Hash of its name, equal on every instance.
    pub hash: u64,
    /// Whether it is in the preferred availability zone.
    pub same_zone: bool,
}

/// Indices of the endpoints to evaluate. Up to [`MAX_CANDIDATES`] are all taken; of more, the homes
/// of `prefix` and a sample of the others, most of them in the preferred zone. `draw` is random and
/// varies the sample.
pub fn shortlist(prefix: Option<u64>, all: &[EndpointKey], draw: u32) -> Vec<usize> {
    if all.len() <= MAX_CANDIDATES {
        return (0..all.len()).collect();
    }
    let mut out: IndexSet<usize> =
        rendezvous_homes(prefix, all.iter().map(|s| s.hash)).into_iter().flatten().collect();
    for same_zone in [true, false] {
        let part: Vec<usize> = (0..all.len()).filter(|i| all[*i].same_zone == same_zone).collect();
        let limit = if same_zone { MAX_SAME_ZONE } else { MAX_CANDIDATES - out.len() };
        let count = limit.min(part.len());
        out.extend((0..count).map(|k| part[(draw as usize + k * part.len() / count) % part.len()]));
    }
    out.into_iter().collect()
}

/// Indices of a few endpoints to evaluate first for a request that needs a free slot: the homes of
/// `prefix` and a sample, most of it in the preferred zone.
///
/// Loads of other instances are known with a delay. If all instances took the least loaded of all
/// endpoints, those that place requests within the delay would meet at the same one and fill it.
pub fn sample(prefix: Option<u64>, all: &[EndpointKey], draw: u32) -> Vec<usize> {
    if all.len() <= SAMPLE {
        return (0..all.len()).collect();
    }
    let mut out: IndexSet<usize> =
        rendezvous_homes(prefix, all.iter().map(|s| s.hash)).into_iter().flatten().collect();
    let near: Vec<usize> = (0..all.len()).filter(|i| all[*i].same_zone).collect();
    // Each member is drawn by itself: with evenly spaced ones, requests with one member in common
    // would have all in common.
    let drawn = |k: u64, n: usize| (mix(draw.into(), k) % n.max(1) as u64) as usize;
    out.extend(
        (0..SAMPLE_SAME_ZONE as u64).filter_map(|k| near.get(drawn(k, near.len())).copied()),
    );
    let more = SAMPLE_SAME_ZONE as u64..SAMPLE as u64;
    out.extend(more.map(|k| drawn(k, all.len())));
    out.into_iter().collect()
}

/// Mean fraction of the time limit that the backlogs of the candidates take.
fn mean_fullness(workload: &Workload, candidates: &[Candidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| c.prefill.fullness(workload.limit)).sum();
    sum / candidates.len().max(1) as f64
}

/// A candidate with its cost.
struct Scored {
    /// Number of open requests that count, then the cost.
    score: (u32, Duration),
    expected: Duration,
    index: usize,
    tokens: u32,
}

impl Scored {
    /// Whether to admit `workload` at `c`, in time or late.
    fn admits(&self, workload: &Workload, c: &Candidate) -> bool {
        let (own, ahead) = (c.prefill.prefill_time(self.tokens), c.prefill.backlog());
        self.expected <= workload.limit || workload.late.admits(self.expected, own, ahead)
    }
}

/// Expected time to first token of `workload` at `c`, with `tokens` to prefill.
fn expected_ttft(workload: &Workload, c: &Candidate, tokens: u32) -> Duration {
    let penalty = if c.same_zone { Duration::ZERO } else { ZONE_PENALTY };
    if workload.tokens > 0 {
        let slot = match workload.slot_wait {
            Duration::ZERO => Duration::ZERO,
            wait => packing_penalty(c.slot_usage()) + wait * c.waiting(),
        };
        return c.prefill.first_token(tokens, c.concurrent()) + penalty + slot;
    }
    if !workload.slot_wait.is_zero() {
        return penalty + spread_penalty(c.slot_usage()) + workload.slot_wait * c.waiting();
    }
    // Plain services have no time estimate, so slot usage orders the endpoints.
    penalty + FULL_PENALTY.mul_f64(c.slot_usage())
}

/// Extra time counted for an engine by its slot usage: it falls up to [`FILL`], so that requests share
/// engines and others stay idle, and rises beyond it.
fn packing_penalty(usage: f64) -> Duration {
    FULL_PENALTY.mul_f64(if usage < FILL { 1.0 - usage } else { 1.0 + usage })
}

/// Extra time counted for an engine that decodes a prompt which another one prefilled. Such requests are
/// short and many, so they are spread over the engines, and idle ones come after lightly loaded ones.
fn spread_penalty(usage: f64) -> Duration {
    FULL_PENALTY.mul_f64(if usage > 0.0 { usage } else { FILL / 2.0 })
}

/// Indices of the home endpoints of the workload's prefix.
fn home_indices(workload: &Workload, candidates: &[Candidate]) -> [Option<usize>; HOME_COUNT] {
    rendezvous_homes(workload.prefix, candidates.iter().map(|c| c.hash))
}

/// Indices of the highest rendezvous hashes of `prefix` among endpoints with these `hashes`.
fn rendezvous_homes(
    prefix: Option<u64>,
    hashes: impl Iterator<Item = u64>,
) -> [Option<usize>; HOME_COUNT] {
    let mut best: [Option<(u64, usize)>; HOME_COUNT] = [None; HOME_COUNT];
    let Some(prefix) = prefix else { return [None; HOME_COUNT] };
    for (i, hash) in hashes.enumerate() {
        let mut entry = Some((mix(hash, prefix), i));
        for home in &mut best {
            if entry > *home {
                std::mem::swap(home, &mut entry);
            }
        }
    }
    best.map(|b| b.map(|(_, i)| i))
}
