//! Holder and candidate of one lease, as a state machine without I/O or a clock.
//!
//! Authority rests on three rules. A holder may act until `ttl - margin` after it *sent* the write
//! that won or renewed its term. A candidate takes a foreign lease over only by a compare-and-swap
//! on the revision that it has seen unchanged for the whole `ttl` since it *received* it. Every
//! term has a token of its own, one above the greatest seen, and never resumes once it lapsed.
//!
//! The second write of the same revision loses, so the order of the two waits does the rest: the
//! write took effect after it was sent and before anyone could read it. No clock of the service is
//! involved; only the rates of two monotonic clocks may not differ by more than `margin` in `ttl`.
//!
//! A lost answer needs no step of its own. The machine writes again on the revision it knows; if the
//! first write took effect, the conflict shows its own record, found by its beat.

use {
    crate::record::Body,
    agate_core::{FenceToken, Mono},
    agate_store::Revision,
    std::time::Duration,
};

pub use crate::state::{
    Action, Answer, Flight, Found, Input, Settings, State, Term, Unanswered, View,
};

/// Unanswered writes that are remembered; older ones count as lapsed if they show up.
const MAX_UNKNOWN: usize = 4;

/// Token with which this instance may act at `now`; asked at the last step before every order.
pub fn may_act(s: &State, now: Mono) -> Option<FenceToken> {
    s.term.filter(|t| now < t.until).map(|t| t.token)
}

/// Time of the first order to an endpoint that ignores tokens, if orders live at most `life`.
///
/// The former holder checked its authority before its term ended, was then paused for at most one
/// lease, and its order lived at most `life`.
pub fn first_order_at(s: &State, life: Duration) -> Option<Mono> {
    s.term.map(|t| t.clear + life)
}

/// Time at which the machine wants a [`Input::Tick`] if nothing else happens.
pub fn next_wake(s: &State) -> Option<Mono> {
    let call = match &s.flight {
        Some(f) => Some(f.sent + s.settings.timeout),
        None if s.wants || s.releasing || s.term.is_some() => Some(s.next),
        None => None,
    };
    let lapse = s.term.map(|t| t.until);
    call.into_iter().chain(lapse).min()
}

/// Advances the machine by one input.
pub fn step(s: &mut State, input: Input, now: Mono) -> Vec<Action> {
    let mut out = Vec::new();
    lapse(s, now, &mut out);
    forget(s, now);
    match input {
        Input::Tick => {}
        Input::Wants(wants) => s.wants = wants,
        Input::Release => release(s, now, &mut out),
        Input::Answer { id, answer } => match s.flight.take_if(|f| f.id == id) {
            Some(flight) => settle(s, flight, answer, now, &mut out),
            None => settle_late(s, id, answer, now, &mut out),
        },
    }
    give_up(s, now, &mut out);
    proceed(s, now, &mut out);
    out
}

/// Ends a term whose time is over.
fn lapse(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    if s.term.is_some_and(|t| t.until <= now) {
        end_term(s, out);
    }
}

/// Forgets unanswered writes that could no longer give or extend a term.
fn forget(s: &mut State, now: Mono) {
    let life = s.settings.ttl - s.settings.margin;
    s.unknown.retain(|w| now < w.sent + life);
}

fn end_term(s: &mut State, out: &mut Vec<Action>) {
    if let Some(t) = s.term.take() {
        s.ended = s.ended.max(t.token);
        out.push(Action::Lost(t.token));
    }
}

fn release(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    s.wants = false;
    s.releasing = s.term.is_some();
    s.next = now;
    end_term(s, out);
}

/// Gives up a call that was not answered in time.
fn give_up(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let timeout = s.settings.timeout;
    if let Some(flight) = s.flight.take_if(|f| f.sent + timeout <= now) {
        settle(s, flight, Answer::Unknown, now, out);
    }
}

/// Takes in the answer to a call.
fn settle(s: &mut State, flight: Flight, answer: Answer, now: Mono, out: &mut Vec<Action>) {
    let Flight { id, sent, body } = flight;
    let releases = body.as_ref().is_some_and(|b| b.holder.is_empty());
    // A release that met this holder's own renewal is written again; otherwise the lease lapses.
    s.releasing &= !releases || own_record(s, &answer);
    let pause = if body.is_some() { s.settings.retry } else { s.settings.poll };
    match answer {
        Answer::Record(found) => {
            observe(s, found, now, out);
            schedule(s, now);
        }
        Answer::Written(revision) if body.is_some() => {
            let found = body.inspect(|b| remember(s, id, sent, b));
            observe(s, found.map(|body| Found { revision, body }), now, out);
            schedule(s, now);
        }
        Answer::Written(_) | Answer::Unknown => {
            if let Some(body) = body {
                remember(s, id, sent, &body);
            }
            s.next = now + pause;
        }
        Answer::Failed => s.next = now + pause,
        Answer::Corrupt => {
            // Whatever is there, it is not the record that this holder wrote.
            s.view = View::Unknown;
            end_term(s, out);
            s.next = now + s.settings.poll;
        }
    }
}

/// Takes in the answer to a call that was given up: what it says of the record still holds.
fn settle_late(s: &mut State, id: u64, answer: Answer, now: Mono, out: &mut Vec<Action>) {
    let found = match answer {
        Answer::Record(found) => found,
        Answer::Written(revision) => {
            let write = s.unknown.iter().find(|w| w.id == id);
            write.map(|w| Found { revision, body: w.body.clone() })
        }
        Answer::Unknown | Answer::Failed | Answer::Corrupt => None,
    };
    if found.is_some() {
        observe(s, found, now, out);
        if s.flight.is_none() {
            schedule(s, now);
        }
    }
}

fn own_record(s: &State, answer: &Answer) -> bool {
    matches!(answer, Answer::Record(Some(f)) if f.body.holder == s.settings.holder)
}

fn remember(s: &mut State, id: u64, sent: Mono, body: &Body) {
    if s.unknown.len() == MAX_UNKNOWN {
        s.unknown.remove(0);
    }
    s.unknown.push(Unanswered { id, sent, body: body.clone() });
}

/// Takes in what the store holds.
fn observe(s: &mut State, found: Option<Found>, now: Mono, out: &mut Vec<Action>) {
    let Some(Found { revision, body }) = found else {
        end_term(s, out);
        s.view = View::Absent;
        return;
    };
    if let View::Present { revision: known, .. } = s.view
        && revision < known
    {
        // An answer that crossed a later one.
        return;
    }
    let displaced = displaced_ttl(s);
    s.greatest = s.greatest.max(body.token);
    if body.holder == s.settings.holder {
        recognise(s, revision, &body, displaced, now, out);
    } else {
        end_term(s, out);
    }
    s.unknown.retain(|w| w.body.beat > body.beat || body.holder != s.settings.holder);
    let known = matches!(&s.view, View::Present { revision: r, .. } if *r == revision);
    if !known {
        s.view = View::Present { revision, body, since: now };
    }
}

/// Time to live of the lease that a new term replaces; zero if nobody held it before.
fn displaced_ttl(s: &State) -> Duration {
    match &s.view {
        View::Present { body, .. } => body.ttl,
        View::Unknown => s.settings.ttl,
        View::Absent => Duration::ZERO,
    }
}

/// Takes in a record that this instance wrote: it won, renewed, or lapsed meanwhile.
fn recognise(
    s: &mut State,
    revision: Revision,
    body: &Body,
    displaced: Duration,
    now: Mono,
    out: &mut Vec<Action>,
) {
    let write = s.unknown.iter().find(|w| w.body.beat == body.beat);
    let until = write.map(|w| w.sent + s.settings.ttl - s.settings.margin);
    if let Some(t) = s.term.as_mut().filter(|t| t.token == body.token) {
        t.revision = revision;
        t.until = until.map_or(t.until, |u| u.max(t.until));
        return;
    }
    end_term(s, out);
    let Some(until) = until.filter(|u| *u > now && body.token > s.ended && s.wants) else {
        s.ended = s.ended.max(body.token);
        return;
    };
    let clear = now + displaced;
    s.term = Some(Term { token: body.token, revision, until, clear });
    out.push(Action::Gained(body.token));
}

/// Sets the time of the next call after an answer.
fn schedule(s: &mut State, now: Mono) {
    s.next = match (&s.term, claim(s, now)) {
        (Some(t), _) => t.until + s.settings.margin + s.settings.renew - s.settings.ttl,
        (None, Some(_)) => now,
        (None, None) => match &s.view {
            View::Present { body, since, .. } => (now + s.settings.poll).min(*since + body.ttl),
            View::Unknown | View::Absent => now + s.settings.poll,
        },
    };
}

/// Revision and token with which the lease may be taken now, if it may.
fn claim(s: &State, now: Mono) -> Option<(Revision, FenceToken)> {
    match &s.view {
        View::Unknown => None,
        View::Absent => Some((0, s.greatest + 1)),
        View::Present { revision, body, since } => {
            let free = body.holder.is_empty() || body.holder == s.settings.holder;
            (free || now >= *since + body.ttl).then_some((*revision, s.greatest + 1))
        }
    }
}

/// Sends the next call if it is due and none is under way.
fn proceed(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    if s.flight.is_some() || now < s.next {
        return;
    }
    let holder = s.settings.holder.clone();
    if s.releasing {
        match s.view {
            View::Present { revision, .. } => {
                write(s, revision, s.ended, String::new(), now, out);
            }
            View::Unknown | View::Absent => s.releasing = false,
        }
    } else if let Some(t) = s.term {
        write(s, t.revision, t.token, holder, now, out);
    } else if s.wants {
        match claim(s, now) {
            Some((expect, token)) => write(s, expect, token, holder, now, out),
            None => read(s, now, out),
        }
    }
}

fn read(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    s.calls += 1;
    s.flight = Some(Flight { id: s.calls, sent: now, body: None });
    out.push(Action::Read { id: s.calls });
}

fn write(
    s: &mut State,
    expect: Revision,
    token: FenceToken,
    holder: String,
    now: Mono,
    out: &mut Vec<Action>,
) {
    s.calls += 1;
    s.beats += 1;
    let body = Body { holder, token, beat: s.beats, ttl: s.settings.ttl };
    s.flight = Some(Flight { id: s.calls, sent: now, body: Some(body.clone()) });
    out.push(Action::Write { id: s.calls, expect, body });
}
