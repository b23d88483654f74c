//! Choice of the number of endpoints of each kind.
//!
//! A mix must serve all work, and the deadline work also after all cheap endpoints of any one
//! availability zone are lost. The cheapest such mix is chosen.

use crate::{Kind, Prices, Settings, WorkKind};

/// Numbers of endpoints by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mix {
    /// Number of standard endpoints.
    pub standard: usize,
    /// Number of cheap endpoints.
    pub cheap: usize,
}

impl Mix {
    /// Number of endpoints of both kinds.
    pub fn total(&self) -> usize {
        self.standard + self.cheap
    }

    /// Cost per hour, in the unit of the prices.
    pub fn cost(&self, prices: &Prices) -> f64 {
        self.standard as f64 * prices.standard + self.cheap as f64 * prices.cheap
    }
}

/// Required capacity, in endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Capacity for deadline work, with headroom.
    pub deadline: f64,
    /// Capacity for resumable long work.
    pub long: f64,
}

impl Need {
    /// Whether `total` endpoints meet the need if the loss of one availability zone removes `loss`.
    pub fn met(&self, total: usize, loss: usize) -> bool {
        let left = total.saturating_sub(loss) as f64;
        left >= self.deadline && total as f64 >= self.deadline + self.long
    }

    /// The need with its work of one kind set to `amount`.
    fn with(self, kind: WorkKind, amount: f64) -> Self {
        match kind {
            WorkKind::Deadline => Self { deadline: amount, ..self },
            WorkKind::Long => Self { long: amount, ..self },
        }
    }

    fn of(&self, kind: WorkKind) -> f64 {
        match kind {
            WorkKind::Deadline => self.deadline,
            WorkKind::Long => self.long,
        }
    }
}

/// Endpoints that exist, and availability zones for more; the basis of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Inventory {
    /// Endpoints that serve or were ordered, and are not being released.
    pub present: Mix,
    /// Those of them that do not count towards the budget.
    pub free: Mix,
    /// Further endpoints that cost until they are gone.
    pub leaving: Mix,
    /// Most cheap endpoints in one availability zone.
    pub peak: usize,
    /// Number of availability zones in which cheap endpoints may be ordered.
    pub zones: usize,
}

impl Inventory {
    fn cost(&self, s: &Settings, mix: Mix) -> f64 {
        mix.cost(&s.prices) + self.leaving.cost(&s.prices) - self.free.cost(&s.prices)
    }

    /// Number of the `cheap` endpoints that the loss of one availability zone removes.
    fn loss(&self, cheap: usize) -> usize {
        if cheap == self.present.cheap {
            return self.peak.min(cheap);
        }
        cheap.div_ceil(self.zones.max(1)).max(self.peak).min(cheap)
    }

    fn may_order(&self, s: &Settings, kind: Kind) -> bool {
        s.kinds.contains(&kind) && (kind == Kind::Standard || self.zones > 0)
    }
}

/// Returns the cheapest mix that meets `need` and contains the present endpoints, or `None` if the
/// budget or the maximum allows none.
pub fn cheapest_mix(s: &Settings, need: Need, inventory: &Inventory) -> Option<Mix> {
    let floor = (need.deadline + need.long).ceil() as usize;
    let floor = floor.max(s.min).max(inventory.present.total());
    let standard = inventory.present.standard;
    let most = if inventory.may_order(s, Kind::Standard) { standard.max(floor) } else { standard };
    let mixes = (standard..=most).filter_map(|standard| {
        let cheap = fewest_cheap(s, need, inventory, standard, floor)?;
        Some(Mix { standard, cheap })
    });
    let allowed = |m: &Mix| m.total() <= s.max && inventory.cost(s, *m) <= s.budget;
    mixes.filter(allowed).min_by(|a, b| inventory.cost(s, *a).total_cmp(&inventory.cost(s, *b)))
}

/// The fewest cheap endpoints that meet `need` together with `standard` ones; `floor` is the
/// smallest allowed total.
fn fewest_cheap(
    s: &Settings,
    need: Need,
    inventory: &Inventory,
    standard: usize,
    floor: usize,
) -> Option<usize> {
    let least = inventory.present.cheap.max(floor.saturating_sub(standard));
    let missing = (need.deadline - standard as f64).ceil().max(0.0) as usize;
    let zones = inventory.zones.max(1);
    // One of `zones` equal parts is lost, so the others must have the capacity.
    let spread = if zones > 1 { missing + missing.div_ceil(zones - 1) } else { missing };
    let first = least.max(spread).max(if missing > 0 { missing + inventory.peak } else { 0 });
    let met = |cheap: &usize| need.met(standard + cheap, inventory.loss(*cheap));
    // Rounding adds at most one endpoint per availability zone.
    let start = if met(&least) { least } else { first.max(least) };
    let cheap = (start..=start + zones).find(met)?;
    (cheap == inventory.present.cheap || inventory.may_order(s, Kind::Cheap)).then_some(cheap)
}

/// Returns the cheapest mix within the budget and the maximum, and the need that it meets. If the
/// whole need cannot be met, work is shed in the order of the settings until the rest can.
pub fn feasible_mix(s: &Settings, need: Need, inventory: &Inventory) -> (Mix, Need) {
    if let Some(mix) = cheapest_mix(s, need, inventory) {
        return (mix, need);
    }
    let mut need = need;
    for kind in shedding_order(s) {
        let full = need.of(kind).ceil() as usize;
        need = need.with(kind, 0.0);
        if cheapest_mix(s, need, inventory).is_none() {
            continue;
        }
        let (mut feasible, mut infeasible) = (0, full.max(1));
        while infeasible - feasible > 1 {
            let middle = (feasible + infeasible) / 2;
            match cheapest_mix(s, need.with(kind, middle as f64), inventory) {
                Some(_) => feasible = middle,
                None => infeasible = middle,
            }
        }
        need = need.with(kind, feasible as f64);
        return (cheapest_mix(s, need, inventory).unwrap_or(inventory.present), need);
    }
    (inventory.present, Need::default())
}

/// Kinds of work, the one that is shed first in front; long work unless the settings differ.
fn shedding_order(s: &Settings) -> [WorkKind; 2] {
    match s.degrade.first().map(|w| w.kind) {
        Some(WorkKind::Deadline) => [WorkKind::Deadline, WorkKind::Long],
        _ => [WorkKind::Long, WorkKind::Deadline],
    }
}
