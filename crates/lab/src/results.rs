//! What a run measured.

use {
    crate::{engine::Shape, workload::Request},
    agate_core::OrgId,
    agate_route::LoadReport,
    hdrhistogram::Histogram,
    std::time::Duration,
};

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Record {
    /// Nothing was known when the run ended.
    Open,
    /// Refused on arrival.
    Refused,
    /// Expired in the queue.
    Expired,
    /// The first token came.
    Started {
        /// Time to first token.
        first: Duration,
        /// Prompt tokens found in the cache.
        cached: u32,
    },
    /// The whole answer came.
    Done {
        /// Time to first token.
        first: Duration,
        /// Time to last token.
        total: Duration,
        /// Prompt tokens found in the cache.
        cached: u32,
    },
}

/// Figures of one run.
#[derive(Debug)]
pub struct Figures {
    /// The requests.
    pub requests: Vec<Request>,
    /// How each ended.
    pub records: Vec<Record>,
    /// Time that each sent request waited in its instance's queue.
    pub waits: Vec<Option<Duration>>,
    // Of the engines, to weigh requests.
    shape: Shape,
    // Time between tokens in microseconds.
    gaps: Histogram<u64>,
    // Sums of the greatest and of the mean load of an engine.
    loads: (f64, f64),
}

impl Figures {
    /// Starts with every request open.
    pub fn new(requests: &[Request], shape: Shape) -> Self {
        let gaps = Histogram::new(3).expect("three digits are supported");
        let records = vec![Record::Open; requests.len()];
        Self {
            requests: requests.to_vec(),
            records,
            waits: vec![None; requests.len()],
            shape,
            gaps,
            loads: (0.0, 0.0),
        }
    }

    /// Records an iteration in which `sequences` got a token.
    pub fn gap(&mut self, time: Duration, sequences: u32) {
        self.gaps.record_n(time.as_micros() as u64, sequences.into()).expect("histogram resizes");
    }

    /// Records a first token; only the first one of a request counts.
    pub fn first(&mut self, id: usize, cached: u32, first: Duration) {
        if self.records[id] == Record::Open {
            self.records[id] = Record::Started { first, cached };
        }
    }

    /// Records a last token.
    pub fn done(&mut self, id: usize, total: Duration) {
        if let Record::Started { first, cached } = self.records[id] {
            self.records[id] = Record::Done { first, total, cached };
        }
    }

    /// Records how uneven the engines are loaded.
    pub fn imbalance(&mut self, reports: &[LoadReport]) {
        let load = |r: &LoadReport| f64::from(r.running + r.waiting);
        self.loads.0 += reports.iter().map(load).fold(0.0, f64::max);
        self.loads.1 += reports.iter().map(load).sum::<f64>() / reports.len() as f64;
    }

    /// Mean over time of the greatest load, relative to the mean load.
    pub fn unevenness(&self) -> f64 {
        self.loads.0 / self.loads.1
    }

    /// Percentile of the time between tokens.
    pub fn gap_percentile(&self, percent: f64) -> Duration {
        Duration::from_micros(self.gaps.value_at_percentile(percent))
    }

    /// Requests and records that `keep` selects.
    fn select(&self, keep: impl Fn(&Request) -> bool) -> impl Iterator<Item = (&Request, &Record)> {
        self.requests.iter().zip(&self.records).filter(move |(r, _)| keep(r))
    }

    /// Percentile of the time to first token of the requests that `keep` selects and that got one.
    pub fn first_percentile(&self, percent: f64, keep: impl Fn(&Request) -> bool) -> Duration {
        percentile(self.select(keep).filter_map(|(_, r)| r.first()).collect(), percent)
    }

    /// Percentile of the time that the selected requests waited in their instance's queue.
    pub fn wait_percentile(&self, percent: f64, keep: impl Fn(&Request) -> bool) -> Duration {
        let pairs = self.requests.iter().zip(&self.waits).filter(|(r, _)| keep(r));
        percentile(pairs.filter_map(|(_, w)| *w).collect(), percent)
    }

    /// Engine time of the selected requests that were answered within their deadline, in seconds.
    pub fn good_work(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        let good = self.select(keep).filter(|(q, r)| r.good(q));
        good.map(|(q, _)| self.work(q)).sum()
    }

    /// Engine time of the selected requests, in seconds.
    pub fn offered_work(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        self.select(keep).map(|(q, _)| self.work(q)).sum()
    }

    /// Engine time of the selected requests that were started but answered too late, in seconds.
    pub fn wasted_work(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        let late = self.select(keep).filter(|(q, r)| r.first().is_some() && !r.good(q));
        late.fold(0.0, |sum, (q, _)| sum + self.work(q))
    }

    /// Engine time that a request takes of a full batch, in seconds, without any cache hit.
    fn work(&self, request: &Request) -> f64 {
        let s = &self.shape;
        let token = s.per_sequence + s.base / s.slots;
        (s.per_token * request.prompt + token * request.output).as_secs_f64()
    }

    /// Number of the selected requests that were answered within their deadline.
    pub fn good_count(&self, keep: impl Fn(&Request) -> bool) -> usize {
        self.select(keep).filter(|(q, r)| r.good(q)).count()
    }

    /// Share of the selected requests that were not answered within their deadline.
    pub fn late_share(&self, keep: impl Fn(&Request) -> bool) -> f64 {
        let (mut all, mut late) = (0u64, 0u64);
        for (request, record) in self.select(keep) {
            all += 1;
            late += u64::from(!record.good(request));
        }
        late as f64 / all.max(1) as f64
    }

    /// Share of the prompt tokens of started dossiers that were found in a cache.
    pub fn cached_share(&self) -> f64 {
        let (mut all, mut hit) = (0u64, 0u64);
        for (request, record) in self.select(|r| !r.urgent) {
            if let Some(cached) = record.cached() {
                all += u64::from(request.prompt);
                hit += u64::from(cached);
            }
        }
        hit as f64 / all.max(1) as f64
    }

    /// Organisations that occur.
    pub fn orgs(&self) -> Vec<OrgId> {
        let mut orgs: Vec<_> = self.requests.iter().map(|r| r.org).collect();
        orgs.sort_unstable();
        orgs.dedup();
        orgs
    }

    /// Good work of the worst-served organisation relative to its max-min fair share of
    /// `capacity` engine seconds, and that organisation.
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

impl Record {
    fn first(&self) -> Option<Duration> {
        match self {
            Record::Started { first, .. } | Record::Done { first, .. } => Some(*first),
            _ => None,
        }
    }

    fn cached(&self) -> Option<u32> {
        match self {
            Record::Started { cached, .. } | Record::Done { cached, .. } => Some(*cached),
            _ => None,
        }
    }

    fn good(&self, request: &Request) -> bool {
        matches!(self, Record::Done { total, .. } if *total <= request.deadline)
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
