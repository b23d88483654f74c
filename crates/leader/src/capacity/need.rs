//! Number of engines that the demand for a service requires, held over waves and bursts.

use {
    crate::stage::EngineDemand,
    agate_core::Mono,
    std::{collections::VecDeque, time::Duration},
};

/// Target utilisation of decode slots. Long responses hold their slots for seconds and block
/// everything behind them, so that requests queue from here on.
pub const DECODE_UTILIZATION: f64 = 0.6;
/// Target utilisation of prefill engines, above which prompts queue.
pub const PREFILL_UTILIZATION: f64 = 0.65;
/// Time for which a need is held. It spans two waves of 15 s, and a burst of 14 s with the time to
/// boot before and after it.
pub const HOLD_TIME: Duration = Duration::from_secs(30);
/// Time for which a new leader hears reports before it orders; instances that report within it are
/// in the sums.
pub const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Time within which all endpoints that run at the start of a day or a term are listed: a few
/// heartbeats.
pub const LIST_TIME: Duration = Duration::from_secs(6);
/// Time constant with which a past demand decays, as for stages, so that the need after a burst
/// falls in few steps.
const DEMAND_DECAY: Duration = Duration::from_secs(8);
/// Minimum fraction by which the target changes. Smaller changes are within the noise of the
/// demand and would be ordered back.
const STEP: f64 = 0.1;
/// Minimum number of engines: two that decode and one that prefills.
const MIN_ENGINES: u32 = 3;

/// Number of engines with `slots` slots each that serve `demand` at the target utilisations.
pub fn needed_engines(demand: EngineDemand, slots: u32) -> u32 {
    let decode = demand.slots / DECODE_UTILIZATION / f64::from(slots.max(1));
    let prefill = demand.prefill / PREFILL_UTILIZATION;
    (decode.ceil() as u32).saturating_add(prefill.ceil() as u32).max(MIN_ENGINES)
}

/// Smallest change of a target.
fn step(target: u32) -> u32 {
    ((f64::from(target) * STEP).ceil() as u32).max(1)
}

/// Need of a service over time.
#[derive(Clone, Debug, Default)]
pub struct NeedState {
    /// Since when the demand has been known without a gap.
    known_since: Option<Mono>,
    peak: Option<(EngineDemand, Mono)>,
    /// Needs in decreasing order, each with the time at which it was last the greatest.
    recent: VecDeque<(u32, Mono)>,
    target: Option<u32>,
    /// Needs of the present demand within the last boot time.
    latest: VecDeque<(u32, Mono)>,
}

/// Endpoints of a service that run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Running {
    /// Need that they meet after the loss of any one zone's spot endpoints.
    pub covered: u32,
    /// On-demand endpoints.
    pub on_demand: u32,
}

/// Need of a service in one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Engines for the decaying peak of the demand; zero while the demand is unknown.
    pub now: u32,
    /// Greatest `now` of the last [`HOLD_TIME`].
    pub held: u32,
    /// Engines that should remain after the loss of any one zone's spot endpoints.
    pub target: u32,
    /// Smallest need of the present demand within the last boot time. A burst beyond it is over
    /// before endpoints that are ordered now serve, so it gets no on-demand endpoints.
    pub lasting: u32,
    /// Whether the demand is known, without which nothing is released.
    pub known: bool,
    /// Whether the demand has been known for [`HOLD_TIME`].
    pub settled: bool,
}

impl NeedState {
    /// Updates the need by the demand and the running endpoints. Returns `None` until the demand has
    /// been known for [`REPORT_TIME`].
    pub fn update(
        &mut self,
        demand: Option<EngineDemand>,
        (slots, boot): (u32, Duration),
        running: Running,
        now: Mono,
    ) -> Option<Need> {
        let Some(demand) = demand else {
            (self.known_since, self.peak) = (None, None);
            self.recent.clear();
            self.latest.clear();
            let unknown = |target| Need {
                now: 0,
                held: target,
                target,
                lasting: target,
                known: false,
                settled: false,
            };
            return self.target.map(unknown);
        };
        let since = *self.known_since.get_or_insert(now);
        let lasting = self.lasting(needed_engines(demand, slots), boot, now);
        let need = needed_engines(self.peak_demand(demand, now), slots);
        let held = self.greatest(need, now);
        let known_for = now.saturating_sub(since);
        if known_for < REPORT_TIME {
            let unknown =
                |target| Need { now: need, held, target, lasting, known: false, settled: false };
            return self.target.map(unknown);
        }
        let target = match self.target {
            // Endpoints that run already are kept until the demand is known over a whole hold time.
            None => held.max(running.covered),
            Some(t) if known_for < REPORT_TIME + LIST_TIME => t.max(need).max(running.on_demand),
            Some(t) if need > t => need.max(t + step(t)),
            Some(t) if known_for >= HOLD_TIME && held + step(t) <= t => held,
            Some(t) => t,
        };
        self.target = Some(target);
        let settled = known_for >= HOLD_TIME;
        Some(Need { now: need, held, target, lasting, known: true, settled })
    }

    fn peak_demand(&mut self, demand: EngineDemand, now: Mono) -> EngineDemand {
        let (peak, at) = self.peak.unwrap_or((demand, now));
        let decay = (-now.saturating_sub(at).as_secs_f64() / DEMAND_DECAY.as_secs_f64()).exp();
        let peak = EngineDemand {
            prefill: demand.prefill.max(peak.prefill * decay),
            slots: demand.slots.max(peak.slots * decay),
        };
        self.peak = Some((peak, now));
        peak
    }

    /// Smallest need of the last `boot`, with `need` as the latest; zero until that is known.
    fn lasting(&mut self, need: u32, boot: Duration, now: Mono) -> u32 {
        self.latest.push_back((need, now));
        let old = |second: Option<&(u32, Mono)>| {
            second.is_some_and(|(_, at)| now.saturating_sub(*at) >= boot)
        };
        while old(self.latest.get(1)) {
            self.latest.pop_front();
        }
        let whole = self.latest.front().is_some_and(|(_, at)| now.saturating_sub(*at) >= boot);
        let least = self.latest.iter().map(|(need, _)| *need).min();
        if whole { least.unwrap_or_default() } else { 0 }
    }

    /// Greatest need of the last [`HOLD_TIME`], with `need` as the latest.
    fn greatest(&mut self, need: u32, now: Mono) -> u32 {
        while self.recent.pop_back_if(|(earlier, _)| *earlier <= need).is_some() {}
        self.recent.push_back((need, now));
        let old = |entry: &mut (u32, Mono)| now.saturating_sub(entry.1) > HOLD_TIME;
        while self.recent.pop_front_if(old).is_some() {}
        self.recent.front().map_or(need, |(greatest, _)| *greatest)
    }
}
