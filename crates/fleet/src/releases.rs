//! What is released.

use {
    crate::{Grant, Kind, Life, MAX_INTENTS, Name, Need, State, What, state::Tally},
    agate_core::Mono,
    indexmap::IndexMap,
};

/// Part of the endpoints that is drained at once at most, as a divisor.
const SHARE: usize = 10;

/// Starts to drain endpoints that were superfluous for as long as the settings ask.
pub(crate) fn release(state: &mut State, grant: &Grant, now: Mono) {
    let mut tallies = state.tallies();
    let need = state.lasting_need();
    let total: usize = tallies.values().flatten().map(|t| t.live).sum();
    let most = (total / SHARE).max(1);
    for _ in 0..most {
        if state.pending.len() >= MAX_INTENTS {
            return;
        }
        let Some((zone, kind)) = superfluous(state, &tallies, need) else { return };
        let tally = &mut tallies.get_mut(&zone).expect("it has endpoints")[kind as usize];
        tally.live -= 1;
        let Some(endpoint) = candidate(state, &zone, kind) else { return };
        state.intend(What::Release { endpoint }, grant, now);
    }
}

/// Availability zone and kind of an endpoint without which the need is met; the dearer kind first,
/// from where there are most.
fn superfluous(
    state: &State,
    tallies: &IndexMap<Name, [Tally; 2]>,
    need: Need,
) -> Option<(Name, Kind)> {
    let s = &state.settings;
    let mut kinds = [Kind::Standard, Kind::Cheap];
    kinds.sort_by(|a, b| s.price(*b).total_cmp(&s.price(*a)));
    kinds.into_iter().find_map(|kind| {
        let from = |(_, t): &(&Name, &[Tally; 2])| {
            let all = t[0].live + t[1].live;
            all > 1 && t[kind as usize].live > t[kind as usize].fixed
        };
        let zones = tallies.iter().filter(from);
        let (zone, _) =
            zones.max_by_key(|(_, t)| (t[kind as usize].live, t[0].live + t[1].live))?;
        met_without(state, tallies, need, zone, kind).then(|| (zone.clone(), kind))
    })
}

/// Whether the need is met without one endpoint.
fn met_without(
    state: &State,
    tallies: &IndexMap<Name, [Tally; 2]>,
    need: Need,
    zone: &Name,
    kind: Kind,
) -> bool {
    let taken = |z: &Name, k: Kind| usize::from(z == zone && k == kind);
    let live = |z: &Name, t: &[Tally; 2], k: Kind| t[k as usize].live - taken(z, k);
    let cheap = tallies.iter().map(|(z, t)| live(z, t, Kind::Cheap));
    let loss = cheap.max().unwrap_or(0);
    let total: usize =
        tallies.iter().map(|(z, t)| live(z, t, Kind::Standard) + live(z, t, Kind::Cheap)).sum();
    total >= state.settings.min && need.met(total, loss)
}

/// An endpoint of a kind in an availability zone that may be released.
fn candidate(state: &State, zone: &Name, kind: Kind) -> Option<Name> {
    let taken = |name: &Name| state.draining().any(|n| n == name);
    let fits = |e: &&crate::Endpoint| {
        !e.fixed && e.life == Life::Live && (&e.zone, e.kind) == (zone, kind) && !taken(&e.name)
    };
    state.endpoints.values().rfind(fits).map(|e| e.name.clone())
}
