//! Execution of a plan with limits on time and concurrency.

use {
    crate::{
        Error, Result,
        exchange::{Target, exchange, outgoing},
        mix::{Arrival, Mix, Organisation, plan},
        report::{Outcome, Report, RunStats, Sample},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{Semaphore, mpsc},
        task::JoinSet,
        time::{Instant, interval, sleep_until},
    },
};

/// Largest expected number of requests of a plan.
const MAX_REQUESTS: f64 = 10_000_000.0;
/// Time between two calls of the progress callback.
const PROGRESS_TICK: Duration = Duration::from_secs(1);

/// Targets, rate, limits and requests of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses that requests are sent to in turn.
    pub targets: Vec<SocketAddr>,
    /// Seed that the plan is drawn from.
    pub seed: u64,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Duration of the plan.
    pub time: Duration,
    /// Time to wait for open requests after the last one was started.
    pub grace: Duration,
    /// Maximum number of open requests; others wait, and the waiting time counts as latency.
    pub open: usize,
    /// Organisations that send the requests.
    pub organisations: Vec<Organisation>,
    /// Requests to send.
    pub mix: Mix,
    /// Whether a response must have the id of the request, as for endpoints. Instances assign their
    /// own request ids.
    pub echo: bool,
}

/// Progress of a run.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Time since the start of the run.
    pub elapsed: Duration,
    /// Number of requests in the plan.
    pub planned: usize,
    /// Number of requests that have ended.
    pub ended: u64,
    /// Number of requests with a complete response in time.
    pub good: u64,
    /// 95th percentile of the time to a complete response so far, in milliseconds.
    pub p95: f64,
}

/// Executes a plan and calls `progress` about once per second.
///
/// # Errors
///
/// [`Error::Settings`] if there is no target, no request, no organisation or no concurrency, or if
/// the plan would have more than ten million requests.
pub async fn run(settings: Settings, progress: impl Fn(&Progress)) -> Result<Report> {
    check(&settings)?;
    let s = &settings;
    let arrivals = plan(s.seed, s.rate, s.time, &s.organisations, &s.mix);
    let planned = arrivals.len();
    let start = Instant::now();
    let (results_tx, mut results) = mpsc::unbounded_channel();
    let sending = tokio::spawn(send_all(settings.clone(), arrivals, start, results_tx));
    let mut stats = RunStats::default();
    let mut tick = interval(PROGRESS_TICK);
    loop {
        tokio::select! {
            next = results.recv() => match next {
                Some((arrival, sample)) => add(&mut stats, &settings, &arrival, &sample),
                None => break,
            },
            _ = tick.tick() => progress(&status(&stats, planned, start)),
        }
    }
    let lost = sending.await.unwrap_or_default();
    for arrival in lost {
        let whole = start.elapsed().saturating_sub(arrival.at);
        let sample = Sample { outcome: Outcome::Lost, whole, first: None, between: None };
        add(&mut stats, &settings, &arrival, &sample);
    }
    progress(&status(&stats, planned, start));
    Ok(stats.report(settings.seed, settings.rate, settings.time))
}

fn check(s: &Settings) -> Result<()> {
    let weights = s.organisations.iter().map(|o| o.weight);
    let shares = s.mix.shares.iter().map(|m| m.weight);
    let usable = |w: f64| w.is_finite() && w > 0.0;
    let number = s.rate * s.time.as_secs_f64();
    match () {
        () if s.targets.is_empty() => Err(Error::Settings("there is no target")),
        () if s.open == 0 => Err(Error::Settings("the limit of open requests must be above zero")),
        () if !usable(s.rate) => Err(Error::Settings("the rate must be above zero")),
        () if number > MAX_REQUESTS => Err(Error::Settings("more than ten million requests")),
        () if !usable(weights.sum()) => Err(Error::Settings("no organisation has a weight")),
        () if !usable(shares.sum()) => Err(Error::Settings("no share of the mix has a weight")),
        () => Ok(()),
    }
}

fn add(stats: &mut RunStats, settings: &Settings, arrival: &Arrival, sample: &Sample) {
    let name = &settings.organisations[arrival.organisation].name;
    stats.add(name, settings.mix.shares[arrival.share].kind, sample);
}

fn status(stats: &RunStats, planned: usize, start: Instant) -> Progress {
    let total = stats.total();
    Progress {
        elapsed: start.elapsed(),
        planned,
        ended: total.sent,
        good: total.count(Outcome::Good),
        p95: total.whole.value_at_quantile(0.95) as f64 / 1e3,
    }
}

type ResultSender = mpsc::UnboundedSender<(Arrival, Sample)>;

/// Sends each request at its time; returns those that were still open at the end.
async fn send_all(
    settings: Settings,
    arrivals: Vec<Arrival>,
    start: Instant,
    results: ResultSender,
) -> Vec<Arrival> {
    let targets: Vec<_> = settings.targets.iter().map(|a| Target::new(*a)).collect();
    let open = Arc::new(Semaphore::new(settings.open));
    let echo = settings.echo;
    let run = format!("load-{:x}-{}", settings.seed, start_millis());
    let mut tasks = JoinSet::new();
    let mut pending: indexmap::IndexMap<u64, Arrival> = indexmap::IndexMap::new();
    for arrival in arrivals {
        let intended = start + arrival.at;
        sleep_until(intended).await;
        let key = &settings.organisations[arrival.organisation].key;
        let out = outgoing(&arrival, &settings.mix, key, &run);
        let target = targets[arrival.number as usize % targets.len()].clone();
        let open = open.clone();
        pending.insert(arrival.number, arrival.clone());
        tasks.spawn(async move {
            let _permit = open.acquire_owned().await.expect("the semaphore is never closed");
            (arrival, exchange(&target, out, intended, echo).await)
        });
        while let Some(done) = tasks.try_join_next() {
            report_result(done, &mut pending, &results);
        }
    }
    let end = Instant::now() + settings.grace;
    while let Ok(Some(done)) = tokio::time::timeout_at(end, tasks.join_next()).await {
        report_result(done, &mut pending, &results);
    }
    tasks.abort_all();
    pending.into_values().collect()
}

fn report_result(
    done: std::result::Result<(Arrival, Sample), tokio::task::JoinError>,
    pending: &mut indexmap::IndexMap<u64, Arrival>,
    results: &ResultSender,
) {
    if let Ok((arrival, sample)) = done {
        pending.swap_remove(&arrival.number);
        // The receiver exists until this task ends.
        let _ = results.send((arrival, sample));
    }
}

/// Start time that makes the idempotency keys of a repeated run with the same seed new.
fn start_millis() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}
