//! Lines about answers that did not come whole.
//!
//! Each call that failed is held against one line only: the planned stop of its instance, else
//! another planned change, else the promise of a whole answer.

use crate::history::{
    Call, Claim, Ending, Fault, History, Life, LifeEnd, Part, Run, RunEnd, STORE, Span,
};

/// Why a call failed that should not have.
enum Blame {
    Stop,
    Change(String),
    Nothing,
}

fn failed(call: &Call) -> bool {
    matches!(call.ending, Ending::Cut | Ending::Open | Ending::Refused(_, Claim::Unknown))
}

/// Time of a call, from the first sending of its booking.
fn whole_span(history: &History, call: &Call) -> Span {
    let same = |c: &&Call| call.booking.is_some() && c.booking == call.booking;
    let earlier = history.calls.iter().filter(same).map(|c| c.span.from);
    Span { from: earlier.fold(call.span.from, |a, b| a.min(b)), ..call.span }
}

/// Whether a fault explains that a call failed.
fn excused(history: &History, call: &Call) -> bool {
    let span = whole_span(history, call);
    let same = |c: &Call| c.id == call.id || (call.booking.is_some() && c.booking == call.booking);
    let sendings: Vec<&Call> = history.calls.iter().filter(|c| same(c)).collect();
    let ran = |process: &str| {
        let of = |r: &&Run| sendings.iter().any(|c| c.id == r.call);
        history.runs.iter().filter(of).any(|r| r.endpoint == process)
    };
    let through = |process: &str| sendings.iter().any(|c| c.instance == process);
    let concerns = |fault: &Fault| {
        let claims = call.booking.is_some();
        match fault.part {
            Part::Store => claims && through(&fault.process),
            Part::Whole if fault.process == STORE => claims,
            Part::Whole => through(&fault.process) || ran(&fault.process),
        }
    };
    history.faults.iter().any(|f| concerns(f) && f.span.overlaps(&span))
}

fn stopping(call: &Call, life: &Life) -> bool {
    let (LifeEnd::Stopped(begin) | LifeEnd::Broken(begin)) = life.end else { return false };
    let stop = Span { from: begin, ..life.span };
    life.instance == call.instance && stop.overlaps(&call.span)
}

/// Calls that failed without a fault, each with what is to blame.
fn unexcused(history: &History) -> Vec<(&Call, Blame)> {
    let open = history.calls.iter().filter(|c| failed(c) && !excused(history, c));
    let judged = open.map(|call| {
        if history.lives.iter().any(|l| stopping(call, l)) {
            return (call, Blame::Stop);
        }
        let change = history.changes.iter().find(|c| c.span.overlaps(&call.span));
        (call, change.map_or(Blame::Nothing, |c| Blame::Change(c.kind.clone())))
    });
    judged.collect()
}

fn describe(call: &Call) -> String {
    let Call { id, instance, span, ending, .. } = call;
    format!("{id} at {instance} from {:?} to {:?} ended as {ending:?}", span.from, span.until)
}

/// Calls cut by a planned change other than a stop, and runs that an order ended.
pub(crate) fn by_changes(history: &History) -> Vec<String> {
    let calls = unexcused(history).into_iter().filter_map(|(call, blame)| match blame {
        Blame::Change(kind) => Some(format!("{} amid {kind}", describe(call))),
        _ => None,
    });
    let evicted = history.runs.iter().filter(|r| r.end == RunEnd::Evicted);
    calls.chain(evicted.map(|r| format!("an order ended {} at {}", r.call, r.endpoint))).collect()
}

/// Calls cut by a planned stop, and stops that did not end by themselves.
pub(crate) fn by_stops(history: &History) -> Vec<String> {
    let calls = unexcused(history).into_iter();
    let calls = calls.filter(|(_, blame)| matches!(blame, Blame::Stop));
    let broken = history.lives.iter().filter(|l| matches!(l.end, LifeEnd::Broken(_)));
    let broken = broken.map(|l| format!("the stop of {} did not end by itself", l.instance));
    calls.map(|(call, _)| describe(call)).chain(broken).collect()
}

/// Answers that are not whole or another's, and calls that failed though nothing happened.
pub(crate) fn answers(history: &History) -> Vec<String> {
    let wrong = history.calls.iter().filter_map(|c| match &c.ending {
        Ending::Whole(got) if *got != c.expected => {
            Some(format!("{} got {:?}, not {:?}", c.id, head(got), head(&c.expected)))
        }
        _ => None,
    });
    let calls = unexcused(history).into_iter();
    let failed = calls.filter(|(_, blame)| matches!(blame, Blame::Nothing));
    wrong.chain(failed.map(|(call, _)| format!("{} without a fault", describe(call)))).collect()
}

/// Beginning of a text, for evidence.
fn head(text: &str) -> &str {
    const MOST: usize = 60;
    text.char_indices().nth(MOST).map_or(text, |(end, _)| &text[..end])
}
