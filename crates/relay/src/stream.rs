//! Forwards a stream of events and resumes it at another endpoint where that is allowed.

use {
    crate::{
        Body,
        assignment::Assignment,
        crash::{fingerprint_text, parts_text},
        demand::{self, PromptClass},
        dialect::Verdict,
        events::Splitter,
        moving::{Mover, Stopped},
        proxy_state::ProxyState,
        record,
        refusal::Cause,
        requirements,
        run::{self, Attempts, Call},
        serve::Job,
        stream_version,
    },
    agate_quarantine::Work,
    agate_route::health::ExchangeResult,
    agate_transport::{buffer_budget::BufferAccount, in_flight::Guard},
    agate_view::Entry,
    bytes::Bytes,
    futures_util::stream,
    http::{Response, StatusCode},
    http_body::Frame,
    http_body_util::{BodyExt, StreamBody},
    std::{io, sync::Arc},
};

struct StreamState {
    state: Arc<ProxyState>,
    job: Arc<Job>,
    call: Option<Call>,
    attempts: Attempts,
    splitter: Splitter,
    /// What the incomplete event takes.
    account: BufferAccount,
    status: StatusCode,
    started: bool,
    /// Moves the stream off an endpoint that leaves.
    mover: Option<Mover>,
    /// Whether it was moved.
    moved: bool,
    _guard: Option<Guard>,
}

/// Result of one step of forwarding.
enum Next {
    /// Bytes for the caller.
    Bytes(Bytes),
    /// The stream is complete.
    End,
    /// The stream was interrupted and resumes at another endpoint.
    Resumed,
    /// The stream was interrupted and cannot be resumed.
    Broken(Cause),
}

/// Makes a response whose body forwards the events of `call`.
pub fn forward(
    state: Arc<ProxyState>,
    job: Arc<Job>,
    call: Call,
    attempts: Attempts,
    guard: Option<Guard>,
) -> Response<Body> {
    let headers = (state.dialect.response_headers)(&call.response.head.headers);
    let status = call.response.head.status;
    let splitter = Splitter::default();
    let started = false;
    let account = call.response.account();
    let mover = Mover::open(&state, &job, &call.assignment.endpoint);
    let stream = StreamState {
        state,
        job,
        call: Some(call),
        attempts,
        splitter,
        account,
        status,
        started,
        mover,
        moved: false,
        _guard: guard,
    };
    let body = StreamBody::new(stream::unfold(Some(stream), advance));
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

type Item = Result<Frame<Bytes>, io::Error>;

async fn advance(stream: Option<StreamState>) -> Option<(Item, Option<StreamState>)> {
    let mut stream = stream?;
    loop {
        match stream.next().await {
            Next::Bytes(bytes) => return Some((Ok(Frame::data(bytes)), Some(stream))),
            Next::Resumed => {}
            Next::End => return None,
            Next::Broken(cause) => {
                stream.state.metrics.count_refusal(cause, false);
                log::info!(
                    event = "stream_broken", request = stream.job.info.id.as_str(),
                    cause = cause.label(), begun = stream.started,
                    held_ms = stream.job.arrived.elapsed().as_millis() as u64;
                    "the stream ends with an error"
                );
                let error = io::Error::other(format!("stream interrupted: {}", cause.label()));
                return Some((Err(error), None));
            }
        }
    }
}

impl StreamState {
    async fn next(&mut self) -> Next {
        let call = self.call.as_mut().expect("an open stream has a call");
        loop {
            let reading = call.response.next(self.job.remaining());
            let read = match &mut self.mover {
                None => Some(reading.await),
                Some(mover) => mover.watch(reading, &mut self.attempts).await,
            };
            // However it is marked, the end of a run that was stopped to be moved is not that of its stream.
            if !matches!(read, Some(Ok(Some(_))))
                && let Some(mover) = &mut self.mover
                && let Some(stopped) = mover.on_closed().await
            {
                return self.go_on(stopped).await;
            }
            let Some(read) = read else { continue };
            match read {
                Ok(Some(bytes)) => {
                    if !self.started {
                        self.started = true;
                        let version = call.assignment.endpoint.entry.version.clone();
                        stream_version::record(&self.state, &self.job, &version);
                        self.attempts.version = Some(version);
                        self.attempts.begun = true;
                        call.assignment.on_first_token();
                        record::record_start(&self.state, &self.job, &call.assignment);
                    }
                    let whole = self.splitter.push(&bytes);
                    if self.splitter.overflows() {
                        return Next::Broken(Cause::InvalidResponse);
                    }
                    if let Err(e) = self.account.set(self.splitter.held()) {
                        return self.on_break(&e.to_string(), false).await;
                    }
                    if !whole.is_empty() {
                        if let Some(mover) = &mut self.mover {
                            mover.on_events(&whole);
                        }
                        return match call.response.hold(whole) {
                            Ok(whole) => Next::Bytes(whole),
                            Err(e) => {
                                log::debug!("a stream is broken off: {e}");
                                Next::Broken(Cause::NoMemory)
                            }
                        };
                    }
                }
                Ok(None) if self.splitter.is_complete() && self.started => {
                    return self.on_end().await;
                }
                Ok(None) => return self.on_break("ended amid an event", false).await,
                Err(failure) => return self.on_break(&failure.cause, failure.silent).await,
            }
        }
    }

    /// Ends the stream after a complete event.
    async fn on_end(&mut self) -> Next {
        let Some(Call { response, mut assignment, guard }) = self.call.take() else {
            return Next::End;
        };
        assignment.release();
        let Self { state, job, attempts, .. } = self;
        let may_repeat = job.route.kind.retryable() && run::may_continue(job, attempts);
        let may_repeat = may_repeat.then_some(|| run::reserve_retry(state, job, attempts));
        let (ending, took) = (response.ending(), assignment.elapsed());
        let proof = guard.on_end(ending, self.status, took, may_repeat).await;
        if !proof.is_complete() {
            self.record_cut(&assignment, run::UNPROVEN_END, false, proof.result());
            drop(assignment);
            return self.resume(Cause::Lost).await;
        }
        self.state.fleet.record_result(&assignment.endpoint, ExchangeResult::Success);
        record::record_response(&self.state, &self.job, &assignment, self.status);
        // The last part of a run that was moved says little about the time of a whole one.
        let class = requirements::prompt_class(&self.job).filter(|_| !self.moved);
        if let Some(class) = class {
            let slot_time = match class {
                PromptClass::Short => {
                    demand::slot_time(took, assignment.prefill_time(), assignment.slots())
                }
                // Its prompt should be prefilled by another engine, so the stall of other slots is
                // left out even if this engine prefilled it.
                PromptClass::Long => took,
            };
            let measured = self.state.settings.measured_demand;
            self.state.demand(&self.job.service, |d, _| match measured {
                true => d.on_slot_measured(class, slot_time),
                false => d.on_slot_released(class, slot_time),
            });
        }
        response.release();
        Next::End
    }

    /// Ends an interrupted exchange and resumes at another endpoint if that is allowed.
    async fn on_break(&mut self, why: &str, silent: bool) -> Next {
        let Some(Call { response, assignment, guard }) = self.call.take() else { return Next::End };
        drop(response);
        self.record_cut(&assignment, why, silent, ExchangeResult::Failure);
        drop(assignment);
        guard.on_lost(silent).await;
        self.resume(if silent { Cause::Late } else { Cause::Lost }).await
    }

    /// Goes on with a run that its endpoint stopped, at the endpoint that has its memory.
    async fn go_on(&mut self, stopped: Stopped) -> Next {
        let Some(Call { response, assignment, guard }) = self.call.take() else { return Next::End };
        drop(response);
        // The stream ended as it was asked to, which says nothing about the rest of the run.
        guard.on_error_response();
        self.discard_partial();
        let resume = self.splitter.last_id().map(str::to_owned);
        let (Some(mover), Some(resume)) = (&mut self.mover, resume) else {
            return self.resume(Cause::Lost).await;
        };
        match mover.go_on(stopped, assignment, &mut self.attempts, &resume).await {
            Some(call) => {
                self.moved = true;
                self.call = Some(call);
                Next::Resumed
            }
            None => self.resume(Cause::Lost).await,
        }
    }

    fn discard_partial(&mut self) {
        self.splitter.discard_partial();
        if let Err(e) = self.account.set(0) {
            log::debug!("returning the memory of an incomplete event: {e}");
        }
    }

    fn record_cut(&self, assignment: &Assignment, why: &str, silent: bool, result: ExchangeResult) {
        self.state.fleet.record_result(&assignment.endpoint, result);
        log::info!(
            event = "stream_cut", request = self.job.info.id.as_str(),
            print = fingerprint_text(&self.job, Work::Run).as_str(), parts = parts_text(&self.job, Work::Run).as_str(),
            endpoint = &*assignment.endpoint.entry.name,
            version = &*assignment.endpoint.entry.version, cause = why, silent,
            last_event = self.splitter.last_id();
            "the endpoint's stream was interrupted"
        );
    }

    /// Resumes a stream that was interrupted for `cause` at another endpoint if that is allowed.
    async fn resume(&mut self, cause: Cause) -> Next {
        if run::retry(&self.state, &self.job, &mut self.attempts, cause).is_err() {
            return Next::Broken(cause);
        }
        self.discard_partial();
        let resume = self.splitter.last_id().or(self.job.info.resume.as_deref()).map(str::to_owned);
        match run::open_call(&self.state, &self.job, &mut self.attempts, resume.as_deref(), None)
            .await
        {
            Ok(call)
                if (self.state.dialect.classify_response)(&call.response.head) == Verdict::Good
                    && call.response.head.status.is_success() =>
            {
                self.state.metrics.resumed.inc();
                let Entry { name, version, .. } = &call.assignment.endpoint.entry;
                log::info!(
                    event = "stream_resumed", request = self.job.info.id.as_str(), endpoint = &**name,
                    version = &**version, after = resume.as_deref();
                    "the stream goes on at another endpoint"
                );
                if let Some(mover) = &mut self.mover {
                    mover.follow(&call.assignment.endpoint);
                }
                self.call = Some(call);
                Next::Resumed
            }
            Ok(_) => Next::Broken(Cause::Rejected),
            Err(refused) => Next::Broken(refused.cause),
        }
    }
}
