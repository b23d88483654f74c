//! Distribution of the endpoints of a service over availability zones and kinds.

use {
    agate_view::table::{Name, Scaling},
    std::cmp::Reverse,
};

/// Number of endpoints in a zone by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kinds {
    /// Spot endpoints, which may be reclaimed all at once.
    pub spot: u32,
    /// On-demand endpoints.
    pub on_demand: u32,
}

impl Kinds {
    /// Endpoints of both kinds.
    pub fn total(self) -> u32 {
        self.spot + self.on_demand
    }

    /// Endpoints of one kind.
    pub fn of(self, spot: bool) -> u32 {
        if spot { self.spot } else { self.on_demand }
    }

    /// Endpoints of one kind, to be changed.
    pub fn of_mut(&mut self, spot: bool) -> &mut u32 {
        if spot { &mut self.spot } else { &mut self.on_demand }
    }
}

/// Zone in which endpoints may run.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Availability zone.
    pub name: Name,
    /// Price of an on-demand endpoint per second.
    pub price: f64,
    /// Endpoints that can be had at most, by kind; less than the maximum of the service while the
    /// platform refuses orders.
    pub limit: Kinds,
    /// Whether spot endpoints were refused here lately.
    pub scarce: bool,
}

/// Need that remains after the loss of any one zone's spot endpoints.
pub fn covered_need(zones: impl Iterator<Item = Kinds> + Clone) -> u32 {
    let lost = zones.clone().map(|z| z.spot).max().unwrap_or_default();
    zones.map(Kinds::total).sum::<u32>() - lost
}

/// Endpoints for each of `zones`, in their order, that meet `need` after the loss of any one zone's
/// spot endpoints as far as the limits allow, and at least `lasting`, or `need` if that is less, by
/// on-demand endpoints otherwise. Without spot endpoints, all of `need` is on-demand.
pub fn spread_need(need: u32, lasting: u32, scaling: &Scaling, zones: &[Zone]) -> Vec<Kinds> {
    let mut by_price: Vec<usize> = (0..zones.len()).collect();
    by_price.sort_by(|a, b| zones[*a].price.total_cmp(&zones[*b].price));
    let mut out = vec![Kinds::default(); zones.len()];
    if scaling.spot.is_some() {
        spread_spot(need, scaling, zones, &by_price, &mut out);
    }
    let lasting = if scaling.spot.is_some() { lasting.min(need) } else { need };
    let missing = lasting.saturating_sub(out.iter().map(|z| z.total()).sum());
    fill_on_demand(missing, scaling, zones, &by_price, &mut out);
    for (kinds, zone) in out.iter_mut().zip(zones) {
        let missing = scaling.min.min(scaling.max).saturating_sub(kinds.total());
        let spot = missing.min(zone.limit.spot.saturating_sub(kinds.spot));
        kinds.spot += if scaling.spot.is_some() { spot } else { 0 };
        kinds.on_demand += scaling.min.min(scaling.max).saturating_sub(kinds.total());
    }
    out
}

fn spread_spot(
    need: u32,
    scaling: &Scaling,
    zones: &[Zone],
    by_price: &[usize],
    out: &mut [Kinds],
) {
    let limit = |z: &Zone| z.limit.spot.min(scaling.max);
    let covered = |cap: u32| {
        covered_need(zones.iter().map(|z| Kinds { spot: limit(z).min(cap), on_demand: 0 }))
    };
    // No zone alone has to carry more than the need.
    let cap = need.min(scaling.max);
    let cap = (0..cap).find(|c| covered(*c) >= need).unwrap_or(cap);
    for (kinds, zone) in out.iter_mut().zip(zones) {
        kinds.spot = limit(zone).min(cap);
    }
    let mut surplus = covered(cap).saturating_sub(need);
    for index in by_price.iter().rev() {
        let less = surplus.min(out[*index].spot.saturating_sub(scaling.min));
        out[*index].spot -= less;
        surplus -= less;
    }
}

/// Adds `missing` on-demand endpoints, first in zones without spot ones, then in cheap ones.
fn fill_on_demand(
    missing: u32,
    scaling: &Scaling,
    zones: &[Zone],
    by_price: &[usize],
    out: &mut [Kinds],
) {
    let mut missing = missing;
    let others = zones.len().saturating_sub(1).max(1) as u32;
    let mut order = by_price.to_vec();
    order.sort_by_key(|i| Reverse(zones[*i].scarce));
    // The zones share the endpoints as if one were lost, and take more only if others are full. The
    // last place in a zone stays free as long as possible, so that spot endpoints can be tried.
    for (cap, free) in [(missing.div_ceil(others), 1), (missing, 1), (missing, 0)] {
        for index in &order {
            let (kinds, zone) = (&mut out[*index], &zones[*index]);
            let room = scaling.max.saturating_sub(kinds.spot + free);
            let limit = zone.limit.on_demand.min(room).min(cap);
            let more = missing.min(limit.saturating_sub(kinds.on_demand));
            kinds.on_demand += more;
            missing -= more;
        }
    }
}
