//! What calls to endpoints show of requests that crash them.
//!
//! Every call to an endpoint has an [`Exposure`] from before it leaves until its answer is whole. One
//! that ends without an answer is held against the request once the endpoint is known to have crashed:
//! by a new connection that is refused, or by its entry that goes without notice.

use {
    crate::{
        endpoint::Endpoint,
        gate::Gate,
        refusal::{Cause, Refused},
        serve::Job,
    },
    agate_link::{
        exchange::{Failure, Step},
        link,
        truth::Grant,
    },
    agate_quarantine::{EndpointHash, Judgement, Print, Trial, Work, evidence::Call, hex, print},
    agate_route::ranking::{mix, name_hash},
    agate_view::Entry,
    indexmap::IndexSet,
    std::{
        io,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Longest time that a request waits to learn whether its endpoint crashed; a few times the way to
/// another availability zone and back.
const PROBE_WAIT: Duration = Duration::from_millis(40);

/// Print of some work of a request.
pub fn print_of(job: &Job, work: Work) -> Print {
    let org = job.org.as_ref().map_or("", |org| &org.name);
    print(work, org, job.uri.path(), &job.body)
}

/// The same as it stands in log lines.
pub fn print_text(job: &Job, work: Work) -> String {
    hex(print_of(job, work))
}

/// Hash of the incarnation that an entry describes.
pub fn incarnation(entry: &Entry) -> EndpointHash {
    mix(name_hash(&entry.name), entry.born.unwrap_or_default()) as EndpointHash
}

/// Incarnations that were there without a notice of leaving, and are no more.
pub fn vanished(old: &[Entry], new: &[Entry]) -> Vec<EndpointHash> {
    let present: IndexSet<EndpointHash> = new.iter().map(incarnation).collect();
    let staying = old.iter().filter(|e| !e.leaving).map(incarnation);
    staying.filter(|hash| !present.contains(hash)).collect()
}

/// How the request may be sent; `Ok` with whether only as a trial.
pub fn judge(gate: &Gate, job: &Job, grant: Grant) -> Result<(bool, Grant), Refused> {
    if !gate.quarantine.is_active() {
        return Ok((false, grant));
    }
    match gate.quarantine.judge(print_of(job, Work::Run)) {
        Judgement::Free => Ok((false, grant)),
        Judgement::Trial => Ok((true, grant)),
        Judgement::Held(after) => Err(held(job, grant, after)),
    }
}

/// Whether the prompt may be read apart: not if that, or the request itself, is suspected.
pub fn may_read_apart(gate: &Gate, job: &Job) -> bool {
    let free = |work| gate.quarantine.judge(print_of(job, work)) == Judgement::Free;
    !gate.quarantine.is_active() || (free(Work::Read) && free(Work::Run))
}

/// Begins a trial of the request at an endpoint.
pub async fn begin(
    gate: &Gate,
    job: &Job,
    endpoint: &Endpoint,
    grant: Grant,
) -> Result<(Trial, Grant), Refused> {
    let begun = gate.quarantine.begin(print_of(job, Work::Run), endpoint.incarnation, job.left());
    match begun.await {
        Ok(trial) => Ok((trial, grant)),
        Err(after) => Err(held(job, grant, after)),
    }
}

fn held(job: &Job, grant: Grant, after: Duration) -> Refused {
    log::info!(
        event = "request_held", request = job.ask.id.as_str(),
        print = print_text(job, Work::Run).as_str(), next_ms = after.as_millis() as u64;
        "the request is suspected of crashing endpoints"
    );
    match grant.untouched() {
        Some(proof) => Refused::not_run(Cause::Crashing, Some(after), proof),
        None => Refused::unknown(Cause::Crashing),
    }
}

/// A call at an endpoint, until it is answered or shown to be none.
///
/// Dropped before, since the caller left, it counts as unanswered.
pub struct Exposure {
    gate: Arc<Gate>,
    job: Arc<Job>,
    endpoint: Arc<Endpoint>,
    work: Work,
    trial: Option<Trial>,
    open: bool,
}

impl Exposure {
    /// Notes that a call is about to leave.
    pub fn begin(
        gate: &Arc<Gate>,
        job: &Arc<Job>,
        endpoint: &Arc<Endpoint>,
        work: Work,
        trial: Option<Trial>,
    ) -> Self {
        let (gate, job, endpoint) = (gate.clone(), job.clone(), endpoint.clone());
        Self { gate, job, endpoint, work, trial, open: true }
    }

    fn call(&self) -> Call {
        Call { print: print_of(&self.job, self.work), trial: self.trial.is_some() }
    }

    /// Ends with a whole answer.
    pub fn answered(mut self) {
        self.open = false;
        if self.gate.quarantine.is_active() {
            self.gate.quarantine.on_answer(print_of(&self.job, self.work));
        }
    }

    /// Ends with an answer that shows only that the endpoint lives.
    pub fn failed(mut self) {
        self.open = false;
    }

    /// Ends with a failed exchange.
    pub async fn ended(mut self, failure: &Failure) {
        if failure.refused {
            self.gate.quarantine.on_crash(self.endpoint.incarnation, "refused");
        }
        if failure.declared || failure.unsent() {
            self.open = false;
            if let Some(trial) = self.trial.take() {
                trial.unrun();
            }
            return;
        }
        // An answer to another request comes from an endpoint that lives.
        if failure.step == Step::Match {
            return self.failed();
        }
        self.lost(failure.silent).await;
    }

    /// Ends without a whole answer; waits a little to learn whether the endpoint crashed, unless it was
    /// silent.
    pub async fn lost(mut self, silent: bool) {
        self.open = false;
        let (gate, endpoint) = (self.gate.clone(), self.endpoint.clone());
        let (call, incarnation) = (self.call(), endpoint.incarnation);
        gate.quarantine.on_unanswered(call, incarnation);
        let broken = Instant::now();
        let probing = tokio::spawn(async move {
            match probe(&endpoint, broken).await {
                Probe::Refused => gate.quarantine.on_crash(incarnation, "refused"),
                // The path may have lost track of all connections that are as old.
                Probe::Alive if silent => retire(&endpoint),
                Probe::Alive => gate.quarantine.on_alive(call, incarnation),
                Probe::Silent => {}
            }
        });
        if silent {
            return;
        }
        // The probe goes on if it takes longer.
        if timeout(PROBE_WAIT, probing).await.is_err() {
            log::debug!(event = "probe_slow", endpoint = &*self.endpoint.entry.name; "an endpoint does not take a new connection yet");
        }
    }
}

impl Drop for Exposure {
    fn drop(&mut self) {
        if self.open {
            self.gate.quarantine.on_unanswered(self.call(), self.endpoint.incarnation);
        }
    }
}

/// Closes the idle connections to an endpoint.
fn retire(endpoint: &Endpoint) {
    let closed = endpoint.pool.purge();
    log::info!(
        event = "connections_retired", endpoint = &*endpoint.entry.name, closed;
        "a connection was silent while new ones work"
    );
}

/// What a new connection shows of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Nothing listens at its address any more.
    Refused,
    /// It accepts connections.
    Alive,
    /// Nothing, since no answer came.
    Silent,
}

/// Opens a connection to the endpoint, unless another probe did so later than `since`.
async fn probe(endpoint: &Endpoint, since: Instant) -> Probe {
    let mut known = endpoint.live.probed.lock().await;
    if let Some((_, shown)) = known.filter(|(at, _)| *at >= since) {
        return shown;
    }
    let at = Instant::now();
    let shown = match link::open(endpoint.entry.address).await {
        Ok(link) => {
            endpoint.pool.put(link);
            Probe::Alive
        }
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
        Err(_) => Probe::Silent,
    };
    *known = Some((at, shown));
    shown
}
