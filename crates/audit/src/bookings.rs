//! Lines about what ran and how often.

use {
    crate::history::{Claim, Ending, History},
    indexmap::IndexMap,
};

/// Replies that say "not run" to a sending that ran.
pub(crate) fn false_refusals(history: &History) -> Vec<String> {
    let denied = history.calls.iter().filter_map(|c| match &c.ending {
        Ending::Refused(code, Claim::NotRun) => Some((c, code)),
        _ => None,
    });
    let ran = denied.filter_map(|(call, code)| {
        let run = history.runs.iter().find(|r| r.call == call.id)?;
        Some(format!("{} was refused as {code} and ran at {}", call.id, run.endpoint))
    });
    ran.collect()
}

/// Bookings that ran more than once; the same name of two organisations is two bookings.
pub(crate) fn repeated_runs(history: &History) -> Vec<String> {
    let mut runs: IndexMap<(Option<&str>, &str), Vec<&str>> = IndexMap::new();
    for run in &history.runs {
        let Some(booking) = &run.booking else { continue };
        let key = history.calls.iter().find(|c| c.id == run.call).and_then(|c| c.key.as_ref());
        let owner = history.keys.iter().find(|k| Some(&k.value) == key).map(|k| &*k.org);
        runs.entry((owner, booking)).or_default().push(&run.endpoint);
    }
    let repeated = runs.iter().filter(|(_, places)| places.len() > 1);
    repeated.map(|((org, b), places)| format!("booking {b} of {org:?} ran at {places:?}")).collect()
}
