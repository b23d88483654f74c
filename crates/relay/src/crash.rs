//! Detects requests that crash endpoints, from how their calls end.
//!
//! Every call to an endpoint has a [`CallGuard`] from before it is sent until its response is
//! complete. A call that ends without a response counts against the request once the endpoint is
//! known to have crashed: a new connection is refused, or its entry disappears without notice.

use {
    crate::{
        endpoint::Endpoint,
        proxy_state::ProxyState,
        refusal::{Cause, Refused},
        serve::Job,
        survival::{self, Probe, Proof, probe, prove_survival},
    },
    agate_quarantine::{
        Decision, EndpointHash, Fingerprint, Property, Trial, Work, evidence::Call, hex,
        property::kind,
    },
    agate_route::ranking::{mix, name_hash},
    agate_transport::{
        exchange::{Ending, Failure, Step},
        proof::Grant,
    },
    agate_view::Entry,
    http::StatusCode,
    indexmap::IndexSet,
    std::{
        iter,
        pin::pin,
        sync::{Arc, OnceLock},
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Maximum time that a request waits to learn whether its endpoint crashed; a few round trips to
/// another availability zone.
const PROBE_WAIT: Duration = Duration::from_millis(40);
/// Maximum time that a request which can be repeated waits for the proof that its response is complete.
const REPEATABLE_WAIT: Duration = Duration::from_secs(1);
/// Maximum time after a call without a response in which its endpoint may show that it is alive. No request
/// waits for that, so the endpoint is left alone soon.
const SURVIVAL_WAIT: Duration = Duration::from_millis(300);

/// Properties of one request by which the quarantine recognises it; hashed on first use.
#[derive(Debug, Default)]
pub struct PropertyCache {
    run: OnceLock<Vec<Property>>,
    prefill: OnceLock<Vec<Property>>,
}

/// Properties of the part `work` of a request: the whole request first, then the parts of its prompt
/// that other requests may share.
pub fn properties_of(job: &Job, work: Work) -> &[Property] {
    let cell = match work {
        Work::Run => &job.properties.run,
        Work::Prefill => &job.properties.prefill,
    };
    cell.get_or_init(|| {
        let org = job.org.as_ref().map_or("", |org| &org.name);
        let request = Property::request(work, org, job.uri.path(), &job.body);
        let parts = job.info.prompt.as_ref().map_or(&[][..], |p| p.shared_parts());
        let parts = Property::parts(work, &job.service, parts.iter().map(|p| p.id));
        iter::once(request).chain(parts).collect()
    })
}

/// Fingerprint of a request in hexadecimal, for log lines.
pub fn fingerprint_text(job: &Job, work: Work) -> String {
    hex(properties_of(job, work)[0].print)
}

/// Fingerprints of the parts of a request's prompt that other requests may share, for log lines.
pub fn parts_text(job: &Job, work: Work) -> String {
    let parts = properties_of(job, work)[1..].iter();
    parts.map(|p| hex(p.print)).collect::<Vec<_>>().join(",")
}

/// Hash of the endpoint process that an entry describes: its name and start time.
pub fn incarnation_hash(entry: &Entry) -> EndpointHash {
    mix(name_hash(&entry.name), entry.born.unwrap_or_default()) as EndpointHash
}

/// Incarnations that are in `old`, not `leaving`, and missing in `new`.
pub fn disappeared(
    old: &[Entry],
    new: &[Entry],
    leaving: impl Fn(&Entry) -> bool,
) -> Vec<EndpointHash> {
    let present: IndexSet<EndpointHash> = new.iter().map(incarnation_hash).collect();
    let missing = old.iter().filter(|e| !present.contains(&incarnation_hash(e)));
    missing.filter(|e| !leaving(e)).map(incarnation_hash).collect()
}

/// Checks the request against the quarantine. Returns the suspects among its properties; if there are
/// any, it may run only as a trial of them.
///
/// # Errors
///
/// Returns a refusal if the request is quarantined for now.
pub fn check_quarantine(
    state: &ProxyState,
    job: &Job,
    grant: Grant,
) -> Result<(Vec<Fingerprint>, Grant), Refused> {
    if !state.quarantine.is_active() {
        return Ok((Vec::new(), grant));
    }
    match state.quarantine.check(properties_of(job, Work::Run)) {
        Decision::Allowed => Ok((Vec::new(), grant)),
        Decision::TrialOnly(suspects) => Ok((suspects, grant)),
        Decision::Blocked { suspects, wait } => {
            Err(refuse_held(state, job, &suspects, grant, wait))
        }
    }
}

/// Whether the request or a part of its prompt is suspected of crashing endpoints.
pub fn is_suspected(state: &ProxyState, job: &Job) -> bool {
    state.quarantine.is_active()
        && state.quarantine.check(properties_of(job, Work::Run)) != Decision::Allowed
}

/// Checks whether another engine may prefill the prompt: not if the run has suspects, nor before the
/// next trial of the prefill's suspects. Returns these; if there are any, it may be prefilled only as
/// a trial of them.
pub fn check_prefill(state: &ProxyState, job: &Job) -> Option<Vec<Fingerprint>> {
    if !state.quarantine.is_active() {
        return Some(Vec::new());
    }
    if state.quarantine.check(properties_of(job, Work::Run)) != Decision::Allowed {
        return None;
    }
    match state.quarantine.check(properties_of(job, Work::Prefill)) {
        Decision::Allowed => Some(Vec::new()),
        Decision::TrialOnly(suspects) => Some(suspects),
        Decision::Blocked { .. } => None,
    }
}

/// Begins a trial of `suspects` at an endpoint.
///
/// # Errors
///
/// Returns a refusal if no trial may begin now or the store does not record it in time.
pub async fn begin_trial(
    state: &ProxyState,
    job: &Job,
    suspects: Vec<Fingerprint>,
    endpoint: &Endpoint,
    grant: Grant,
) -> Result<(Trial, Grant), Refused> {
    let begun =
        state.quarantine.begin_trial(suspects.clone(), endpoint.incarnation, job.remaining());
    match begun.await {
        Ok(trial) => Ok((trial, grant)),
        Err(wait) => Err(refuse_held(state, job, &suspects, grant, wait)),
    }
}

fn refuse_held(
    state: &ProxyState,
    job: &Job,
    suspects: &[Fingerprint],
    grant: Grant,
    after: Duration,
) -> Refused {
    for print in suspects {
        state.quarantine.metrics.held.with_label_values(&[kind(*print)]).inc();
        log::info!(
            event = "request_held", request = job.info.id.as_str(), print = hex(*print).as_str(),
            of = kind(*print), next_ms = after.as_millis() as u64;
            "request quarantined: a property of it is suspected of crashing endpoints"
        );
    }
    match grant.not_run_proof() {
        Some(proof) => Refused::not_run(Cause::Crashing, Some(after), proof),
        None => Refused::unknown(Cause::Crashing),
    }
}

/// Guard of one call to an endpoint, consumed by the method that says how the call ended.
///
/// Dropped without that, because the caller disconnected, it counts the call as unanswered.
pub struct CallGuard {
    state: Arc<ProxyState>,
    job: Arc<Job>,
    endpoint: Arc<Endpoint>,
    work: Work,
    trial: Option<Trial>,
    open: bool,
}

impl CallGuard {
    /// Begins to track a call that is about to be sent.
    pub fn begin(
        state: &Arc<ProxyState>,
        job: &Arc<Job>,
        endpoint: &Arc<Endpoint>,
        work: Work,
        trial: Option<Trial>,
    ) -> Self {
        let (state, job, endpoint) = (state.clone(), job.clone(), endpoint.clone());
        Self { state, job, endpoint, work, trial, open: true }
    }

    fn call(&self) -> Call {
        let trial = self.trial.as_ref().map_or_else(Vec::new, |t| t.prints().to_vec());
        Call { properties: properties_of(&self.job, self.work).to_vec(), trial }
    }

    /// Ends the call, which was sent `since` ago, with a complete response, which clears the request
    /// of suspicion.
    pub fn on_response(mut self, since: Duration) {
        self.open = false;
        if self.state.quarantine.is_active() {
            self.state.quarantine.on_response(properties_of(&self.job, self.work), since);
        }
    }

    /// Ends the call, which was sent `since` ago, with a body that ended as `ending` says; returns what proves it
    /// complete, or why nothing does. A complete response with `status` clears the request of suspicion,
    /// unless the endpoint may have returned it before it ran the request.
    ///
    /// Waits as long as the request has time, but only for [`REPEATABLE_WAIT`] and half of its time if
    /// `may_repeat` then returns true.
    pub async fn on_end(
        self,
        ending: Ending,
        status: StatusCode,
        since: Duration,
        may_repeat: Option<impl FnOnce() -> bool>,
    ) -> Proof {
        let ended_at = Instant::now();
        let sent = ended_at - since;
        let proof = self.prove_end(ending, may_repeat).await;
        survival::record(&self.state, &self.job, &self.endpoint, proof, ended_at.elapsed());
        match proof {
            _ if proof.is_complete() && status.is_server_error() => self.on_error_response(),
            _ if proof.is_complete() => self.on_response(sent.elapsed()),
            // It stopped as it had announced.
            Proof::Refused if self.state.is_leaving(&self.endpoint) => self.on_error_response(),
            Proof::Refused => self.on_crash(),
            _ => self.on_lost(false).await,
        }
        proof
    }

    /// Waits for the proof of [`Self::on_end`].
    async fn prove_end(&self, ending: Ending, may_repeat: Option<impl FnOnce() -> bool>) -> Proof {
        let mut proving = pin!(survival::prove(&self.state, &self.endpoint, ending));
        if let Some(may_repeat) = may_repeat {
            let limit = (self.job.remaining() / 2).min(REPEATABLE_WAIT);
            match timeout(limit, &mut proving).await {
                Ok(proof) => return proof,
                Err(_) if may_repeat() => return Proof::Late,
                Err(_) => {}
            }
        }
        timeout(self.job.remaining(), proving).await.unwrap_or(Proof::Late)
    }

    /// Ends the call without a response at an endpoint that crashed.
    fn on_crash(mut self) {
        self.open = false;
        let incarnation = self.endpoint.incarnation;
        self.state.quarantine.on_unanswered(self.call(), incarnation);
        self.state.quarantine.on_crash(incarnation, "refused");
    }

    /// Ends the call with a response that shows only that the endpoint is alive.
    pub fn on_error_response(mut self) {
        self.open = false;
    }

    /// Ends the call with a failed exchange.
    pub async fn on_failure(mut self, failure: &Failure) {
        if failure.refused {
            self.state.quarantine.on_crash(self.endpoint.incarnation, "refused");
        }
        if failure.declared || failure.unsent() {
            self.open = false;
            if let Some(trial) = self.trial.take() {
                trial.not_run();
            }
            return;
        }
        // A response to another request shows that the endpoint is alive.
        if failure.step == Step::Match {
            return self.on_error_response();
        }
        self.on_lost(failure.silent).await;
    }

    /// Ends the call without a complete response and probes whether the endpoint crashed. Waits for
    /// the probe for a short time, unless the connection was `silent`.
    pub async fn on_lost(mut self, silent: bool) {
        self.open = false;
        let (state, endpoint) = (self.state.clone(), self.endpoint.clone());
        let (call, incarnation) = (self.call(), endpoint.incarnation);
        state.quarantine.on_unanswered(call.clone(), incarnation);
        let failed_at = Instant::now();
        let probing = tokio::spawn(async move {
            match probe(&endpoint, failed_at).await {
                Probe::Refused => state.quarantine.on_crash(incarnation, "refused"),
                // The network path may have lost the state of all connections of that age.
                Probe::Accepted if silent => close_idle(&endpoint),
                Probe::Accepted => drop(tokio::spawn(async move {
                    let survival = prove_survival(&state, &endpoint);
                    match timeout(SURVIVAL_WAIT, survival).await {
                        Ok(Proof::Refused) if !state.is_leaving(&endpoint) => {
                            state.quarantine.on_crash(incarnation, "refused");
                        }
                        Ok(proof) if proof.is_complete() => {
                            state.quarantine.on_alive(&call, incarnation);
                        }
                        Ok(_) | Err(_) => {}
                    }
                })),
                Probe::Unknown => {}
            }
        });
        if silent {
            return;
        }
        // After the timeout the probe continues in the background.
        if timeout(PROBE_WAIT, probing).await.is_err() {
            log::debug!(event = "probe_slow", endpoint = &*self.endpoint.entry.name; "the endpoint has not accepted a new connection yet");
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.open {
            self.state.quarantine.on_unanswered(self.call(), self.endpoint.incarnation);
            self.trial.take().into_iter().for_each(Trial::abandon);
        }
    }
}

/// Closes the idle pooled connections to an endpoint.
fn close_idle(endpoint: &Endpoint) {
    let closed = endpoint.pool.purge();
    log::info!(
        event = "connections_retired", endpoint = &*endpoint.entry.name, closed;
        "closed idle connections: one timed out while a new one works"
    );
}
