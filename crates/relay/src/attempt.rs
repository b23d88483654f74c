//! One attempt of a request at one endpoint, with all that accounts for it.

use {
    crate::{
        assignment::Assignment,
        calls::Admission,
        crash::CallGuard,
        dialect::{Part, Verdict},
        proxy_state::ProxyState,
        requirements,
        run::{self, Attempts},
        serve::Job,
        started::{self, PendingCall},
    },
    agate_route::health::ExchangeResult,
    agate_transport::{
        exchange::{EndpointResponse, Result, Step},
        proof::Grant,
    },
    std::sync::Arc,
};

/// An attempt that is about to be sent or in progress. Dropped, it counts as made: its endpoint may
/// have run the request.
pub(crate) struct Attempt<'a> {
    /// Counts the request at its endpoint until dropped.
    pub assignment: Assignment,
    /// Tracks whether the call crashes its endpoint.
    pub guard: CallGuard,
    /// Admission by the retry budget.
    pub admission: Admission,
    /// Counts the request for usage if the attempt is dropped.
    pub waiting: PendingCall<'a>,
}

/// An attempt and the result of its exchange.
pub(crate) type Delivered<'a> = (Attempt<'a>, Result<EndpointResponse>);

/// Sends an attempt and waits for the head of its response.
pub(crate) async fn deliver<'a>(
    state: &ProxyState,
    job: &Job,
    attempt: Attempt<'a>,
    resume: Option<&str>,
    part: Part<'_>,
    grant: Grant,
) -> Delivered<'a> {
    let outgoing = requirements::outgoing(job, &attempt.assignment, resume, part);
    let sent =
        run::send(state, job, &attempt.assignment, &outgoing, grant, &attempt.admission).await;
    (attempt, sent)
}

/// Records in `attempts` how the exchange of an attempt ended; returns what is left of the attempt.
pub(crate) fn record_sent(
    state: &ProxyState,
    job: &Job,
    attempts: &mut Attempts,
    attempt: Attempt<'_>,
    sent: &Result<EndpointResponse>,
) -> (Assignment, CallGuard) {
    let Attempt { assignment, guard, admission, waiting } = attempt;
    waiting.end(sent);
    let unconnected = matches!(sent, Err(f) if f.step == Step::Connect);
    attempts.sent += u32::from(!unconnected);
    if matches!(sent, Err(f) if f.unsent()) {
        state.on_unsent(&job.service, &mut attempts.calls, admission);
    }
    (assignment, guard)
}

/// Ends an attempt whose response or failure is not used, since the other attempt's is.
pub(crate) fn discard(
    state: &Arc<ProxyState>,
    job: &Job,
    attempts: &mut Attempts,
    delivered: Delivered<'_>,
) {
    let (attempt, sent) = delivered;
    let (assignment, guard) = record_sent(state, job, attempts, attempt, &sent);
    match sent {
        Ok(response) => {
            started::count_started(state, job);
            let result = match (state.dialect.classify_response)(&response.head) {
                Verdict::Invalid(_) => ExchangeResult::Failure,
                Verdict::Good | Verdict::Failed => ExchangeResult::Neutral,
            };
            state.fleet.record_result(&assignment.endpoint, result);
            guard.on_error_response();
        }
        Err(failure) => {
            run::record_failure(state, job, &assignment, &failure);
            // The probe of the endpoint takes time that the other attempt's response need not wait.
            tokio::spawn(async move { guard.on_failure(&failure).await });
        }
    }
}
