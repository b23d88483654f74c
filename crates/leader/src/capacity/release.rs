//! Releases of endpoints that are not needed.
//!
//! The platform takes a count and chooses the endpoints itself. So as many as are to be released
//! first get no new requests, which shows that the others suffice, and the order is sent when the
//! open requests of the zone fit into the slots of those that remain.

use {
    super::{Group, Kinds, MAX_SWAPPED, Planned, Reason, Round, ServiceState, Sources},
    agate_core::Mono,
    agate_view::{
        roster::{Entry, Stage},
        table::Name,
    },
    indexmap::IndexMap,
    std::time::Duration,
};

/// Time between the announcement of a release and its order, within which all instances hear of
/// it.
pub const ANNOUNCE_TIME: Duration = Duration::from_millis(600);
/// Time after which a release whose zone stays busy is given up for a while.
const MAX_DRAIN: Duration = Duration::from_secs(10);
/// Maximum number of endpoints that are about to be released, of all services. Their hashes take
/// 320 bytes of a message between instances, which leaves room for the loads.
pub const MAX_RELEASED: u32 = 64;

/// Pause after any order before endpoints are released below the need, in boot times: spot
/// endpoints that take the room start within it.
const SWAP_PAUSE: u32 = 3;

/// Endpoints of one kind in a zone that are about to be released.
#[derive(Clone, Debug, PartialEq)]
pub struct Release {
    /// Number of endpoints that remain.
    pub count: u32,
    /// Endpoints that get no new requests.
    pub names: Vec<Name>,
    /// Time of the announcement.
    pub since: Mono,
    /// Whether the order was accepted.
    pub sent: bool,
}

/// Decrease that is possible now.
struct Decrease {
    zone: Name,
    spot: bool,
    less: u32,
    reason: Reason,
}

impl ServiceState {
    /// Announces releases and orders those that were announced, as far as `plan` serves without
    /// them.
    pub(super) fn shrink(
        &mut self,
        round: &Round<'_>,
        plan: &[Kinds],
        sources: &Sources<'_>,
        out: &mut Vec<Planned>,
    ) {
        let decreases = self.decreases(round, plan);
        self.drop_releases(round, &decreases);
        if decreases.is_empty() {
            return;
        }
        let open = (sources.open)(round.service);
        for decrease in decreases {
            if let Some(order) = self.release(round, &decrease, &open) {
                out.push(order);
            }
        }
    }

    /// Number of endpoints that are announced for the releases that `counted` selects.
    pub(super) fn releasing(&self, counted: impl Fn(&Release) -> bool) -> u32 {
        let kinds = self.zones.values().flat_map(|z| &z.kinds);
        let releases = kinds.filter_map(|k| k.release.as_ref()).filter(|r| counted(r));
        releases.map(|r| r.names.len() as u32).sum()
    }

    /// Decreases without which the planned endpoints serve, on-demand endpoints first.
    fn decreases(&mut self, round: &Round<'_>, plan: &[Kinds]) -> Vec<Decrease> {
        let Round { scaling, need, groups, now, .. } = *round;
        let mut out = Vec::new();
        let planned: u32 = plan.iter().map(|z| z.total()).sum();
        let mut serving: u32 = groups.values().map(|g| g.warm.total()).sum();
        for zone in self.zones.values() {
            let gone =
                |k: &super::KindState| k.running.saturating_sub(k.expected(scaling.boot, now));
            serving = serving.saturating_sub(zone.kinds.iter().map(gone).sum());
        }
        let scarce = self.zones.values().any(|z| z.kinds[1].is_scarce(now));
        let recent = |at: Option<Mono>, time| at.is_some_and(|at| now.saturating_sub(at) < time);
        // Endpoints that start now may soon make it unnecessary to go below the need.
        let pause = scaling.boot * SWAP_PAUSE;
        let swaps = !scarce
            && !self
                .zones
                .values()
                .any(|z| recent(z.grown_at, pause) || recent(z.shrunk_at, pause));
        let mut left = round.releases.saturating_sub(self.releasing(|r| r.sent));
        for spot in [false, true] {
            for ((name, group), kinds) in groups.iter().zip(plan) {
                let zone = &self.zones[name];
                let kind = &zone.kinds[usize::from(spot)];
                let expected = kind.expected(scaling.boot, now);
                let excess = group.running.of(spot).min(expected).saturating_sub(kinds.of(spot));
                // An order that was sent must show before the next one.
                let sent = kind.release.as_ref().is_some_and(|r| r.sent);
                if sent || excess == 0 || recent(zone.grown_at, scaling.boot) {
                    continue;
                }
                let excess = excess.min(left);
                // On-demand endpoints are too expensive to be kept for a peak that is over, or for the
                // loss of a zone.
                let kept = match need.settled && !spot && scaling.spot.is_some() {
                    true => planned.min(need.now.max(need.lasting)),
                    false => planned,
                };
                let mut less = excess.min(serving.saturating_sub(kept));
                let mut reason = match spot {
                    false if scaling.spot.is_some() => Reason::Replaced,
                    _ => Reason::Unneeded,
                };
                let room = scaling.max.saturating_sub(group.running.on_demand);
                let blocked = kinds.spot.saturating_sub(room);
                if less == 0 && !spot && blocked > 0 && group.warm.spot >= room {
                    let spare = serving.saturating_sub(need.held);
                    let limit = (self.figures.running as f64 * MAX_SWAPPED) as u32;
                    let swapped = if swaps && out.is_empty() { limit.max(1) } else { 0 };
                    less = excess.min(blocked).min(spare.max(swapped));
                    reason = Reason::Room;
                }
                if less > 0 {
                    serving = serving.saturating_sub(less);
                    left -= less;
                    out.push(Decrease { zone: name.clone(), spot, less, reason });
                }
            }
        }
        out
    }

    /// Ends releases that are not planned any more, or that the entries show.
    fn drop_releases(&mut self, round: &Round<'_>, decreases: &[Decrease]) {
        let Round { scaling, now, .. } = *round;
        for (name, zone) in &mut self.zones {
            for (kind, spot) in zone.kinds.iter_mut().zip([false, true]) {
                let expected = kind.expected(scaling.boot, now);
                let Some(release) = &kind.release else { continue };
                let planned = decreases.iter().any(|d| d.zone == *name && d.spot == spot);
                let pending = release.sent && expected < kind.running;
                let paused = now.saturating_sub(release.since) >= MAX_DRAIN * 2;
                if !pending && (release.sent || !planned || paused) {
                    kind.release = None;
                }
            }
        }
    }

    fn release(
        &mut self,
        round: &Round<'_>,
        decrease: &Decrease,
        open: &IndexMap<Name, u32>,
    ) -> Option<Planned> {
        let Round { groups, now, slots, .. } = *round;
        let Decrease { zone: name, spot, less, reason } = decrease;
        let group = &groups[name];
        let kind = &mut self.zones[name].kinds[usize::from(*spot)];
        let count = kind.running.saturating_sub(*less);
        let Some(release) = &mut kind.release else {
            let names = idle_entries(group, *spot, *less, open);
            kind.release = Some(Release { count, names, since: now, sent: false });
            return None;
        };
        if release.sent {
            return None;
        }
        let waited = now.saturating_sub(release.since);
        if waited >= MAX_DRAIN {
            // The endpoints serve again until the release is begun anew.
            release.names.clear();
            return None;
        }
        // Endpoints may have ended or become necessary since the announcement.
        release.count = release.count.max(count);
        release.names.truncate(kind.running.saturating_sub(release.count) as usize);
        let released = kind.running.saturating_sub(release.count);
        let busy: u32 = group.entries.iter().filter_map(|e| open.get(&e.name)).sum();
        let left = group.running.total().saturating_sub(released);
        if waited < ANNOUNCE_TIME || released == 0 || busy > left.saturating_mul(slots) {
            return None;
        }
        let count = release.count;
        Some(self.planned(round, name, *spot, count, *reason))
    }
}

/// Endpoints of a kind with the fewest open requests, taken from each stage in proportion.
fn idle_entries(
    group: &Group<'_>,
    spot: bool,
    count: u32,
    open: &IndexMap<Name, u32>,
) -> Vec<Name> {
    let requests = |e: &&Entry| open.get(&e.name).copied().unwrap_or_default();
    let mut stages: IndexMap<Option<Stage>, Vec<&Entry>> = IndexMap::new();
    for entry in group.entries.iter().filter(|e| e.spot == spot) {
        stages.entry(entry.stage).or_default().push(entry);
    }
    let total: usize = stages.values().map(Vec::len).sum();
    let mut out = Vec::new();
    for entries in stages.values_mut() {
        entries.sort_by_key(requests);
        let share = (entries.len() * count as usize).div_ceil(total.max(1));
        out.extend(entries.iter().take(share).map(|e| e.name.clone()));
    }
    out.truncate(count as usize);
    out
}
