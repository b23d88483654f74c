//! What is ordered, and in which availability zones.

use {
    crate::{
        Fit, Grant, Kind, MAX_INTENTS, Mix, Name, Need, State, What, choose, fit, state::Tally,
    },
    agate_core::Mono,
    indexmap::IndexMap,
};

/// Intentions left free for releases.
const RESERVED: usize = 32;

/// Orders what `need` lacks; whether anything was ordered.
pub(crate) fn order(state: &mut State, need: Need, grant: &Grant, now: Mono) -> bool {
    let tallies = state.tallies();
    let there = state.fit(&tallies, now);
    let (wanted, served) = fit(&state.settings, need, &there);
    state.short = Need {
        deadline: (need.deadline - served.deadline).max(0.0),
        long: (need.long - served.long).max(0.0),
    };
    let wanted = if wanted == there.least { cheaper(state, &there) } else { wanted };
    let mut ordered = false;
    for (kind, want, have) in [
        (Kind::Standard, wanted.standard, there.least.standard),
        (Kind::Cheap, wanted.cheap, there.least.cheap),
    ] {
        let missing = want.saturating_sub(have);
        let missing = missing - keep(state, kind, missing);
        ordered |= missing > 0;
        place(state, kind, missing, grant, now);
    }
    ordered
}

/// Keeps up to `most` endpoints of a kind that were to be released and may still stay.
fn keep(state: &mut State, kind: Kind, most: usize) -> usize {
    let mut kept = 0;
    let endpoints = &state.endpoints;
    state.pending.retain(|p| {
        let released = p.released().and_then(|n| endpoints.get(n));
        let stays = kept < most && !p.told && released.is_some_and(|e| e.kind == kind);
        kept += usize::from(stays);
        !stays
    });
    if kept > 0 {
        state.touch();
    }
    kept
}

/// The present endpoints, with more cheap ones if these would save enough: the standard ones that
/// they replace are released once they serve.
fn cheaper(state: &State, there: &Fit) -> Mix {
    let s = &state.settings;
    let present = there.least.cost(&s.prices);
    let anew = Fit { least: there.free, peak: 0, ..*there };
    // For the need that releases go by, so that neither undoes the other.
    let best = choose(s, state.lasting_need(), &anew);
    let best =
        best.map_or(there.least, |b| if b.cost(&s.prices) < present { b } else { there.least });
    let saved = present - best.cost(&s.prices);
    if best.cheap <= there.least.cheap || saved <= s.saving * present {
        return there.least;
    }
    let left = s.budget + there.free.cost(&s.prices) - present - there.going.cost(&s.prices);
    let room =
        (left / s.prices.cheap).max(0.0).min(s.max.saturating_sub(there.least.total()) as f64);
    let more = (best.cheap - there.least.cheap).min(room as usize);
    Mix { cheap: there.least.cheap + more, ..there.least }
}

/// Spreads `count` new endpoints over the availability zones that have the fewest.
fn place(state: &mut State, kind: Kind, count: usize, grant: &Grant, now: Mono) {
    let tallies = state.tallies();
    let open = state.open_zones(kind, now);
    let of = |z: &Name| {
        let [standard, cheap] = tallies.get(z).copied().unwrap_or_default();
        let all = |t: Tally| t.live + t.coming;
        let own = if kind == Kind::Cheap { all(cheap) } else { all(standard) };
        (own, all(standard) + all(cheap))
    };
    let mut zones: IndexMap<Name, (usize, usize, u32)> =
        open.iter().map(|z| (z.clone(), (of(z).0, of(z).1, 0))).collect();
    for _ in 0..count {
        let least = zones.values_mut().min_by_key(|(own, all, _)| (*own, *all));
        let Some((own, all, new)) = least else { return };
        *own += 1;
        *all += 1;
        *new += 1;
    }
    for (zone, (_, _, count)) in zones {
        if count > 0 && state.pending.len() + RESERVED < MAX_INTENTS {
            state.intend(What::Order { zone, kind, count, left: count }, grant, now);
        }
    }
}
