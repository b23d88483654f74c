//! Orders of missing endpoints, and their distribution over availability zones.

use {
    crate::{
        Grant, Inventory, Kind, MAX_INTENTS, Mix, Name, Need, Op, State, cheapest_mix,
        feasible_mix, state::Counts,
    },
    agate_core::Mono,
    indexmap::IndexMap,
};

/// Intents that only releases may use.
const RESERVED: usize = 32;

/// Orders the endpoints that are missing for `need`; returns whether any were ordered.
pub(crate) fn order_missing(state: &mut State, need: Need, grant: &Grant, now: Mono) -> bool {
    let counts_by_zone = state.counts_by_zone();
    let inventory = state.inventory(&counts_by_zone, now);
    let (target, served) = feasible_mix(&state.settings, need, &inventory);
    state.unserved = Need {
        deadline: (need.deadline - served.deadline).max(0.0),
        long: (need.long - served.long).max(0.0),
    };
    let target = if target == inventory.present {
        with_cheap_replacements(state, &inventory)
    } else {
        target
    };
    let mut ordered = false;
    for (kind, target, present) in [
        (Kind::Standard, target.standard, inventory.present.standard),
        (Kind::Cheap, target.cheap, inventory.present.cheap),
    ] {
        let missing = target.saturating_sub(present);
        let missing = missing - cancel_releases(state, kind, missing);
        ordered |= missing > 0;
        distribute(state, kind, missing, grant, now);
    }
    ordered
}

/// Cancels up to `most` releases of endpoints of a kind that were not sent yet; returns how many.
fn cancel_releases(state: &mut State, kind: Kind, most: usize) -> usize {
    let mut cancelled = 0;
    let endpoints = &state.endpoints;
    state.pending.retain(|p| {
        let released = p.release_target().and_then(|n| endpoints.get(n));
        let cancel = cancelled < most && !p.maybe_sent && released.is_some_and(|e| e.kind == kind);
        cancelled += usize::from(cancel);
        !cancel
    });
    if cancelled > 0 {
        state.mark_dirty();
    }
    cancelled
}

/// Target mix that adds cheap endpoints to the present ones if they save enough by replacing
/// standard ones. The standard ones are released once the cheap ones serve.
fn with_cheap_replacements(state: &State, inv: &Inventory) -> Mix {
    let s = &state.settings;
    let cost = inv.present.cost(&s.prices);
    let replaceable = Inventory { present: inv.free, peak: 0, ..*inv };
    // Releases use the same need, so that neither reverses the other.
    let best = cheapest_mix(s, state.peak_need(), &replaceable);
    let best = best.map_or(inv.present, |b| if b.cost(&s.prices) < cost { b } else { inv.present });
    let saved = cost - best.cost(&s.prices);
    if best.cheap <= inv.present.cheap || saved <= s.min_saving * cost {
        return inv.present;
    }
    let left = s.budget + inv.free.cost(&s.prices) - cost - inv.leaving.cost(&s.prices);
    let room =
        (left / s.prices.cheap).max(0.0).min(s.max.saturating_sub(inv.present.total()) as f64);
    let more = (best.cheap - inv.present.cheap).min(room as usize);
    Mix { cheap: inv.present.cheap + more, ..inv.present }
}

/// Orders `count` endpoints, each in the availability zone that has the fewest.
fn distribute(state: &mut State, kind: Kind, count: usize, grant: &Grant, now: Mono) {
    let counts_by_zone = state.counts_by_zone();
    let zones = state.available_zones(kind, now);
    let present = |z: &Name| {
        let [standard, cheap] = counts_by_zone.get(z).copied().unwrap_or_default();
        let all = |t: Counts| t.live + t.starting;
        let own = if kind == Kind::Cheap { all(cheap) } else { all(standard) };
        (own, all(standard) + all(cheap))
    };
    let mut zones: IndexMap<Name, (usize, usize, u32)> =
        zones.iter().map(|z| (z.clone(), (present(z).0, present(z).1, 0))).collect();
    for _ in 0..count {
        let least = zones.values_mut().min_by_key(|(own, all, _)| (*own, *all));
        let Some((own, all, new)) = least else { return };
        *own += 1;
        *all += 1;
        *new += 1;
    }
    for (zone, (_, _, count)) in zones {
        if count > 0 && state.pending.len() + RESERVED < MAX_INTENTS {
            state.add_intent(Op::Order { zone, kind, count, left: count }, grant, now);
        }
    }
}
