//! Requests to models.
//!
//! Engines are always asked for a stream. A broken stream is resumed on another engine after the
//! last token delivered. If that is not possible, the stream ends with an error, never as if it
//! were complete. A caller that wants a single JSON response gets it once the stream is complete.

use {
    crate::{
        admission::Slot,
        dispatch::{self, Shape, Target, admit, check_key, next_target, record_failure},
        header::RESPONSE_MARKERS,
        metrics::Metrics,
        model_request::{self, ModelRequest},
        proxy_state::{Limits, ProxyState},
        refusal::{Refused, Result},
        serve::Job,
        service::endpoint_headers,
        spend::{Charge, Denied},
        sse,
        token::{Event, TokenStream, Usage},
    },
    agate_admit::queue::cost,
    agate_config::snapshot::ModelEntry,
    agate_core::{EndpointId, ModelId, Mono, PoolId, Refusal, Retry},
    agate_route::{health::ExchangeResult, prefix},
    agate_transport::{
        exchange::{self, Failure, TimeLimits},
        link::IDLE_LIMIT,
        proof::{Grant, NotRunProof, Retryable},
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Request, Response, header::CONTENT_TYPE},
    http_body_util::Full,
    std::{
        sync::{Arc, atomic::Ordering::Relaxed},
        time::Duration,
    },
    volo_http::body::Body,
};

/// Path of model requests on an engine.
const ENGINE_PATH: &str = "/v1/chat/completions";

/// A model request in progress.
pub struct Generation {
    /// Shared state of the instance.
    pub state: Arc<ProxyState>,
    /// The request, its caller and its deadline.
    pub job: Job,
    /// Parsed body of the request.
    pub request: ModelRequest,
    /// Pool of the model's engines.
    pub pool: PoolId,
    /// Number of tokens delivered to the caller or collected for it.
    pub delivered: u32,
    /// Token counts reported by the engine that finished the stream.
    pub usage: Usage,
    /// Whether the response is complete.
    finished: bool,
    shape: Shape,
    tried: Vec<EndpointId>,
    /// Longest idle time of a connection that may be reused; zero after one timed out silently.
    max_idle: Duration,
    last: Mono,
    slot: Slot,
    charge: Option<Charge>,
}

/// Runs a request on a model route.
///
/// Errors: the body or the model name is invalid, the organisation has no access or no budget left,
/// or no engine produced a complete response in time.
pub async fn run(state: &Arc<ProxyState>, job: Job, proof: NotRunProof) -> Result<Response<Body>> {
    let (request, proof) = model_request::parse(&job.body, proof)?;
    let (model, proof) = authorise(&job, &request, proof)?;
    let (pool, shape) = (model.pool, shape(&job, &request, model));
    let (charge, proof) = charge(state, &job, &request, proof).await?;
    state.admission(pool).work.prompt.fetch_add(shape.prompt.into(), Relaxed);
    let (slot, proof) = admit(state, &job, pool, shape.cost, proof).await?;
    let mut run = Generation {
        state: state.clone(),
        last: job.start,
        job,
        request,
        pool,
        delivered: 0,
        usage: Usage::default(),
        finished: false,
        shape,
        tried: Vec::new(),
        max_idle: IDLE_LIMIT,
        slot,
        charge,
    };
    let stream = run.start(Grant::First(proof)).await?;
    if run.request.stream {
        Ok(sse::event_stream(run, stream))
    } else {
        collect_response(run, stream).await
    }
}

/// Computes the size of a request. The hashes of its prefix blocks are salted with the
/// organisation's name, so that organisations share cached prefixes only where the model declares
/// them as shared.
fn shape(job: &Job, request: &ModelRequest, model: &ModelEntry) -> Shape {
    let salt = prefix::salt(job.org_name());
    let shared: Vec<&str> = model.shared.iter().map(|s| &**s).collect();
    let prompt = request.prompt_tokens();
    let cost = cost(prompt, request.output);
    Shape { prefix: prefix::blocks(salt, &shared, &request.text), prompt, cost }
}

fn authorise<'a>(
    job: &'a Job,
    request: &ModelRequest,
    proof: NotRunProof,
) -> Result<(&'a ModelEntry, NotRunProof)> {
    let Some((id, model)) = job.snapshot.find_model(&request.model) else {
        let text = format!("no model named {:?}", request.model);
        return Err(Refused::not_run(Refusal::ModelUnknown, text, proof));
    };
    if !may_use(job, id) {
        let text = format!("the organisation has no access to model {:?}", request.model);
        return Err(Refused::not_run(Refusal::Forbidden, text, proof));
    }
    if request.output > model.output || request.output == 0 {
        let text = format!("max_tokens must be between 1 and {}", model.output);
        return Err(Refused::not_run(Refusal::BodyMalformed, text, proof));
    }
    Ok((model, proof))
}

/// Charges the request to its organisation's budget, if it has one.
async fn charge(
    state: &ProxyState,
    job: &Job,
    request: &ModelRequest,
    proof: NotRunProof,
) -> Result<(Option<Charge>, NotRunProof)> {
    let Some(budget) = job.org().and_then(|o| o.budget.as_ref()) else { return Ok((None, proof)) };
    let bound = job.body.len() as u64 + u64::from(request.output);
    let (text, after) = match state.spends.charge(budget, bound).await {
        Ok(charge) => return Ok((Some(charge), proof)),
        Err(Denied::Spent(rest)) => ("is spent for this period", rest),
        Err(Denied::Unreachable) => ("cannot be charged at the moment", dispatch::RETRY_AFTER),
    };
    let text = format!("the budget {:?} {text}", &*budget.name);
    Err(Refused::not_run(Refusal::BudgetSpent, text, proof).retry_after(after))
}

fn may_use(job: &Job, model: ModelId) -> bool {
    job.caller.org().is_none() || job.org().is_some_and(|o| o.models.contains(&model))
}

/// Stream of an engine, with the exchange that it comes from.
pub struct EngineStream {
    tokens: TokenStream,
    target: Target,
    begin: Mono,
    /// Time to the first token; absent if the stream resumes an earlier one.
    first: Option<Duration>,
}

impl Generation {
    /// Sends the request to one engine after another until one responds with a stream.
    async fn start(&mut self, mut grant: Grant) -> Result<EngineStream> {
        loop {
            grant = check_key(&self.state, &self.job, grant)?;
            let (state, pool) = (&self.state, self.pool);
            let chosen =
                next_target(state, &self.job, pool, &self.shape, &self.tried, grant).await?;
            let (target, granted) = chosen;
            self.slot.sent();
            self.tried.push(target.id);
            let begin = state.now();
            let limit = dispatch::time_left(state, &self.job).min(state.limits().first);
            let time_limits =
                TimeLimits { fresh: limit, reused: limit, max_idle: self.max_idle, abandon: false };
            let request = self.request();
            let sent = exchange::send(
                &target.connections,
                request,
                &self.job.id,
                &RESPONSE_MARKERS,
                granted,
                time_limits,
            )
            .await;
            let failure = match sent {
                Ok(response) if response.head.status.is_success() => {
                    self.state.record_load(target.id, &response.head);
                    let between = self.state.limits().between;
                    let tokens = TokenStream::open(response, self.delivered, limit, between);
                    return Ok(EngineStream { tokens, target, begin, first: None });
                }
                Ok(response) => {
                    dispatch::observe_rest(&self.state, target.id, &response.head);
                    return Err(self.engine_refusal(response).await);
                }
                Err(failure) => failure,
            };
            grant = self.recover(target, *failure).await?;
        }
    }

    /// Reads the next event. Resumes the stream on another engine if it breaks.
    ///
    /// Errors: the stream broke and cannot be resumed.
    pub async fn next(&mut self, mut source: EngineStream) -> Result<(Event, EngineStream)> {
        loop {
            let state = self.state.clone();
            let next = tokio::select! {
                next = source.tokens.next() => next,
                () = state.until_ending(source.target.id) => {
                    let grant = self.leave_endpoint(source);
                    source = self.start(grant).await?;
                    continue;
                }
            };
            let failure = match next {
                Ok(event) => {
                    // A request that crashes an engine does so while its prompt is processed. After
                    // the first token, the next suspected request may run there.
                    source.target.reservation = None;
                    if self.delivered == 0 && matches!(event, Event::Token(_)) {
                        let now = self.state.now();
                        source.first = Some(now.saturating_sub(source.begin));
                    }
                    return Ok((self.record_event(event, &source), source));
                }
                Err(failure) => failure,
            };
            let grant = self.recover(source.target, *failure).await?;
            source = self.start(grant).await?;
        }
    }

    /// Abandons an exchange because its endpoint is about to be removed. This is no failure of the
    /// endpoint or the request, so it counts against neither.
    fn leave_endpoint(&mut self, source: EngineStream) -> Grant {
        let id = source.target.id;
        log::info!(
            "request {}: endpoint {} is about to be removed; {} tokens delivered",
            self.job.id,
            source.target.connections.address(),
            self.delivered
        );
        source.target.exchange.end(ExchangeResult::Neutral);
        self.tried.retain(|tried| *tried != id);
        self.state.metrics.retry(Retry::EndpointLeaving);
        Grant::Again(Retryable::generation())
    }

    /// Decides after a failure whether the request may be resumed after the last token delivered.
    async fn recover(&mut self, target: Target, failure: Failure) -> Result<Grant> {
        log::info!("request {}: {failure}; {} tokens delivered", self.job.id, self.delivered);
        if failure.silent {
            self.max_idle = Duration::ZERO;
        }
        let cause = record_failure(&self.state, &self.job, target, &failure).await;
        let (again, attempts) = (Some(Retryable::generation()), self.tried.len() as u32);
        let failed = (failure, cause);
        let (state, pool) = (&self.state, self.pool);
        let (grant, reason) =
            dispatch::allow_retry(state, &self.job, pool, failed, again, attempts)?;
        let resumed = self.delivered > 0 && reason == Retry::Idempotent;
        let reason = if resumed { Retry::StreamResumed } else { reason };
        state.metrics.retry(reason);
        self.job.trace.record_retry(reason.code());
        Ok(grant)
    }

    fn record_event(&mut self, event: Event, source: &EngineStream) -> Event {
        match &event {
            Event::Token(_) => self.observe_token(source.tokens.delivered()),
            // A resumed stream reports only the tokens of its last engine.
            Event::Usage(usage) => {
                self.usage = Usage { completion_tokens: self.delivered, ..*usage };
            }
            Event::Finish(_) | Event::End => {}
        }
        event
    }

    /// Ends a request whose stream is complete.
    pub fn finish(&mut self, source: EngineStream) {
        self.finished = true;
        self.record_cache(&source);
        source.target.exchange.end(ExchangeResult::Success);
        self.state.suspects.clear(
            || self.job.fingerprints(&self.state.secrets),
            || self.job.shared_messages(),
            source.begin,
            self.state.now(),
        );
        self.state.metrics.responses.inc();
        self.job.trace.end("answered", self.state.now());
        let actual = cost(self.usage.prompt_tokens, self.usage.completion_tokens);
        let admission = self.state.admission(self.pool);
        admission.settle(&self.slot, &self.job.caller, self.shape.cost, actual);
    }

    /// Records the engine's cached prefix and prefill speed, as the response reports them.
    fn record_cache(&self, source: &EngineStream) {
        let (table, id) = (self.state.table.load(), source.target.id);
        let cached = self.usage.cached_tokens;
        table.note_cached(id, &self.shape.prefix, cached);
        if let Some(first) = source.first {
            let uncached = self.usage.prompt_tokens.saturating_sub(cached);
            table.endpoint(id).stats.note_prefill(uncached, first);
        }
    }

    fn observe_token(&mut self, delivered: u32) {
        let now = self.state.now();
        let metrics = &self.state.metrics;
        let histogram = if self.delivered == 0 { &metrics.first } else { &metrics.between };
        Metrics::observe(histogram, now.saturating_sub(self.last));
        self.last = now;
        let fresh = delivered.saturating_sub(self.delivered);
        self.state.admission(self.pool).work.output.fetch_add(fresh.into(), Relaxed);
        self.delivered = delivered;
    }

    /// Reduces the charge to the tokens used. If the request did not complete, the length of its
    /// prompt is estimated.
    fn settle(&mut self) {
        let prompt = match (self.finished, self.tried.is_empty()) {
            (true, _) => self.usage.prompt_tokens,
            (false, false) => self.shape.prompt,
            (false, true) => 0,
        };
        if let Some(charge) = &mut self.charge {
            charge.set_used(u64::from(prompt) + u64::from(self.delivered));
        }
    }

    async fn engine_refusal(&self, response: exchange::EndpointResponse) -> Refused {
        let status = response.head.status;
        let text = format!("the engine answered with status {status}");
        let Limits { answer: most, between, .. } = self.state.limits();
        let _ = response.collect(most, between).await;
        Refused::unknown(Refusal::ResponseInvalid, text)
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let body = self.request.for_engine(self.delivered);
        let mut out = Request::new(Full::new(body));
        *out.method_mut() = Method::POST;
        *out.uri_mut() = http::Uri::from_static(ENGINE_PATH);
        *out.headers_mut() = endpoint_headers(&self.job);
        let json = HeaderValue::from_static("application/json");
        out.headers_mut().insert(CONTENT_TYPE, json);
        out
    }
}

/// Records the charge and the usage of the request, however it ended.
impl Drop for Generation {
    fn drop(&mut self) {
        self.settle();
        if !self.finished && self.delivered == 0 {
            return;
        }
        let Some(org) = self.job.org() else { return };
        // The engine reports the length of the prompt at the end of the stream. An estimate could
        // exceed it, so the prompt of a broken stream is not counted.
        let prompt = self.usage.prompt_tokens.into();
        (self.state.record_usage)(&org.name, &self.request.model, prompt, self.delivered.into());
    }
}

/// Collects the stream into one JSON response.
async fn collect_response(mut run: Generation, mut source: EngineStream) -> Result<Response<Body>> {
    let mut text = String::new();
    let mut reason = String::new();
    loop {
        let (event, rest) = run.next(source).await?;
        match event {
            Event::Token(token) => text.push_str(&token),
            Event::Finish(why) => reason = why,
            Event::Usage(_) => {}
            Event::End => {
                run.finish(rest);
                break;
            }
        }
        source = rest;
    }
    Ok(sse::json_response(&run, &text, &reason))
}
