//! Invariants about changes that must take effect within a time limit.

use {
    crate::history::{Accepted, History, Install, ProcessRun, STORE, Time},
    indexmap::IndexMap,
};

/// Runs that began on a leaving endpoint after the time limit from its notice.
pub(crate) fn late_starts(history: &History) -> Vec<String> {
    let mut out = Vec::new();
    for notice in &history.leaving {
        let last = notice.span.from + history.bounds.leaving;
        let late = history.runs.iter().filter(|r| {
            let from = r.span.from;
            r.endpoint == notice.endpoint
                && from > last
                && notice.span.until.is_none_or(|end| from < end)
        });
        out.extend(late.map(|r| {
            format!("{} began {} at {:?}, allowed until {last:?}", r.endpoint, r.call, r.span.from)
        }));
    }
    out
}

/// Instances that reverted to an older generation, or installed an accepted one too late.
pub(crate) fn generations(history: &History) -> Vec<String> {
    let mut out = reverts(history);
    for life in &history.process_runs {
        out.extend(history.accepted.iter().filter_map(|a| overdue(history, life, a)));
    }
    out
}

fn reverts(history: &History) -> Vec<String> {
    let mut newest: IndexMap<&str, u64> = IndexMap::new();
    let mut out = Vec::new();
    for install in &history.installs {
        let seen = newest.entry(&install.instance).or_default();
        if install.generation < *seen {
            let (name, older) = (&install.instance, install.generation);
            out.push(format!(
                "{name} reverted from generation {seen} to {older} at {:?}",
                install.at
            ));
        }
        *seen = install.generation.max(*seen);
    }
    out
}

/// Evidence that an instance did not install a generation in time.
fn overdue(history: &History, life: &ProcessRun, accepted: &Accepted) -> Option<String> {
    let due = due(history, life, accepted.at);
    let installed =
        |i: &&Install| i.instance == life.instance && i.generation >= accepted.generation;
    let at = history.installs.iter().filter(installed).map(|i| i.at).min();
    let ended = life.span.until.unwrap_or(Time::MAX).min(history.end);
    // A time limit after the end of the instance or of the history cannot be checked.
    let checkable = due <= ended;
    let late = at.is_none_or(|at| at > due);
    let Accepted { generation, .. } = accepted;
    (checkable && late)
        .then(|| format!("{} had {generation} at {at:?}, due at {due:?}", life.instance))
}

/// Time by which an instance must have installed what was accepted at `at`. Faults of the store and
/// of the instance extend it.
fn due(history: &History, life: &ProcessRun, at: Time) -> Time {
    let bound = history.bounds.spread;
    let mut due = at.max(life.span.from) + bound;
    let mut faults: Vec<_> = history
        .faults
        .iter()
        .filter(|f| f.process == STORE || f.process == life.instance)
        .collect();
    faults.sort_by_key(|f| f.span.from);
    for fault in faults {
        let end = fault.span.until.unwrap_or(Time::MAX);
        if fault.span.from <= due && end >= at {
            due = due.max(end.saturating_add(bound));
        }
    }
    due
}
