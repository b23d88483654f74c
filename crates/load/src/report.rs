//! Counters and latencies of a run, and the report; the organisation with the lowest goodput is
//! first.

use {
    crate::mix::Kind, hdrhistogram::Histogram, indexmap::IndexMap, serde::Serialize,
    std::time::Duration,
};

/// Significant decimal digits of histograms. Two keep the histograms of several thousand
/// organisations small; a histogram's range grows with its largest value.
const DIGITS: u8 = 2;

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Complete response within the deadline.
    Good,
    /// Complete response after the deadline.
    Late,
    /// Error response that states that the request was not executed.
    NotRun,
    /// Any other error response.
    Refused,
    /// Successful response that is incomplete or belongs to another request.
    Broken,
    /// No response: the connection failed, or the request was still open when the run ended.
    Lost,
}

impl Outcome {
    /// Every outcome, in declaration order.
    pub const ALL: [Outcome; 6] = [
        Outcome::Good,
        Outcome::Late,
        Outcome::NotRun,
        Outcome::Refused,
        Outcome::Broken,
        Outcome::Lost,
    ];
}

/// Latency quantiles in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// 50th percentile.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Counters and latency histograms of one organisation or kind, or of the whole run.
#[derive(Clone, Debug)]
pub struct RequestStats {
    /// Number of requests of the plan that have ended.
    pub sent: u64,
    /// Number of requests by outcome.
    pub outcomes: IndexMap<Outcome, u64>,
    /// Time until the response was complete, in microseconds.
    pub whole: Histogram<u64>,
    /// Time until the first token of a stream, in microseconds.
    pub first: Histogram<u64>,
    /// Longest time between two tokens of each stream, in microseconds.
    pub between: Histogram<u64>,
}

impl Default for RequestStats {
    fn default() -> Self {
        let histogram =
            || Histogram::new(DIGITS).expect("the number of significant digits is valid");
        Self {
            sent: 0,
            outcomes: IndexMap::new(),
            whole: histogram(),
            first: histogram(),
            between: histogram(),
        }
    }
}

/// Measurements of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Result of the request.
    pub outcome: Outcome,
    /// Time from the intended send time to the end of the request.
    pub whole: Duration,
    /// Time from the intended send time to the first token; `None` if there was none.
    pub first: Option<Duration>,
    /// Longest time between two tokens; `None` with fewer than two.
    pub between: Option<Duration>,
}

impl RequestStats {
    /// Adds one request; its latency counts whatever its outcome.
    pub fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        *self.outcomes.entry(sample.outcome).or_insert(0) += 1;
        record(&mut self.whole, sample.whole);
        if let Some(t) = sample.first {
            record(&mut self.first, t);
        }
        if let Some(t) = sample.between {
            record(&mut self.between, t);
        }
    }

    /// Number of requests with this outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Fraction of the requests with a complete response in time.
    pub fn goodput(&self) -> f64 {
        self.count(Outcome::Good) as f64 / self.sent.max(1) as f64
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = time.as_micros().max(1) as u64;
    histogram.record(micros).expect("an auto-resizing histogram accepts every value");
}

fn quantiles(h: &Histogram<u64>) -> Quantiles {
    let at = |q| h.value_at_quantile(q) as f64 / 1e3;
    match h.is_empty() {
        true => Quantiles::default(),
        false => Quantiles { p50: at(0.5), p95: at(0.95), p99: at(0.99), max: at(1.0) },
    }
}

/// Row of the report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the organisation or kind.
    pub name: String,
    /// Number of requests of the plan that have ended.
    pub sent: u64,
    /// Fraction of the requests with a complete response in time.
    pub goodput: f64,
    /// Number of requests by outcome.
    pub outcomes: IndexMap<Outcome, u64>,
    /// Time from the intended send time until the response was complete.
    pub whole: Quantiles,
    /// Time from the intended send time until the first token.
    pub first: Quantiles,
    /// Longest time between two tokens of a stream.
    pub between: Quantiles,
}

impl Row {
    fn new(name: impl Into<String>, t: &RequestStats) -> Self {
        Row {
            name: name.into(),
            sent: t.sent,
            goodput: t.goodput(),
            outcomes: t.outcomes.clone(),
            whole: quantiles(&t.whole),
            first: quantiles(&t.first),
            between: quantiles(&t.between),
        }
    }
}

/// Report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed that the plan was drawn from.
    pub seed: u64,
    /// Planned requests per second.
    pub rate: f64,
    /// Duration of the plan, in seconds.
    pub seconds: f64,
    /// Row of all requests.
    pub total: Row,
    /// Rows by kind.
    pub kinds: Vec<Row>,
    /// Rows by organisation, lowest goodput first.
    pub organisations: Vec<Row>,
}

/// Counters and latency histograms of a run in progress.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    total: RequestStats,
    kinds: IndexMap<Kind, RequestStats>,
    organisations: IndexMap<String, RequestStats>,
}

impl RunStats {
    /// Adds one request of an organisation.
    pub fn add(&mut self, organisation: &str, kind: Kind, sample: &Sample) {
        self.total.add(sample);
        self.kinds.entry(kind).or_default().add(sample);
        match self.organisations.get_mut(organisation) {
            Some(t) => t.add(sample),
            None => self.organisations.entry(organisation.to_owned()).or_default().add(sample),
        }
    }

    /// Counters of all requests.
    pub fn total(&self) -> &RequestStats {
        &self.total
    }

    /// Report of the requests so far. Organisations are sorted by goodput, then by the 95th
    /// percentile of the time to the first token, longest first.
    pub fn report(&self, seed: u64, rate: f64, time: Duration) -> Report {
        let mut organisations: Vec<_> =
            self.organisations.iter().map(|(n, t)| Row::new(n, t)).collect();
        organisations.sort_by(|a, b| {
            a.goodput.total_cmp(&b.goodput).then(b.first.p95.total_cmp(&a.first.p95))
        });
        Report {
            seed,
            rate,
            seconds: time.as_secs_f64(),
            total: Row::new("total", &self.total),
            kinds: self.kinds.iter().map(|(k, t)| Row::new(k.label(), t)).collect(),
            organisations,
        }
    }
}

impl Report {
    /// Returns the report as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report is valid JSON")
    }

    /// Returns the report as a Markdown table: organisations, lowest goodput first, then kinds and
    /// total.
    pub fn table(&self) -> String {
        let mut out = String::from(
            "| | sent | good % | whole p50 ms | whole p95 ms | first p95 ms | between p95 ms |\n\
             | --- | ---: | ---: | ---: | ---: | ---: | ---: |\n",
        );
        for r in self.organisations.iter().chain(&self.kinds).chain([&self.total]) {
            out += &format!(
                "| {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |\n",
                r.name,
                r.sent,
                r.goodput * 100.0,
                r.whole.p50,
                r.whole.p95,
                r.first.p95,
                r.between.p95,
            );
        }
        out
    }
}
