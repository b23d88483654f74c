//! Requests to models.
//!
//! Engines are always asked for a stream. A stream that breaks is resumed on another engine after
//! the last token delivered; if that is no longer possible it ends as an error and never as a
//! clean end. A caller that wants one JSON answer gets it after the stream was whole.

use {
    crate::{
        desk::Slot,
        dispatch::{self, Shape, Target, admit, blame, check_key, next_target},
        gate::{Gate, Limits},
        header::SIGNS,
        meter::Meter,
        prompt::{self, Ask},
        reply::{Refused, Result},
        serve::Job,
        service::endpoint_headers,
        spend::{Charge, Denied},
        sse,
        token::{Event, Tokens, Usage},
    },
    agate_admit::queue::cost,
    agate_config::snapshot::ModelEntry,
    agate_core::{EndpointId, ModelId, Mono, PoolId, Refusal, Retry},
    agate_link::{
        exchange::{self, Failure, Patience},
        link::IDLE_LIMIT,
        truth::{Grant, Repeatable, Untouched},
    },
    agate_route::{health::Kind, prefix},
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

/// A model request on its way to an engine.
pub struct Run {
    /// Shared state of the instance.
    pub gate: Arc<Gate>,
    /// The request.
    pub job: Job,
    /// What it asks for.
    pub ask: Ask,
    /// Pool of the model's engines.
    pub pool: PoolId,
    /// Tokens handed to the caller or kept for it.
    pub delivered: u32,
    /// Counts reported by the engine that finished.
    pub usage: Usage,
    /// Whether the answer came to its proper end.
    finished: bool,
    shape: Shape,
    tried: Vec<EndpointId>,
    /// Longest idle time of a connection that may be used; none after one went silent.
    rest: Duration,
    last: Mono,
    slot: Slot,
    charge: Option<Charge>,
}

/// Runs a request on a model route.
pub async fn run(gate: &Arc<Gate>, job: Job, proof: Untouched) -> Result<Response<Body>> {
    let (ask, proof) = prompt::parse(&job.body, proof)?;
    let (model, proof) = authorise(&job, &ask, proof)?;
    let (pool, shape) = (model.pool, shape(&job, &ask, model));
    let (charge, proof) = charge(gate, &job, &ask, proof).await?;
    gate.desk(pool).work.prompt.fetch_add(shape.prompt.into(), Relaxed);
    let (slot, proof) = admit(gate, &job, pool, shape.cost, proof).await?;
    let mut run = Run {
        gate: gate.clone(),
        last: job.start,
        job,
        ask,
        pool,
        delivered: 0,
        usage: Usage::default(),
        finished: false,
        shape,
        tried: Vec::new(),
        rest: IDLE_LIMIT,
        slot,
        charge,
    };
    let stream = run.start(Grant::First(proof)).await?;
    if run.ask.stream { Ok(sse::stream(run, stream)) } else { whole(run, stream).await }
}

/// Size of a request; its prefix blocks are salted so that organisations never share them unless
/// the model declares the prefix as shared.
fn shape(job: &Job, ask: &Ask, model: &ModelEntry) -> Shape {
    let salt = prefix::salt(job.org_name());
    let shared: Vec<&str> = model.shared.iter().map(|s| &**s).collect();
    let prompt = ask.prompt_tokens();
    let cost = cost(prompt, ask.output);
    Shape { prefix: prefix::blocks(salt, &shared, &ask.text), prompt, cost }
}

fn authorise<'a>(job: &'a Job, ask: &Ask, proof: Untouched) -> Result<(&'a ModelEntry, Untouched)> {
    let Some((id, model)) = job.snapshot.find_model(&ask.model) else {
        let text = format!("no model named {:?}", ask.model);
        return Err(Refused::not_run(Refusal::ModelUnknown, text, proof));
    };
    if !may_use(job, id) {
        let text = format!("the organisation has no access to model {:?}", ask.model);
        return Err(Refused::not_run(Refusal::Forbidden, text, proof));
    }
    if ask.output > model.output || ask.output == 0 {
        let text = format!("max_tokens must be between 1 and {}", model.output);
        return Err(Refused::not_run(Refusal::BodyMalformed, text, proof));
    }
    Ok((model, proof))
}

/// Charges the request to its organisation's budget, if it has one.
async fn charge(
    gate: &Gate,
    job: &Job,
    ask: &Ask,
    proof: Untouched,
) -> Result<(Option<Charge>, Untouched)> {
    let Some(budget) = job.org().and_then(|o| o.budget.as_ref()) else { return Ok((None, proof)) };
    let bound = job.body.len() as u64 + u64::from(ask.output);
    let (text, after) = match gate.spends.charge(budget, bound).await {
        Ok(charge) => return Ok((Some(charge), proof)),
        Err(Denied::Spent(rest)) => ("is spent for this period", rest),
        Err(Denied::Unreachable) => ("cannot be charged at the moment", dispatch::COME_BACK),
    };
    let text = format!("the budget {:?} {text}", &*budget.name);
    Err(Refused::not_run(Refusal::BudgetSpent, text, proof).retry_after(after))
}

fn may_use(job: &Job, model: ModelId) -> bool {
    job.caller.org().is_none() || job.org().is_some_and(|o| o.models.contains(&model))
}

/// A stream with the exchange that it comes from.
pub struct Source {
    tokens: Tokens,
    target: Target,
    begin: Mono,
    /// Time to its first token; of a whole answer, not of a resumed one.
    first: Option<Duration>,
}

impl Run {
    /// Sends the request until an engine answers with a stream.
    async fn start(&mut self, mut grant: Grant) -> Result<Source> {
        loop {
            grant = check_key(&self.gate, &self.job, grant)?;
            let (gate, pool) = (&self.gate, self.pool);
            let chosen =
                next_target(gate, &self.job, pool, &self.shape, &self.tried, grant).await?;
            let (target, granted) = chosen;
            self.slot.sent();
            self.tried.push(target.id);
            let begin = gate.now();
            let limit = dispatch::left(gate, &self.job).min(gate.limits().first);
            let patience = Patience { fresh: limit, reused: limit, rest: self.rest };
            let request = self.request();
            let sent =
                exchange::send(&target.links, request, &self.job.id, &SIGNS, granted, patience)
                    .await;
            let failure = match sent {
                Ok(answer) if answer.head.status.is_success() => {
                    self.gate.note_load(target.id, &answer.head);
                    let between = self.gate.limits().between;
                    let tokens = Tokens::open(answer, self.delivered, limit, between);
                    return Ok(Source { tokens, target, begin, first: None });
                }
                Ok(answer) => return Err(self.rejected(answer).await),
                Err(failure) => failure,
            };
            grant = self.recover(target, *failure).await?;
        }
    }

    /// Reads the next event, resuming the stream on another engine when it breaks.
    pub async fn next(&mut self, mut source: Source) -> Result<(Event, Source)> {
        loop {
            let gate = self.gate.clone();
            let next = tokio::select! {
                next = source.tokens.next() => next,
                () = gate.ended(source.target.id) => {
                    let grant = self.leave(source);
                    source = self.start(grant).await?;
                    continue;
                }
            };
            let failure = match next {
                Ok(event) => {
                    // Crashes come with the prompt; after a token the next suspect may follow.
                    source.target.seat = None;
                    if self.delivered == 0 && matches!(event, Event::Token(_)) {
                        let now = self.gate.now();
                        source.first = Some(now.saturating_sub(source.begin));
                    }
                    return Ok((self.accept(event, &source), source));
                }
                Err(failure) => failure,
            };
            let grant = self.recover(source.target, *failure).await?;
            source = self.start(grant).await?;
        }
    }

    /// Gives an exchange up because its endpoint is about to be taken away. This is no failure of
    /// the endpoint or the request, so it counts against neither.
    fn leave(&mut self, source: Source) -> Grant {
        let id = source.target.id;
        log::info!(
            "request {}: endpoint {} is taken away; {} tokens delivered",
            self.job.id,
            source.target.links.address(),
            self.delivered
        );
        source.target.stay.end(Kind::Neutral);
        self.tried.retain(|tried| *tried != id);
        self.gate.meter.retry(Retry::EndpointLeaving);
        Grant::Again(Repeatable::generation())
    }

    /// Decides after a failure whether the request may go on from the last token delivered.
    async fn recover(&mut self, target: Target, failure: Failure) -> Result<Grant> {
        log::info!("request {}: {failure}; {} tokens delivered", self.job.id, self.delivered);
        if failure.silent {
            self.rest = Duration::ZERO;
        }
        let cause = blame(&self.gate, &self.job, target, &failure).await;
        let (again, attempts) = (Some(Repeatable::generation()), self.tried.len() as u32);
        let failed = (failure, cause);
        let (gate, pool) = (&self.gate, self.pool);
        let (grant, reason) = dispatch::repeat(gate, &self.job, pool, failed, again, attempts)?;
        let resumed = self.delivered > 0 && reason == Retry::Idempotent;
        let reason = if resumed { Retry::StreamResumed } else { reason };
        gate.meter.retry(reason);
        self.job.trace.retried(reason.code());
        Ok(grant)
    }

    fn accept(&mut self, event: Event, source: &Source) -> Event {
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

    /// Ends a request whose stream was whole.
    pub fn finish(&mut self, source: Source) {
        self.finished = true;
        self.note_cache(&source);
        source.target.stay.end(Kind::Success);
        self.gate.suspects.clear(|| self.job.prints(&self.gate.secrets));
        self.gate.meter.answers.inc();
        self.job.trace.end("answered", self.gate.now());
        let actual = cost(self.usage.prompt_tokens, self.usage.completion_tokens);
        let desk = self.gate.desk(self.pool);
        desk.settle(&self.slot, &self.job.caller, self.shape.cost, actual);
    }

    /// Records what the answer says of the engine's cache and of the speed of its prefill.
    fn note_cache(&self, source: &Source) {
        let (table, id) = (self.gate.table.load(), source.target.id);
        let cached = self.usage.cached_tokens;
        table.note_cached(id, &self.shape.prefix, cached);
        if let Some(first) = source.first {
            let uncached = self.usage.prompt_tokens.saturating_sub(cached);
            table.endpoint(id).live.note_prefill(uncached, first);
        }
    }

    fn observe_token(&mut self, delivered: u32) {
        let now = self.gate.now();
        let meter = &self.gate.meter;
        let histogram = if self.delivered == 0 { &meter.first } else { &meter.between };
        Meter::observe(histogram, now.saturating_sub(self.last));
        self.last = now;
        let fresh = delivered.saturating_sub(self.delivered);
        self.gate.desk(self.pool).work.output.fetch_add(fresh.into(), Relaxed);
        self.delivered = delivered;
    }

    /// Keeps of the charge what ran. The prompt of a request that did not end whole is estimated.
    fn settle(&mut self) {
        let prompt = match (self.finished, self.tried.is_empty()) {
            (true, _) => self.usage.prompt_tokens,
            (false, false) => self.shape.prompt,
            (false, true) => 0,
        };
        if let Some(charge) = &mut self.charge {
            charge.use_up(u64::from(prompt) + u64::from(self.delivered));
        }
    }

    async fn rejected(&self, answer: exchange::Answer) -> Refused {
        let status = answer.head.status;
        let text = format!("the engine answered with status {status}");
        let Limits { answer: most, between, .. } = self.gate.limits();
        let _ = answer.collect(most, between).await;
        Refused::unknown(Refusal::AnswerInvalid, text)
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let body = self.ask.for_engine(self.delivered);
        let mut out = Request::new(Full::new(body));
        *out.method_mut() = Method::POST;
        *out.uri_mut() = http::Uri::from_static(ENGINE_PATH);
        *out.headers_mut() = endpoint_headers(&self.job);
        let json = HeaderValue::from_static("application/json");
        out.headers_mut().insert(CONTENT_TYPE, json);
        out
    }
}

/// Counts what ran, however the request ended; until then it is among the requests in progress.
impl Drop for Run {
    fn drop(&mut self) {
        self.settle();
        if !self.finished && self.delivered == 0 {
            return;
        }
        let Some(org) = self.job.org() else { return };
        // The engine states the length of the prompt at the end. An estimate could be above it, so
        // the prompt of a broken stream is not counted.
        let prompt = self.usage.prompt_tokens.into();
        (self.gate.count)(&org.name, &self.ask.model, prompt, self.delivered.into());
    }
}

/// Collects the whole stream into one JSON answer.
async fn whole(mut run: Run, mut source: Source) -> Result<Response<Body>> {
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
    Ok(sse::whole(&run, &text, &reason))
}
