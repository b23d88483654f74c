//! Goes on with a run that was stopped, at the target of its copy or at its source.

use {
    super::{Mover, Stopped, TargetCopy},
    crate::{
        assignment::Assignment,
        crash::CallGuard,
        dialect::{Part, PrefillHandle, Verdict},
        endpoint::Endpoint,
        requirements,
        run::{self, Attempts, Call},
    },
    agate_quarantine::Work,
    agate_route::health::ExchangeResult,
    agate_transport::proof::{Grant, Retryable},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time limit for the response head; a run that is moved is admitted first.
const HEAD_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after this instance learned that the source is leaving in which the request may go back to it. An
/// endpoint must get no requests two seconds after its notice, of which the list may be 0.8 s late.
const RETURN_TIME: Duration = Duration::from_millis(1_200);

impl Mover {
    /// Goes on after the event `resume` with a run that was stopped: at the target, or else at the source,
    /// which `old` counts. `None` if both fail.
    pub async fn go_on(
        &mut self,
        stopped: Stopped,
        old: Assignment,
        attempts: &mut Attempts,
        resume: &str,
    ) -> Option<Call> {
        let Stopped { copy: TargetCopy { mut target, mut held, _permit, begun }, whole } = stopped;
        let kept = PrefillHandle { handle: held.handle.clone() };
        let kv = (self.state.dialect.kv_source)(self.source.entry.address, &kept);
        target.on_first_token();
        let target = whole.then_some(("done", target));
        for (event, assignment) in target.into_iter().chain([("returned", old)]) {
            let late = self.noticed.is_none_or(|noticed| noticed.elapsed() >= RETURN_TIME);
            if event == "returned" && late {
                break;
            }
            let endpoint = assignment.endpoint.clone();
            let Some(call) = self.ask(assignment, attempts, resume, &kv).await else { continue };
            held.used = true;
            attempts.tried.push(endpoint.entry.name.clone());
            self.count(event);
            log::info!(
                event = "stream_moved", request = self.job.info.id.as_str(),
                from = &*self.source.entry.name, endpoint = &*endpoint.entry.name, after = resume,
                took_ms = begun.elapsed().as_millis() as u64;
                "the stream goes on as the same run"
            );
            match event {
                "done" => self.follow(&endpoint),
                _ => self.end(),
            }
            return Some(call);
        }
        self.log_failure("lost");
        None
    }

    /// Sends the request to an endpoint that has the run's memory.
    async fn ask(
        &self,
        assignment: Assignment,
        attempts: &mut Attempts,
        resume: &str,
        kv: &str,
    ) -> Option<Call> {
        let (state, job) = (&self.state, &self.job);
        let endpoint = assignment.endpoint.clone();
        let returns = Arc::ptr_eq(&endpoint, &self.source);
        let Some(admission) = state.admit(&job.service, &mut attempts.calls) else {
            self.log_failure("no_permit");
            return None;
        };
        let outgoing = requirements::outgoing(job, &assignment, Some(resume), Part::Decode(kv));
        let guard = CallGuard::begin(state, job, &endpoint, Work::Run, None);
        let grant = Grant::Again(Retryable::generation());
        let sent = run::send(state, job, &assignment, &outgoing, grant, &admission);
        let failure = match timeout(HEAD_TIMEOUT.min(job.remaining()), sent).await {
            Ok(Ok(response)) => {
                let verdict = (state.dialect.classify_response)(&response.head);
                if verdict == Verdict::Good && response.head.status.is_success() {
                    return Some(Call { response, assignment, guard });
                }
                self.log_refused(&endpoint, response.head.status.as_str());
                guard.on_error_response();
                return None;
            }
            Ok(Err(failure)) => Some(failure),
            Err(_) => None,
        };
        if failure.as_ref().is_some_and(|f| f.unsent()) {
            state.on_unsent(&job.service, &mut attempts.calls, admission);
        }
        let cause = failure.as_ref().map_or("no response in time", |f| f.cause.as_str());
        self.log_refused(&endpoint, cause);
        if returns {
            // It stopped as it had announced.
            guard.on_error_response();
            return None;
        }
        let declared = failure.as_ref().is_some_and(|f| f.declared);
        let result = if declared { ExchangeResult::Busy } else { ExchangeResult::Failure };
        state.fleet.record_result(&endpoint, result);
        match failure {
            Some(failure) => guard.on_failure(&failure).await,
            None => guard.on_lost(true).await,
        }
        None
    }

    fn log_refused(&self, endpoint: &Endpoint, cause: &str) {
        log::info!(
            event = "move_refused", request = self.job.info.id.as_str(),
            endpoint = &*endpoint.entry.name, cause;
            "an endpoint does not go on with a run that was moved"
        );
    }
}
