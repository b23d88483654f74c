//! Releases of endpoints that are not needed.

use {
    crate::{EndpointState, Grant, Kind, MAX_INTENTS, Name, Need, Op, State, state::Counts},
    agate_core::Mono,
    indexmap::IndexMap,
};

/// At most one in this many endpoints is selected for release in one plan.
const DRAIN_DIVISOR: usize = 10;

/// Starts to drain endpoints that were not needed during the hold time of the settings.
pub(crate) fn start_releases(state: &mut State, grant: &Grant, now: Mono) {
    let mut counts_by_zone = state.counts_by_zone();
    let need = state.peak_need();
    let total: usize = counts_by_zone.values().flatten().map(|t| t.live).sum();
    let most = (total / DRAIN_DIVISOR).max(1);
    for _ in 0..most {
        if state.pending.len() >= MAX_INTENTS {
            return;
        }
        let Some((zone, kind)) = find_surplus(state, &counts_by_zone, need) else { return };
        let counts = &mut counts_by_zone
            .get_mut(&zone)
            .expect("a zone with surplus endpoints has counts")[kind as usize];
        counts.live -= 1;
        let Some(endpoint) = release_candidate(state, &zone, kind) else { return };
        state.add_intent(Op::Release { endpoint }, grant, now);
    }
}

/// Availability zone and kind of an endpoint without which the need is still met. The more
/// expensive kind is tried first, in the zone that has most of it.
fn find_surplus(
    state: &State,
    counts_by_zone: &IndexMap<Name, [Counts; 2]>,
    need: Need,
) -> Option<(Name, Kind)> {
    let s = &state.settings;
    let mut kinds = [Kind::Standard, Kind::Cheap];
    kinds.sort_by(|a, b| s.price(*b).total_cmp(&s.price(*a)));
    kinds.into_iter().find_map(|kind| {
        let releasable = |(_, t): &(&Name, &[Counts; 2])| {
            let all = t[0].live + t[1].live;
            all > 1 && t[kind as usize].live > t[kind as usize].declared
        };
        let zones = counts_by_zone.iter().filter(releasable);
        let (zone, _) =
            zones.max_by_key(|(_, t)| (t[kind as usize].live, t[0].live + t[1].live))?;
        met_without(state, counts_by_zone, need, zone, kind).then(|| (zone.clone(), kind))
    })
}

/// Whether the need is met without one endpoint of a kind in a zone.
fn met_without(
    state: &State,
    counts_by_zone: &IndexMap<Name, [Counts; 2]>,
    need: Need,
    zone: &Name,
    kind: Kind,
) -> bool {
    let removed = |z: &Name, k: Kind| usize::from(z == zone && k == kind);
    let live = |z: &Name, t: &[Counts; 2], k: Kind| t[k as usize].live - removed(z, k);
    let cheap = counts_by_zone.iter().map(|(z, t)| live(z, t, Kind::Cheap));
    let loss = cheap.max().unwrap_or(0);
    let total: usize = counts_by_zone
        .iter()
        .map(|(z, t)| live(z, t, Kind::Standard) + live(z, t, Kind::Cheap))
        .sum();
    total >= state.settings.min && need.met(total, loss)
}

/// Serving endpoint of a kind in an availability zone that may be released.
fn release_candidate(state: &State, zone: &Name, kind: Kind) -> Option<Name> {
    let draining = |name: &Name| state.draining().any(|n| n == name);
    let releasable = |e: &&crate::Endpoint| {
        !e.declared
            && e.state == EndpointState::Live
            && (&e.zone, e.kind) == (zone, kind)
            && !draining(&e.name)
    };
    state.endpoints.values().rfind(releasable).map(|e| e.name.clone())
}
