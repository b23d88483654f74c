//! Invariants about API keys and organisations.

use crate::history::{Call, History, Key, Run};

/// Each run with its call; `None` if no caller sent the call.
fn runs_with_calls(history: &History) -> impl Iterator<Item = (&Run, Option<&Call>)> {
    history.runs.iter().map(|r| (r, history.calls.iter().find(|c| c.id == r.call)))
}

fn find_key<'a>(history: &'a History, call: &Call) -> Option<&'a Key> {
    let value = call.key.as_ref()?;
    history.keys.iter().find(|k| k.value == *value)
}

/// Runs for another organisation than that of the key, or without a known key on a route that needs
/// one.
pub(crate) fn wrong_organisations(history: &History) -> Vec<String> {
    let violation = |(run, call): (&Run, Option<&Call>)| {
        let Some(call) = call else {
            return Some(format!("{} ran {}, which no caller sent", run.endpoint, run.call));
        };
        let owner = find_key(history, call).map(|k| &k.org);
        let valid = match (owner, &run.org) {
            (Some(owner), Some(sent)) => owner == sent,
            (None, Some(_)) => false,
            (Some(_), None) => true,
            (None, None) => call.open,
        };
        let (endpoint, id, sent) = (&run.endpoint, &run.call, &run.org);
        (!valid)
            .then(|| format!("{endpoint} ran {id} for organisation {sent:?} instead of {owner:?}"))
    };
    runs_with_calls(history).filter_map(violation).collect()
}

/// Headers that passed an API key to an endpoint.
pub(crate) fn leaked_keys(history: &History) -> Vec<String> {
    let has_key = |value: &str| history.keys.iter().any(|k| value.contains(&k.value));
    let leaks = history.runs.iter().flat_map(|run| {
        let names = run.headers.iter().filter(|(_, v)| has_key(v)).map(|(n, _)| n);
        names.map(move |n| format!("{} got a key of {} in {n}", run.endpoint, run.call))
    });
    leaks.collect()
}

/// Runs that began with a key after the time limit for its revocation.
pub(crate) fn revoked_keys(history: &History) -> Vec<String> {
    let violation = |(run, call): (&Run, Option<&Call>)| {
        let key = find_key(history, call.filter(|c| !c.open)?)?;
        let last = key.revoked? + history.bounds.revocation;
        let from = run.span.from;
        (from > last).then(|| {
            format!("{} began {} at {from:?}, allowed until {last:?}", run.endpoint, run.call)
        })
    };
    runs_with_calls(history).filter_map(violation).collect()
}
