//! Choice of the split between prefill and decode engines.
//!
//! The value of a split is the work that it serves, in engine-seconds, over the time for which it
//! is expected to last. A change costs the time during which the changed engines do not serve. The
//! gain must exceed the cost by a factor in both directions, so that small variations change
//! nothing.

use {
    crate::{Demand, Settings},
    std::time::Duration,
};

/// Number of engines of each role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Number of prefill engines.
    pub prefill: usize,
    /// Number of decode engines.
    pub decode: usize,
}

/// Number of points in time at which a split's value is computed.
const SAMPLES: u32 = 6;

/// Fraction of the demand that a split serves with headroom, between 0 and 1.
pub fn served_share(s: &Settings, split: Split, d: Demand) -> f64 {
    let share = |engines: usize, rate: f64, demand: f64| {
        if demand <= 0.0 { 1.0 } else { engines as f64 * rate / (demand * s.headroom) }
    };
    let prefill = share(split.prefill, s.prefill_rate, d.prefill);
    let decode = share(split.decode, s.decode_rate, d.decode);
    prefill.min(decode).min(1.0)
}

/// Returns the split with the largest net gain over `now`, or `now` if no change pays. `demand` is
/// the expected demand after a given time.
pub fn choose_split(s: &Settings, now: Split, demand: impl Fn(Duration) -> Demand) -> Split {
    let total = now.prefill + now.decode;
    let limit = s.max_away(total);
    let samples: Vec<Demand> =
        (0..SAMPLES).map(|i| demand(s.away + s.dwell * i / (SAMPLES - 1))).collect();
    let value = |split: Split| {
        let sum: f64 =
            samples.iter().map(|d| served_share(s, split, *d) * busy_engines(s, *d)).sum();
        sum / f64::from(SAMPLES) * s.dwell.as_secs_f64()
    };
    let base = value(now);
    let mut best = (0.0, now);
    for moved in 1..=limit {
        let cost = moved as f64 * s.away.as_secs_f64() * s.hysteresis;
        for split in shifted_splits(now, moved).into_iter().flatten() {
            let net = value(split) - base - cost;
            if net > best.0 {
                best = (net, split);
            }
        }
    }
    best.1
}

/// Number of engines that the demand keeps busy.
fn busy_engines(s: &Settings, d: Demand) -> f64 {
    d.prefill / s.prefill_rate + d.decode / s.decode_rate
}

/// The two splits in which `moved` engines have the other role; `None` if there are too few.
fn shifted_splits(now: Split, moved: usize) -> [Option<Split>; 2] {
    let shift = |from: usize, to: usize| from.checked_sub(moved).map(|f| (f, to + moved));
    [
        shift(now.prefill, now.decode).map(|(prefill, decode)| Split { prefill, decode }),
        shift(now.decode, now.prefill).map(|(decode, prefill)| Split { prefill, decode }),
    ]
}
