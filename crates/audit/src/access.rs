//! Lines about keys and organisations.

use crate::history::{Call, History, Key, Run};

/// Each run with the call that it belongs to, if a caller knows of it.
fn traced(history: &History) -> impl Iterator<Item = (&Run, Option<&Call>)> {
    history.runs.iter().map(|r| (r, history.calls.iter().find(|c| c.id == r.call)))
}

fn find_key<'a>(history: &'a History, call: &Call) -> Option<&'a Key> {
    let value = call.key.as_ref()?;
    history.keys.iter().find(|k| k.value == *value)
}

/// Runs on keyed routes for another organisation than that of the key, or without a known key.
pub(crate) fn other_owners(history: &History) -> Vec<String> {
    let judge = |(run, call): (&Run, Option<&Call>)| {
        let Some(call) = call else {
            return Some(format!("{} ran {}, which nobody sent", run.endpoint, run.call));
        };
        let owner = find_key(history, call).map(|k| &k.org);
        let fits = match (owner, &run.org) {
            (Some(owner), Some(told)) => owner == told,
            (None, Some(_)) => false,
            (Some(_), None) => true,
            (None, None) => call.open,
        };
        let (endpoint, id, told) = (&run.endpoint, &run.call, &run.org);
        (!fits).then(|| format!("{endpoint} ran {id} for {told:?}, not {owner:?}"))
    };
    traced(history).filter_map(judge).collect()
}

/// Headers in which an endpoint saw a key.
pub(crate) fn seen_keys(history: &History) -> Vec<String> {
    let holds = |value: &str| history.keys.iter().any(|k| value.contains(&k.value));
    let seen = history.runs.iter().flat_map(|run| {
        let names = run.headers.iter().filter(|(_, v)| holds(v)).map(|(n, _)| n);
        names.map(move |n| format!("{} saw a key of {} in {n}", run.endpoint, run.call))
    });
    seen.collect()
}

/// Runs that began with a key whose withdrawal was accepted longer ago than the bound.
pub(crate) fn withdrawn_keys(history: &History) -> Vec<String> {
    let judge = |(run, call): (&Run, Option<&Call>)| {
        let key = find_key(history, call.filter(|c| !c.open)?)?;
        let last = key.withdrawn? + history.bounds.withdrawal;
        let from = run.span.from;
        (from > last).then(|| {
            format!("{} began {} at {from:?}, allowed to {last:?}", run.endpoint, run.call)
        })
    };
    traced(history).filter_map(judge).collect()
}
