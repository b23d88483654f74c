//! Choice of how many endpoints of each kind there should be.
//!
//! Deadline work must be served after the loss of any one availability zone's cheap endpoints; all
//! work must be served before it. Of the mixes that do so the cheapest is chosen.

use crate::{Kind, Prices, Settings, WorkKind};

/// Numbers of endpoints by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mix {
    /// Standard ones.
    pub standard: usize,
    /// Cheap ones.
    pub cheap: usize,
}

impl Mix {
    /// All endpoints.
    pub fn total(&self) -> usize {
        self.standard + self.cheap
    }

    /// Cost in an hour.
    pub fn cost(&self, prices: &Prices) -> f64 {
        self.standard as f64 * prices.standard + self.cheap as f64 * prices.cheap
    }
}

/// Capacity that work needs, in endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// For deadline work, with headroom.
    pub deadline: f64,
    /// For resumable long work.
    pub long: f64,
}

impl Need {
    /// Whether `total` endpoints, of which the loss of one zone takes `loss`, serve the need.
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

/// What there is to choose from.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Endpoints that are there in any case.
    pub least: Mix,
    /// Those of them that cost nothing here.
    pub free: Mix,
    /// Further endpoints that still cost but will go.
    pub going: Mix,
    /// Most cheap endpoints in one availability zone.
    pub peak: usize,
    /// Availability zones in which cheap endpoints can be had.
    pub zones: usize,
}

impl Fit {
    fn cost(&self, s: &Settings, mix: Mix) -> f64 {
        mix.cost(&s.prices) + self.going.cost(&s.prices) - self.free.cost(&s.prices)
    }

    /// Cheap endpoints that the loss of one availability zone takes.
    fn loss(&self, cheap: usize) -> usize {
        if cheap == self.least.cheap {
            return self.peak.min(cheap);
        }
        cheap.div_ceil(self.zones.max(1)).max(self.peak).min(cheap)
    }

    fn may(&self, s: &Settings, kind: Kind) -> bool {
        s.kinds.contains(&kind) && (kind == Kind::Standard || self.zones > 0)
    }
}

/// The cheapest mix that serves `need` with at least the given endpoints, if any does.
pub fn choose(s: &Settings, need: Need, fit: &Fit) -> Option<Mix> {
    let floor = (need.deadline + need.long).ceil() as usize;
    let floor = floor.max(s.min).max(fit.least.total());
    let standard = fit.least.standard;
    let most = if fit.may(s, Kind::Standard) { standard.max(floor) } else { standard };
    let mixes = (standard..=most).filter_map(|standard| {
        let cheap = fewest_cheap(s, need, fit, standard, floor)?;
        Some(Mix { standard, cheap })
    });
    let fits = |m: &Mix| m.total() <= s.max && fit.cost(s, *m) <= s.budget;
    mixes.filter(fits).min_by(|a, b| fit.cost(s, *a).total_cmp(&fit.cost(s, *b)))
}

/// The fewest cheap endpoints that serve `need` beside `standard` ones.
fn fewest_cheap(
    s: &Settings,
    need: Need,
    fit: &Fit,
    standard: usize,
    floor: usize,
) -> Option<usize> {
    let least = fit.least.cheap.max(floor.saturating_sub(standard));
    let missing = (need.deadline - standard as f64).ceil().max(0.0) as usize;
    let zones = fit.zones.max(1);
    // Of `zones` equal parts one is lost, so the others have to serve.
    let spread = if zones > 1 { missing + missing.div_ceil(zones - 1) } else { missing };
    let first = least.max(spread).max(if missing > 0 { missing + fit.peak } else { 0 });
    let met = |cheap: &usize| need.met(standard + cheap, fit.loss(*cheap));
    // Rounding adds at most one endpoint for each availability zone.
    let start = if met(&least) { least } else { first.max(least) };
    let cheap = (start..=start + zones).find(met)?;
    (cheap == fit.least.cheap || fit.may(s, Kind::Cheap)).then_some(cheap)
}

/// The cheapest mix within the budget and the maximum, and the need that it serves: work is given
/// up in the order of the settings until what is left can be served.
pub fn fit(s: &Settings, need: Need, fit: &Fit) -> (Mix, Need) {
    if let Some(mix) = choose(s, need, fit) {
        return (mix, need);
    }
    let mut need = need;
    for kind in order(s) {
        let full = need.of(kind).ceil() as usize;
        need = need.with(kind, 0.0);
        if choose(s, need, fit).is_none() {
            continue;
        }
        let (mut fits, mut fails) = (0, full.max(1));
        while fails - fits > 1 {
            let middle = (fits + fails) / 2;
            match choose(s, need.with(kind, middle as f64), fit) {
                Some(_) => fits = middle,
                None => fails = middle,
            }
        }
        need = need.with(kind, fits as f64);
        return (choose(s, need, fit).unwrap_or(fit.least), need);
    }
    (fit.least, Need::default())
}

/// Kinds of work by who is given up first; long work unless the settings say otherwise.
fn order(s: &Settings) -> [WorkKind; 2] {
    match s.degrade.first().map(|w| w.kind) {
        Some(WorkKind::Deadline) => [WorkKind::Deadline, WorkKind::Long],
        _ => [WorkKind::Long, WorkKind::Deadline],
    }
}
