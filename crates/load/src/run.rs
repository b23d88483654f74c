//! Carries out a plan within bounds of time and concurrency.

use {
    crate::{
        Error, Result,
        exchange::{Target, exchange, outgoing},
        mix::{Arrival, Mix, Organisation, plan},
        report::{Outcome, Report, Sample, Tallies},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{Semaphore, mpsc},
        task::JoinSet,
        time::{Instant, interval, sleep_until},
    },
};

/// Most requests of one plan.
const MAX_REQUESTS: f64 = 10_000_000.0;
/// Time between two progress calls.
const PROGRESS_TICK: Duration = Duration::from_secs(1);

/// What is sent, how fast, and its bounds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances, used in turn.
    pub targets: Vec<SocketAddr>,
    /// Seed of the plan.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// Length of the plan.
    pub time: Duration,
    /// Time to wait for open requests after the plan's end.
    pub grace: Duration,
    /// Requests open at once; more wait, and their waiting counts as latency.
    pub open: usize,
    /// Organisations that send.
    pub organisations: Vec<Organisation>,
    /// What they send.
    pub mix: Mix,
    /// Whether the targets answer with the request id they were sent, as endpoints do. Instances
    /// give each request an id of their own.
    pub echo: bool,
}

/// State of a run while it goes on.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Time since the start.
    pub elapsed: Duration,
    /// Requests of the whole plan.
    pub planned: usize,
    /// Requests that ended.
    pub ended: u64,
    /// Requests answered whole and in time.
    pub good: u64,
    /// 95 in 100 of the whole-answer latency so far, in milliseconds.
    pub p95: f64,
}

/// Runs the load and calls `progress` about once a second.
///
/// # Errors
///
/// [`Error::Settings`] if there is nothing to send, nobody to send it to, or far too much of it.
pub async fn run(settings: Settings, progress: impl Fn(&Progress)) -> Result<Report> {
    check(&settings)?;
    let s = &settings;
    let arrivals = plan(s.seed, s.rate, s.time, &s.organisations, &s.mix);
    let planned = arrivals.len();
    let start = Instant::now();
    let (to, mut ended) = mpsc::unbounded_channel();
    let sending = tokio::spawn(send_all(settings.clone(), arrivals, start, to));
    let mut tallies = Tallies::default();
    let mut tick = interval(PROGRESS_TICK);
    loop {
        tokio::select! {
            next = ended.recv() => match next {
                Some((arrival, sample)) => add(&mut tallies, &settings, &arrival, &sample),
                None => break,
            },
            _ = tick.tick() => progress(&status(&tallies, planned, start)),
        }
    }
    let lost = sending.await.unwrap_or_default();
    for arrival in lost {
        let whole = start.elapsed().saturating_sub(arrival.at);
        let sample = Sample { outcome: Outcome::Lost, whole, first: None, between: None };
        add(&mut tallies, &settings, &arrival, &sample);
    }
    progress(&status(&tallies, planned, start));
    Ok(tallies.report(settings.seed, settings.rate, settings.time))
}

fn check(s: &Settings) -> Result<()> {
    let weights = s.organisations.iter().map(|o| o.weight);
    let shares = s.mix.shares.iter().map(|m| m.weight);
    let usable = |w: f64| w.is_finite() && w > 0.0;
    let number = s.rate * s.time.as_secs_f64();
    match () {
        () if s.targets.is_empty() => Err(Error::Settings("no target")),
        () if s.open == 0 => Err(Error::Settings("no request may be open")),
        () if !usable(s.rate) => Err(Error::Settings("the rate must be above zero")),
        () if number > MAX_REQUESTS => Err(Error::Settings("more than ten million requests")),
        () if !usable(weights.sum()) => Err(Error::Settings("no organisation sends")),
        () if !usable(shares.sum()) => Err(Error::Settings("the mix is empty")),
        () => Ok(()),
    }
}

fn add(tallies: &mut Tallies, settings: &Settings, arrival: &Arrival, sample: &Sample) {
    let name = &settings.organisations[arrival.organisation].name;
    tallies.add(name, settings.mix.shares[arrival.share].kind, sample);
}

fn status(tallies: &Tallies, planned: usize, start: Instant) -> Progress {
    let total = tallies.total();
    Progress {
        elapsed: start.elapsed(),
        planned,
        ended: total.sent,
        good: total.count(Outcome::Good),
        p95: total.whole.value_at_quantile(0.95) as f64 / 1e3,
    }
}

type Ended = mpsc::UnboundedSender<(Arrival, Sample)>;

/// Sends every arrival at its time; returns those that were still open at the end.
async fn send_all(
    settings: Settings,
    arrivals: Vec<Arrival>,
    start: Instant,
    to: Ended,
) -> Vec<Arrival> {
    let targets: Vec<_> = settings.targets.iter().map(|a| Target::new(*a)).collect();
    let open = Arc::new(Semaphore::new(settings.open));
    let echo = settings.echo;
    let run = format!("load-{:x}-{}", settings.seed, start_mark());
    let mut tasks = JoinSet::new();
    let mut unended: indexmap::IndexMap<u64, Arrival> = indexmap::IndexMap::new();
    for arrival in arrivals {
        let intended = start + arrival.at;
        sleep_until(intended).await;
        let key = &settings.organisations[arrival.organisation].key;
        let out = outgoing(&arrival, &settings.mix, key, &run);
        let target = targets[arrival.number as usize % targets.len()].clone();
        let open = open.clone();
        unended.insert(arrival.number, arrival.clone());
        tasks.spawn(async move {
            let _permit = open.acquire_owned().await.expect("never closed");
            (arrival, exchange(&target, out, intended, echo).await)
        });
        while let Some(done) = tasks.try_join_next() {
            pass_on(done, &mut unended, &to);
        }
    }
    let end = Instant::now() + settings.grace;
    while let Ok(Some(done)) = tokio::time::timeout_at(end, tasks.join_next()).await {
        pass_on(done, &mut unended, &to);
    }
    tasks.abort_all();
    unended.into_values().collect()
}

fn pass_on(
    done: std::result::Result<(Arrival, Sample), tokio::task::JoinError>,
    unended: &mut indexmap::IndexMap<u64, Arrival>,
    to: &Ended,
) {
    if let Ok((arrival, sample)) = done {
        unended.swap_remove(&arrival.number);
        // The receiver lives until this task ends.
        let _ = to.send((arrival, sample));
    }
}

/// Distinguishes runs of one seed, so that a repeated run's bookings are new.
fn start_mark() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}
