//! Tallies of a run and their order: worst-served organisation first.

use {
    crate::mix::Kind, hdrhistogram::Histogram, indexmap::IndexMap, serde::Serialize,
    std::time::Duration,
};

/// Significant decimal digits of histograms; they grow with the greatest value seen, so that a
/// table of several thousand organisations stays small.
const DIGITS: u8 = 2;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A whole answer within the deadline.
    Good,
    /// A whole answer after the deadline.
    Late,
    /// A refusal that states that nothing ran.
    NotRun,
    /// Another refusal or error answer.
    Refused,
    /// An answer that is not whole or not to this request.
    Broken,
    /// No answer: connection failure, or still open when the run ended.
    Lost,
}

impl Outcome {
    /// Every outcome.
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
    /// Median.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
    /// Greatest.
    pub max: f64,
}

/// Counts and latencies of one organisation or kind.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests intended.
    pub sent: u64,
    /// Requests by outcome.
    pub outcomes: IndexMap<Outcome, u64>,
    /// Time to the whole answer, in microseconds.
    pub whole: Histogram<u64>,
    /// Time to the first token of streams, in microseconds.
    pub first: Histogram<u64>,
    /// Longest time between two tokens of each stream, in microseconds.
    pub between: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("the number of digits is valid");
        Self {
            sent: 0,
            outcomes: IndexMap::new(),
            whole: histogram(),
            first: histogram(),
            between: histogram(),
        }
    }
}

/// What one request gave.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the intended send time to the end.
    pub whole: Duration,
    /// Time from the intended send time to the first token.
    pub first: Option<Duration>,
    /// Longest time between two tokens.
    pub between: Option<Duration>,
}

impl Tally {
    /// Adds one request. Latencies of all ended requests count, good or not.
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

    /// Requests with this outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Part of the intended requests that were answered whole and in time.
    pub fn goodput(&self) -> f64 {
        self.count(Outcome::Good) as f64 / self.sent.max(1) as f64
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = time.as_micros().max(1) as u64;
    histogram.record(micros).expect("a histogram that grows takes every value");
}

fn quantiles(h: &Histogram<u64>) -> Quantiles {
    let at = |q| h.value_at_quantile(q) as f64 / 1e3;
    match h.is_empty() {
        true => Quantiles::default(),
        false => Quantiles { p50: at(0.5), p95: at(0.95), p99: at(0.99), max: at(1.0) },
    }
}

/// One line of the report.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Organisation or kind.
    pub name: String,
    /// Requests intended.
    pub sent: u64,
    /// Part answered whole and in time.
    pub goodput: f64,
    /// Requests by outcome.
    pub outcomes: IndexMap<Outcome, u64>,
    /// Time to the whole answer, from the intended send time.
    pub whole: Quantiles,
    /// Time to the first token, from the intended send time.
    pub first: Quantiles,
    /// Longest time between two tokens of a stream.
    pub between: Quantiles,
}

impl Row {
    fn new(name: impl Into<String>, t: &Tally) -> Self {
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

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the plan.
    pub seed: u64,
    /// Requests a second that were intended.
    pub rate: f64,
    /// Length of the plan in seconds.
    pub seconds: f64,
    /// All requests.
    pub total: Row,
    /// By kind.
    pub kinds: Vec<Row>,
    /// By organisation, worst-served first.
    pub organisations: Vec<Row>,
}

/// Tallies while a run goes on.
#[derive(Clone, Debug, Default)]
pub struct Tallies {
    total: Tally,
    kinds: IndexMap<Kind, Tally>,
    organisations: IndexMap<String, Tally>,
}

impl Tallies {
    /// Adds one request.
    pub fn add(&mut self, organisation: &str, kind: Kind, sample: &Sample) {
        self.total.add(sample);
        self.kinds.entry(kind).or_default().add(sample);
        match self.organisations.get_mut(organisation) {
            Some(t) => t.add(sample),
            None => self.organisations.entry(organisation.to_owned()).or_default().add(sample),
        }
    }

    /// Tally of all requests.
    pub fn total(&self) -> &Tally {
        &self.total
    }

    /// The report so far; organisations by goodput, then by 95 in 100 of the first token.
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
    /// The report as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report is always encoded")
    }

    /// The report as a Markdown table, worst-served organisation first.
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
