//! Invariants about responses that failed or were incomplete.
//!
//! Each failed call counts as a violation of one invariant only: that of the planned stop of its
//! instance, else that of another planned change, else that of complete responses.

use crate::history::{
    Call, Claim, Ending, Fault, FaultScope, History, ProcessEnd, ProcessRun, Run, RunEnd, STORE,
    Span,
};

/// What a failed call coincides with.
enum Cause {
    /// A planned stop of its instance.
    Stop,
    /// Another planned change, with its kind.
    Change(String),
    /// No planned event.
    None,
}

fn failed(call: &Call) -> bool {
    matches!(call.ending, Ending::Cut | Ending::Open | Ending::Refused(_, Claim::Unknown))
}

/// Time of a call, beginning with the first request that had its idempotency key.
fn whole_span(history: &History, call: &Call) -> Span {
    let same =
        |c: &&Call| call.idempotency_key.is_some() && c.idempotency_key == call.idempotency_key;
    let earlier = history.calls.iter().filter(same).map(|c| c.span.from);
    Span { from: earlier.fold(call.span.from, |a, b| a.min(b)), ..call.span }
}

/// Whether an injected fault explains the failure of a call.
fn explained_by_fault(history: &History, call: &Call) -> bool {
    let span = whole_span(history, call);
    let same = |c: &Call| {
        c.id == call.id
            || (call.idempotency_key.is_some() && c.idempotency_key == call.idempotency_key)
    };
    let attempts: Vec<&Call> = history.calls.iter().filter(|c| same(c)).collect();
    let ran = |process: &str| {
        let of = |r: &&Run| attempts.iter().any(|c| c.id == r.call);
        history.runs.iter().filter(of).any(|r| r.endpoint == process)
    };
    let received_by = |process: &str| attempts.iter().any(|c| c.instance == process);
    let affects = |fault: &Fault| {
        let has_key = call.idempotency_key.is_some();
        match fault.scope {
            FaultScope::Store => has_key && received_by(&fault.process),
            FaultScope::Whole if fault.process == STORE => has_key,
            FaultScope::Whole => received_by(&fault.process) || ran(&fault.process),
        }
    };
    history.faults.iter().any(|f| affects(f) && f.span.overlaps(&span))
}

fn stopping(call: &Call, life: &ProcessRun) -> bool {
    let (ProcessEnd::Stopped(begin) | ProcessEnd::Broken(begin)) = life.end else { return false };
    let stop = Span { from: begin, ..life.span };
    life.instance == call.instance && stop.overlaps(&call.span)
}

/// Calls that failed without an injected fault, each with the planned event that it coincides with.
fn unexplained(history: &History) -> Vec<(&Call, Cause)> {
    let failures = history.calls.iter().filter(|c| failed(c) && !explained_by_fault(history, c));
    let causes = failures.map(|call| {
        if history.process_runs.iter().any(|l| stopping(call, l)) {
            return (call, Cause::Stop);
        }
        let change = history.changes.iter().find(|c| c.span.overlaps(&call.span));
        (call, change.map_or(Cause::None, |c| Cause::Change(c.kind.clone())))
    });
    causes.collect()
}

fn describe(call: &Call) -> String {
    let Call { id, instance, span, ending, .. } = call;
    format!("{id} at {instance} from {:?} to {:?} ended as {ending:?}", span.from, span.until)
}

/// Calls that failed during a planned change other than a stop, and runs that an order ended.
pub(crate) fn by_changes(history: &History) -> Vec<String> {
    let calls = unexplained(history).into_iter().filter_map(|(call, cause)| match cause {
        Cause::Change(kind) => Some(format!("{} during {kind}", describe(call))),
        _ => None,
    });
    let evicted = history.runs.iter().filter(|r| r.end == RunEnd::Evicted);
    calls.chain(evicted.map(|r| format!("an order ended {} at {}", r.call, r.endpoint))).collect()
}

/// Calls that failed during a planned stop, and stops that did not finish.
pub(crate) fn by_stops(history: &History) -> Vec<String> {
    let calls = unexplained(history).into_iter();
    let calls = calls.filter(|(_, cause)| matches!(cause, Cause::Stop));
    let broken = history.process_runs.iter().filter(|l| matches!(l.end, ProcessEnd::Broken(_)));
    let broken = broken.map(|l| format!("the shutdown of {} did not finish", l.instance));
    calls.map(|(call, _)| describe(call)).chain(broken).collect()
}

/// Wrong responses, and calls that failed without a fault or planned event.
pub(crate) fn responses(history: &History) -> Vec<String> {
    let wrong = history.calls.iter().filter_map(|c| match &c.ending {
        Ending::Whole(got) if *got != c.expected => {
            Some(format!("{} got {:?}, not {:?}", c.id, start_of(got), start_of(&c.expected)))
        }
        _ => None,
    });
    let calls = unexplained(history).into_iter();
    let failed = calls.filter(|(_, cause)| matches!(cause, Cause::None));
    wrong
        .chain(failed.map(|(call, _)| format!("{} without an injected fault", describe(call))))
        .collect()
}

/// First characters of a text, for evidence.
fn start_of(text: &str) -> &str {
    const MAX_CHARS: usize = 60;
    text.char_indices().nth(MAX_CHARS).map_or(text, |(end, _)| &text[..end])
}
