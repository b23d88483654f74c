//! Passes a stream of events on, and resumes it at another endpoint where that is allowed.

use {
    crate::{
        Body,
        demand::{self, Class},
        events::Splitter,
        gate::Gate,
        note,
        refusal::Cause,
        run::{self, Attempts, Leg},
        serve::Job,
        shape,
        suspect::print_text,
    },
    agate_link::flight::Guard,
    agate_quarantine::Work,
    agate_route::health::Kind as Judged,
    bytes::Bytes,
    futures_util::stream,
    http::{Response, StatusCode},
    http_body::Frame,
    http_body_util::{BodyExt, StreamBody},
    std::{io, sync::Arc},
};

struct State {
    gate: Arc<Gate>,
    job: Arc<Job>,
    leg: Option<Leg>,
    attempts: Attempts,
    splitter: Splitter,
    status: StatusCode,
    begun: bool,
    _guard: Option<Guard>,
}

/// What a step of the relay leads to.
enum Next {
    /// Bytes for the caller.
    Bytes(Bytes),
    /// The stream is whole.
    End,
    /// The stream broke off and goes on elsewhere.
    Resumed,
    /// The stream broke off for good.
    Broken(Cause),
}

/// Answer whose body passes the events of `leg` on.
pub fn pass(
    gate: Arc<Gate>,
    job: Arc<Job>,
    leg: Leg,
    attempts: Attempts,
    guard: Option<Guard>,
) -> Response<Body> {
    let headers = (gate.dialect.relay)(&leg.answer.head.headers);
    let status = leg.answer.head.status;
    let splitter = Splitter::default();
    let begun = false;
    let leg = Some(leg);
    let state = State { gate, job, leg, attempts, splitter, status, begun, _guard: guard };
    let body = StreamBody::new(stream::unfold(Some(state), advance));
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

type Item = Result<Frame<Bytes>, io::Error>;

async fn advance(state: Option<State>) -> Option<(Item, Option<State>)> {
    let mut state = state?;
    loop {
        match state.next().await {
            Next::Bytes(bytes) => return Some((Ok(Frame::data(bytes)), Some(state))),
            Next::Resumed => {}
            Next::End => return None,
            Next::Broken(cause) => {
                state.gate.meter.refuse(cause, false);
                log::info!(
                    event = "stream_broken", request = state.job.ask.id.as_str(),
                    cause = cause.label(), begun = state.begun,
                    held_ms = state.job.arrived.elapsed().as_millis() as u64;
                    "the stream ends as an error"
                );
                let error = io::Error::other(format!("stream broke off: {}", cause.label()));
                return Some((Err(error), None));
            }
        }
    }
}

impl State {
    async fn next(&mut self) -> Next {
        let leg = self.leg.as_mut().expect("a stream that goes on has an endpoint");
        loop {
            match leg.answer.next(self.job.left()).await {
                Ok(Some(bytes)) => {
                    if !self.begun {
                        self.begun = true;
                        leg.stay.first_token();
                        note::count_start(&self.gate, &self.job, &leg.stay);
                    }
                    let whole = self.splitter.push(&bytes);
                    if self.splitter.overflows() {
                        return Next::Broken(Cause::Spoilt);
                    }
                    if !whole.is_empty() {
                        return Next::Bytes(whole);
                    }
                }
                Ok(None) if self.splitter.is_whole() && self.begun => return self.finish(),
                Ok(None) => return self.broken("ended amid an event", false).await,
                Err(failure) => return self.broken(&failure.cause, failure.silent).await,
            }
        }
    }

    fn finish(&mut self) -> Next {
        if let Some(Leg { answer, stay, exposure }) = self.leg.take() {
            exposure.answered();
            self.gate.fleet.judge(&stay.endpoint, Judged::Success);
            note::note_answer(&self.gate, &self.job, &stay, self.status);
            if let Some(class) = shape::class(&self.job) {
                let hold = match class {
                    Class::Short => demand::hold(stay.elapsed(), stay.reading_time(), stay.slots()),
                    // Its prompt is to be read by another engine, even if this one did.
                    Class::Long => stay.elapsed(),
                };
                self.gate.demand(&self.job.service, |d, _| d.on_generated(class, hold));
            }
            answer.release();
        }
        Next::End
    }

    /// Ends the exchange that broke off, and goes on at another endpoint if that is allowed.
    async fn broken(&mut self, why: &str, silent: bool) -> Next {
        let Some(Leg { answer, stay, exposure }) = self.leg.take() else { return Next::End };
        drop(answer);
        self.gate.fleet.judge(&stay.endpoint, Judged::Failure);
        log::info!(
            event = "stream_cut", request = self.job.ask.id.as_str(),
            print = print_text(&self.job, Work::Run).as_str(),
            endpoint = &*stay.endpoint.entry.name, cause = why, silent,
            last_event = self.splitter.last();
            "the endpoint's stream broke off"
        );
        drop(stay);
        exposure.lost(silent).await;
        let cause = if silent { Cause::Late } else { Cause::Lost };
        if run::again(&self.gate, &self.job, &mut self.attempts, cause).is_err() {
            return Next::Broken(cause);
        }
        self.splitter.forget_rest();
        let resume = self.splitter.last().or(self.job.ask.resume.as_deref()).map(str::to_owned);
        match run::start(&self.gate, &self.job, &mut self.attempts, resume.as_deref(), None).await {
            Ok(leg) if leg.answer.head.status.is_success() => {
                self.gate.meter.resumed.inc();
                self.leg = Some(leg);
                Next::Resumed
            }
            Ok(_) => Next::Broken(Cause::Rejected),
            Err(refused) => Next::Broken(refused.cause),
        }
    }
}
