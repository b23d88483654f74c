//! Choice of the split between prefill and decode engines.
//!
//! A split is worth the work that it serves, in engine-seconds over the time for which it is expected
//! to stay. Changing costs the seconds for which the changed engines are away. Because a
//! gain must exceed the cost by a factor in either direction, a small swing changes nothing.

use {
    crate::{Demand, Settings},
    std::time::Duration,
};

/// Numbers of engines by role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
}

/// Points in time at which a split is valued.
const POINTS: u32 = 6;

/// Share of the demand that a split serves, with headroom, between 0 and 1.
pub fn served_share(s: &Settings, split: Split, d: Demand) -> f64 {
    let share = |engines: usize, each: f64, asked: f64| {
        if asked <= 0.0 { 1.0 } else { engines as f64 * each / (asked * s.headroom) }
    };
    let prefill = share(split.prefill, s.prefill_rate, d.prefill);
    let decode = share(split.decode, s.decode_rate, d.decode);
    prefill.min(decode).min(1.0)
}

/// The split that is worth changing to, or `now` if none is.
pub fn choose_split(s: &Settings, now: Split, demand: impl Fn(Duration) -> Demand) -> Split {
    let total = now.prefill + now.decode;
    let limit = s.max_away(total);
    let points: Vec<Demand> =
        (0..POINTS).map(|i| demand(s.away + s.dwell * i / (POINTS - 1))).collect();
    let worth = |split: Split| {
        let sum: f64 = points.iter().map(|d| served_share(s, split, *d) * work(s, *d)).sum();
        sum / f64::from(POINTS) * s.dwell.as_secs_f64()
    };
    let base = worth(now);
    let mut best = (0.0, now);
    for moved in 1..=limit {
        let cost = moved as f64 * s.away.as_secs_f64() * s.hysteresis;
        for split in moves(now, moved).into_iter().flatten() {
            let net = worth(split) - base - cost;
            if net > best.0 {
                best = (net, split);
            }
        }
    }
    best.1
}

/// Engines that the demand would keep busy.
fn work(s: &Settings, d: Demand) -> f64 {
    d.prefill / s.prefill_rate + d.decode / s.decode_rate
}

/// The two splits that differ by `moved` engines.
fn moves(now: Split, moved: usize) -> [Option<Split>; 2] {
    let shift = |from: usize, to: usize| from.checked_sub(moved).map(|f| (f, to + moved));
    [
        shift(now.prefill, now.decode).map(|(prefill, decode)| Split { prefill, decode }),
        shift(now.decode, now.prefill).map(|(decode, prefill)| Split { prefill, decode }),
    ]
}
