//! Invariants about which requests were executed and how often.

use {
    crate::history::{Claim, Ending, History},
    indexmap::IndexMap,
};

/// Responses that say "not run" for a request that was executed.
pub(crate) fn false_not_run(history: &History) -> Vec<String> {
    let not_run = history.calls.iter().filter_map(|c| match &c.ending {
        Ending::Refused(code, Claim::NotRun) => Some((c, code)),
        _ => None,
    });
    let ran = not_run.filter_map(|(call, code)| {
        let run = history.runs.iter().find(|r| r.call == call.id)?;
        Some(format!("{} was refused as {code} and ran at {}", call.id, run.endpoint))
    });
    ran.collect()
}

/// Requests with an idempotency key that were executed more than once. Keys of different
/// organisations are different, also if they have the same text.
pub(crate) fn repeated_runs(history: &History) -> Vec<String> {
    let mut runs: IndexMap<(Option<&str>, &str), Vec<&str>> = IndexMap::new();
    for run in &history.runs {
        let Some(booking) = &run.idempotency_key else { continue };
        let key = history.calls.iter().find(|c| c.id == run.call).and_then(|c| c.key.as_ref());
        let owner = history.keys.iter().find(|k| Some(&k.value) == key).map(|k| &*k.org);
        runs.entry((owner, booking)).or_default().push(&run.endpoint);
    }
    let repeated = runs.iter().filter(|(_, names)| names.len() > 1);
    repeated.map(|((org, b), names)| format!("key {b} of {org:?} ran at {names:?}")).collect()
}
