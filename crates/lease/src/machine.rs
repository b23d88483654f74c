//! State machine of one lease, for the holder and for candidates, without I/O or a clock.
//!
//! Three rules make it safe. A holder may act until `ttl - margin` after it *sent* the write that
//! acquired or renewed its term. A candidate takes over another holder's lease only by a
//! compare-and-swap on a revision that has not changed for the whole `ttl` since the candidate
//! *received* it. Every term has its own token, one above the greatest one seen, and never resumes
//! after it has expired.
//!
//! Of two writes on the same revision the second one fails, so the two waiting times suffice: a
//! write takes effect after it was sent and before anyone can read it. The clock of the service is
//! not used. The only requirement is that two monotonic clocks drift apart by no more than `margin`
//! within `ttl`.
//!
//! A store that comes back from an older copy has lost the latest writes, so its record may name an
//! earlier holder or none. The machine then waits a whole `ttl`, and tokens begin above those of
//! earlier eras.
//!
//! A lost response needs no special handling. The machine writes again on the revision that it
//! knows. If the first write took effect, the conflict returns the machine's own record, recognised
//! by its write number.

use {
    crate::record::LeaseRecord,
    agate_core::{FenceToken, Mono},
    agate_store::{Revision, era::era_of},
    std::time::Duration,
};

pub use crate::state::{
    Action, CallResult, Input, Observed, PendingCall, Settings, State, StoredRecord, Term,
    UnknownWrite,
};

/// Number of writes with an unknown result that are remembered; older ones count as expired if they
/// turn out to have taken effect.
const MAX_UNKNOWN: usize = 4;

/// Fencing token with which this instance may act at `now`; must be checked immediately before
/// every order.
pub fn may_act(s: &State, now: Mono) -> Option<FenceToken> {
    s.term.filter(|t| now < t.ends_at).map(|t| t.token)
}

/// Time of the first order to an endpoint that ignores tokens, if an order can arrive up to `life`
/// after it was sent.
///
/// The previous holder may have checked its authority just before its term ended, then been paused
/// for up to one `ttl`, and its order may have been delayed by up to `life`.
pub fn first_order_at(s: &State, life: Duration) -> Option<Mono> {
    s.term.map(|t| t.clear_at + life)
}

/// Time at which the machine needs an [`Input::Tick`] unless another input comes first; `None` if
/// it is idle.
pub fn next_wake(s: &State) -> Option<Mono> {
    let call = match &s.pending_call {
        Some(f) => Some(f.sent + s.settings.timeout),
        None if s.is_candidate || s.releasing || s.term.is_some() => Some(s.next_call),
        None => None,
    };
    let expiry = s.term.map(|t| t.ends_at);
    call.into_iter().chain(expiry).min()
}

/// Applies one input at `now` and returns the actions to execute.
pub fn step(s: &mut State, input: Input, now: Mono) -> Vec<Action> {
    let mut out = Vec::new();
    expire_term(s, now, &mut out);
    drop_expired_writes(s, now);
    match input {
        Input::Tick => {}
        Input::SetCandidate(wanted) => s.is_candidate = wanted,
        Input::Release => release(s, now, &mut out),
        Input::Completed { id, result } => match s.pending_call.take_if(|f| f.id == id) {
            Some(call) => on_result(s, call, result, now, &mut out),
            None => on_late_result(s, id, result, now, &mut out),
        },
    }
    time_out_call(s, now, &mut out);
    send_due_call(s, now, &mut out);
    out
}

/// Ends a term that has expired.
fn expire_term(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    if s.term.is_some_and(|t| t.ends_at <= now) {
        end_term(s, out);
    }
}

/// Drops writes with an unknown result that are too old to begin or extend a term.
fn drop_expired_writes(s: &mut State, now: Mono) {
    let life = s.settings.ttl - s.settings.margin;
    s.unknown_writes.retain(|w| now < w.sent + life);
}

fn end_term(s: &mut State, out: &mut Vec<Action>) {
    if let Some(t) = s.term.take() {
        s.ended_token = s.ended_token.max(t.token);
        out.push(Action::TermEnded(t.token));
    }
}

fn release(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    s.is_candidate = false;
    s.releasing = s.term.is_some();
    s.next_call = now;
    end_term(s, out);
}

/// Handles a call that was that got no response in time as one with an unknown result.
fn time_out_call(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let timeout = s.settings.timeout;
    if let Some(call) = s.pending_call.take_if(|f| f.sent + timeout <= now) {
        on_result(s, call, CallResult::Unknown, now, out);
    }
}

/// Handles the result of the pending call.
fn on_result(
    s: &mut State,
    call: PendingCall,
    result: CallResult,
    now: Mono,
    out: &mut Vec<Action>,
) {
    let PendingCall { id, sent, body } = call;
    let releases = body.as_ref().is_some_and(|b| b.holder.is_empty());
    // A release that conflicted with this holder's own renewal is written again; otherwise the
    // lease expires.
    s.releasing &= !releases || is_own_record(s, &result);
    let delay = if body.is_some() { s.settings.retry } else { s.settings.poll };
    match result {
        CallResult::Record(found) => {
            on_record(s, found, now, out);
            schedule_call(s, now);
        }
        CallResult::Written(revision) if body.is_some() => {
            let found = body.inspect(|b| keep_unknown(s, id, sent, b));
            on_record(s, found.map(|body| StoredRecord { revision, body }), now, out);
            schedule_call(s, now);
        }
        CallResult::Written(_) | CallResult::Unknown => {
            if let Some(body) = body {
                keep_unknown(s, id, sent, &body);
            }
            s.next_call = now + delay;
        }
        CallResult::Failed => s.next_call = now + delay,
        CallResult::Corrupt => {
            // A record that cannot be decoded is not the one that this holder wrote.
            s.observed = Observed::Unknown;
            end_term(s, out);
            s.next_call = now + s.settings.poll;
        }
    }
}

/// Handles the result of a call that timed out: what it says about the record is still valid.
fn on_late_result(s: &mut State, id: u64, result: CallResult, now: Mono, out: &mut Vec<Action>) {
    let found = match result {
        CallResult::Record(found) => found,
        CallResult::Written(revision) => {
            let write = s.unknown_writes.iter().find(|w| w.id == id);
            write.map(|w| StoredRecord { revision, body: w.body.clone() })
        }
        CallResult::Unknown | CallResult::Failed | CallResult::Corrupt => None,
    };
    if found.is_some() {
        on_record(s, found, now, out);
        if s.pending_call.is_none() {
            schedule_call(s, now);
        }
    }
}

fn is_own_record(s: &State, result: &CallResult) -> bool {
    matches!(result, CallResult::Record(Some(f)) if f.body.holder == s.settings.holder)
}

fn keep_unknown(s: &mut State, id: u64, sent: Mono, body: &LeaseRecord) {
    if s.unknown_writes.len() == MAX_UNKNOWN {
        s.unknown_writes.remove(0);
    }
    s.unknown_writes.push(UnknownWrite { id, sent, body: body.clone() });
}

/// Handles the current record in the store.
fn on_record(s: &mut State, found: Option<StoredRecord>, now: Mono, out: &mut Vec<Action>) {
    let Some(StoredRecord { revision, body }) = found else {
        end_term(s, out);
        if matches!(s.observed, Observed::Present { .. }) {
            s.lost_at = Some(now);
        }
        s.observed = Observed::Absent;
        return;
    };
    if let Observed::Present { revision: known, .. } = s.observed {
        if revision < known {
            // A response that arrived after a later one.
            return;
        }
        if era_of(revision) > era_of(known) {
            s.lost_at = Some(now);
        }
    }
    let replaced_ttl = previous_ttl(s);
    s.max_token = s.max_token.max(body.token);
    if body.holder == s.settings.holder {
        on_own_record(s, revision, &body, replaced_ttl, now, out);
    } else {
        end_term(s, out);
    }
    s.unknown_writes
        .retain(|w| w.body.write_number > body.write_number || body.holder != s.settings.holder);
    let known = matches!(&s.observed, Observed::Present { revision: r, .. } if *r == revision);
    if !known {
        s.observed = Observed::Present { revision, body, since: now };
    }
}

/// Time to live of the lease that a new term replaces; zero if nobody held it.
fn previous_ttl(s: &State) -> Duration {
    match &s.observed {
        Observed::Present { body, .. } => body.ttl,
        Observed::Unknown => s.settings.ttl,
        Observed::Absent => Duration::ZERO,
    }
}

/// Handles a record that this instance wrote: it acquired or renewed a term, or the term has
/// expired meanwhile.
fn on_own_record(
    s: &mut State,
    revision: Revision,
    body: &LeaseRecord,
    replaced_ttl: Duration,
    now: Mono,
    out: &mut Vec<Action>,
) {
    let write = s.unknown_writes.iter().find(|w| w.body.write_number == body.write_number);
    let ends_at = write.map(|w| w.sent + s.settings.ttl - s.settings.margin);
    if let Some(t) = s.term.as_mut().filter(|t| t.token == body.token) {
        t.revision = revision;
        t.ends_at = ends_at.map_or(t.ends_at, |u| u.max(t.ends_at));
        return;
    }
    end_term(s, out);
    let Some(ends_at) =
        ends_at.filter(|u| *u > now && body.token > s.ended_token && s.is_candidate)
    else {
        s.ended_token = s.ended_token.max(body.token);
        return;
    };
    let clear_at = now + replaced_ttl;
    s.term = Some(Term { token: body.token, revision, ends_at, clear_at });
    out.push(Action::TermBegan(body.token));
}

/// Sets the time of the next call after a result.
fn schedule_call(s: &mut State, now: Mono) {
    s.next_call = match (&s.term, claimable(s, now)) {
        (Some(t), _) => t.ends_at + s.settings.margin + s.settings.renew - s.settings.ttl,
        (None, Some(_)) => now,
        (None, None) => match &s.observed {
            Observed::Present { body, since, .. } => (now + s.settings.poll).min(*since + body.ttl),
            Observed::Unknown | Observed::Absent => now + s.settings.poll,
        },
    };
}

/// Revision to expect and token to use if the lease can be acquired at `now`; `None` otherwise.
fn claimable(s: &State, now: Mono) -> Option<(Revision, FenceToken)> {
    if s.lost_at.is_some_and(|at| now < at + s.settings.ttl) {
        return None;
    }
    let token = (s.max_token + 1).max(s.min_token);
    match &s.observed {
        Observed::Unknown => None,
        Observed::Absent => Some((0, token)),
        Observed::Present { revision, body, since } => {
            let available = body.holder.is_empty() || body.holder == s.settings.holder;
            (available || now >= *since + body.ttl).then_some((*revision, token))
        }
    }
}

/// Sends the next call if it is due and none is pending.
fn send_due_call(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    if s.pending_call.is_some() || now < s.next_call {
        return;
    }
    let holder = s.settings.holder.clone();
    if s.releasing {
        match s.observed {
            Observed::Present { revision, .. } => {
                write(s, revision, s.ended_token, String::new(), now, out);
            }
            Observed::Unknown | Observed::Absent => s.releasing = false,
        }
    } else if let Some(t) = s.term {
        write(s, t.revision, t.token, holder, now, out);
    } else if s.is_candidate {
        match claimable(s, now) {
            Some((expect, token)) => write(s, expect, token, holder, now, out),
            None => read(s, now, out),
        }
    }
}

fn read(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    s.last_call += 1;
    s.pending_call = Some(PendingCall { id: s.last_call, sent: now, body: None });
    out.push(Action::Read { id: s.last_call });
}

fn write(
    s: &mut State,
    expect: Revision,
    token: FenceToken,
    holder: String,
    now: Mono,
    out: &mut Vec<Action>,
) {
    s.last_call += 1;
    s.last_write += 1;
    let body = LeaseRecord { holder, token, write_number: s.last_write, ttl: s.settings.ttl };
    s.pending_call = Some(PendingCall { id: s.last_call, sent: now, body: Some(body.clone()) });
    out.push(Action::Write { id: s.last_call, expect, body });
}
