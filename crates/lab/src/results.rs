//! Results of a simulation.

use {
    crate::{engine::Config, workload::Request},
    agate_core::OrgId,
    agate_route::LoadReport,
    hdrhistogram::Histogram,
    std::time::Duration,
};

/// State of one request, in the end its result.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    /// It has no first token yet.
    Open,
    /// It was refused on arrival.
    Refused,
    /// It expired in the queue.
    Expired,
    /// Its first token was generated.
    Started {
        /// Time from arrival to the first token.
        first: Duration,
        /// Number of prompt tokens found in the cache.
        cached: u32,
    },
    /// Its response was completed.
    Done {
        /// Time from arrival to the first token.
        first: Duration,
        /// Time from arrival to the last token.
        total: Duration,
        /// Number of prompt tokens found in the cache.
        cached: u32,
    },
}

/// Results of one simulation.
#[derive(Debug)]
pub struct Results {
    /// Requests of the workload, by index.
    pub requests: Vec<Request>,
    /// State of each request.
    pub statuses: Vec<Status>,
    /// Time that each request waited in its instance's queue; `None` if it was not sent.
    pub waits: Vec<Option<Duration>>,
    // Speed of the engines, from which the work of a request is computed.
    config: Config,
    // Time between tokens, in microseconds.
    gaps: Histogram<u64>,
    // Sums over time of the largest and of the mean load of an engine.
    loads: (f64, f64),
}

impl Results {
    /// Returns results in which every request is open.
    pub fn new(requests: &[Request], config: Config) -> Self {
        let gaps = Histogram::new(3).expect("a histogram supports three digits");
        let statuses = vec![Status::Open; requests.len()];
        Self {
            requests: requests.to_vec(),
            statuses,
            waits: vec![None; requests.len()],
            config,
            gaps,
            loads: (0.0, 0.0),
        }
    }

    /// Records an iteration of length `time` in which `sequences` sequences got a token.
    pub fn on_iteration(&mut self, time: Duration, sequences: u32) {
        self.gaps
            .record_n(time.as_micros() as u64, sequences.into())
            .expect("the histogram resizes automatically");
    }

    /// Records the first token of a request; later calls for it have no effect.
    pub fn on_first_token(&mut self, id: usize, cached: u32, first: Duration) {
        if self.statuses[id] == Status::Open {
            self.statuses[id] = Status::Started { first, cached };
        }
    }

    /// Records the last token of a request.
    pub fn on_done(&mut self, id: usize, total: Duration) {
        if let Status::Started { first, cached } = self.statuses[id] {
            self.statuses[id] = Status::Done { first, total, cached };
        }
    }

    /// Samples the largest and the mean load of the engines.
    pub fn sample_loads(&mut self, reports: &[LoadReport]) {
        let load = |r: &LoadReport| f64::from(r.running + r.waiting);
        self.loads.0 += reports.iter().map(load).fold(0.0, f64::max);
        self.loads.1 += reports.iter().map(load).sum::<f64>() / reports.len() as f64;
    }

    /// Largest load of an engine, averaged over time, relative to the mean load.
    pub fn load_imbalance(&self) -> f64 {
        self.loads.0 / self.loads.1
    }

    /// Percentile of the time between tokens.
    pub fn gap_percentile(&self, percent: f64) -> Duration {
        Duration::from_micros(self.gaps.value_at_percentile(percent))
    }

    /// Requests that `keep` selects, with their statuses.
    fn select(&self, keep: impl Fn(&Request) -> bool) -> impl Iterator<Item = (&Request, &Status)> {
        self.requests.iter().zip(&self.statuses).filter(move |(r, _)| keep(r))
    }

    /// Percentile of the time to first token over the selected requests that have one.
    pub fn first_percentile(&self, percent: f64, keep: impl Fn(&Request) -> bool) -> Duration {
        percentile(self.select(keep).filter_map(|(_, r)| r.time_to_first()).collect(), percent)
    }

    /// Percentile of the time that the selected requests waited in their instance's queue.
    pub fn wait_percentile(&self, percent: f64, keep: impl Fn(&Request) -> bool) -> Duration {
        let pairs = self.requests.iter().zip(&self.waits).filter(|(r, _)| keep(r));
        percentile(pairs.filter_map(|(_, w)| *w).collect(), percent)
    }

    /// Engine time of the selected requests that were completed within their deadline, in seconds.
    pub fn good_work(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        let good = self.select(keep).filter(|(q, r)| r.is_good(q));
        good.map(|(q, _)| self.work(q)).sum()
    }

    /// Engine time of the selected requests, in seconds.
    pub fn offered_work(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        self.select(keep).map(|(q, _)| self.work(q)).sum()
    }

    /// Engine time of the selected requests that were started but not completed in time, in
    /// seconds.
    pub fn wasted_work(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        let late = self.select(keep).filter(|(q, r)| r.time_to_first().is_some() && !r.is_good(q));
        late.fold(0.0, |sum, (q, _)| sum + self.work(q))
    }

    /// Engine time of a request in a full batch without cache hits, in seconds.
    fn work(&self, request: &Request) -> f64 {
        let s = &self.config;
        let token = s.per_sequence + s.base / s.slots;
        (s.per_token * request.prompt + token * request.output).as_secs_f64()
    }

    /// Number of the selected requests that were completed within their deadline.
    pub fn good_count(&self, keep: impl Fn(&Request) -> bool) -> usize {
        self.select(keep).filter(|(q, r)| r.is_good(q)).count()
    }

    /// Fraction of the selected requests that were not completed within their deadline.
    pub fn late_fraction(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        let (mut all, mut late) = (0u64, 0u64);
        for (request, state) in self.select(keep) {
            all += 1;
            late += u64::from(!state.is_good(request));
        }
        late as f64 / all.max(1) as f64
    }

    /// Fraction of the prompt tokens of started dossiers that were found in a cache.
    pub fn cached_fraction(&self) -> f64 {
        let (mut all, mut hit) = (0u64, 0u64);
        for (request, state) in self.select(|r| !r.urgent) {
            if let Some(cached) = state.cached() {
                all += u64::from(request.prompt);
                hit += u64::from(cached);
            }
        }
        hit as f64 / all.max(1) as f64
    }

    /// Organisations that sent requests, sorted.
    pub fn orgs(&self) -> Vec<OrgId> {
        let mut orgs: Vec<_> = self.requests.iter().map(|r| r.org).collect();
        orgs.sort_unstable();
        orgs.dedup();
        orgs
    }

    /// Lowest good work of an organisation relative to its max-min fair share of `capacity` engine
    /// seconds, and that organisation.
    pub fn worst_served(&self, capacity: f64, keep: impl Fn(&Request) -> bool) -> (f64, OrgId) {
        let orgs = self.orgs();
        let offered: Vec<_> =
            orgs.iter().map(|o| self.offered_work(|r| r.org == *o && keep(r))).collect();
        let shares = max_min(&offered, capacity);
        let ratio = |(org, share): (&OrgId, &f64)| {
            (self.good_work(|r| r.org == *org && keep(r)) / share.max(1e-9), *org)
        };
        let worst = |a: (f64, OrgId), b: (f64, OrgId)| if b.0 < a.0 { b } else { a };
        orgs.iter().zip(&shares).map(ratio).reduce(worst).unwrap_or((1.0, 0))
    }
}

impl Status {
    fn time_to_first(&self) -> Option<Duration> {
        match self {
            Status::Started { first, .. } | Status::Done { first, .. } => Some(*first),
            _ => None,
        }
    }

    fn cached(&self) -> Option<u32> {
        match self {
            Status::Started { cached, .. } | Status::Done { cached, .. } => Some(*cached),
            _ => None,
        }
    }

    fn is_good(&self, request: &Request) -> bool {
        matches!(self, Status::Done { total, .. } if *total <= request.deadline)
    }
}

fn percentile(mut times: Vec<Duration>, percent: f64) -> Duration {
    times.sort_unstable();
    let index = (times.len() as f64 * percent / 100.0) as usize;
    times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or(Duration::MAX)
}

/// Max-min fair shares of `capacity` among `demands`.
pub fn max_min(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<_> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut left = capacity;
    for (rank, i) in order.iter().enumerate() {
        let equal = left / (demands.len() - rank) as f64;
        shares[*i] = demands[*i].min(equal);
        left -= shares[*i];
    }
    shares
}
