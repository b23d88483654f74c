//! Engine time that can be admitted to a service.
//!
//! Only what was admitted shows what the engines can serve, so the capacity is that plus a headroom.
//! If the engines refuse some requests whatever the load, each reduction would lower the next one's
//! base. So a marked fall is checked by a short time without limits ([`State::Probing`]): what is
//! admitted then is the new reference, and refusals that limits did not reduce are allowed for.

use {super::ServiceSums, agate_core::Mono, std::time::Duration};

/// Headroom above what was admitted while the engines refuse nothing of what the shares admit.
const IDLE_HEADROOM: f64 = 0.25;
/// Headroom once the engines refuse [`FULL_FRACTION`] of that. Without any, each chance refusal would
/// lower the capacity for good.
const FULL_HEADROOM: f64 = 0.05;
/// Fraction of refusals at the engines from which the headroom is [`FULL_HEADROOM`].
const FULL_FRACTION: f64 = 0.02;
/// Fraction of the reference below which the fall is checked.
const CHECKED_FRACTION: f64 = 0.85;
/// Fraction of the reference below which the capacity does not fall before it is checked.
const MIN_FRACTION: f64 = 0.7;
/// Time without limits; two windows fit with the reports of 1,900 instances.
const PROBE_TIME: Duration = Duration::from_secs(4);
/// Time with limits before they are lifted again.
const LIMITED_TIME: Duration = Duration::from_secs(10);
/// Part of the excess above the reference that one update adds to it.
const GROWTH: f64 = 0.02;
/// Refusals that limits leave, as a fraction of those without limits, from which limits are taken to
/// be without effect on them.
const UNCHANGED_FRACTION: f64 = 0.7;

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Free,
    Limited {
        since: Mono,
    },
    Probing {
        since: Mono,
        /// Fraction refused by the engines under limits.
        limited: f64,
    },
}

/// Estimate of the engine time that can be admitted, in milliseconds per window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    /// Admitted when there were no limits last.
    reference: f64,
    /// Fraction that the engines refuse whatever the load.
    unavoidable: f64,
    state: State,
}

impl Capacity {
    /// Updates the estimate; `None` while nothing is to be limited.
    pub fn update(&mut self, sums: &ServiceSums, overloaded: bool, now: Mono) -> Option<f64> {
        let admitted = sums.work.values().map(|w| w.admitted as f64).sum::<f64>();
        let passed = sums.requests.saturating_sub(sums.limited).max(1);
        let full = (sums.full as f64 / passed as f64).min(1.0);
        let expected = admitted * (1.0 + headroom(full, self.unavoidable));
        if !overloaded {
            *self = Self { reference: admitted, ..Self::default() };
            return Some(expected);
        }
        match self.state {
            State::Free => self.state = State::Limited { since: now },
            State::Limited { since } => {
                let fallen = admitted < self.reference * CHECKED_FRACTION && sums.limited > 0;
                if fallen && now.saturating_sub(since) >= LIMITED_TIME {
                    self.state = State::Probing { since: now, limited: full };
                }
            }
            State::Probing { since, limited } => {
                if now.saturating_sub(since) >= PROBE_TIME {
                    let unchanged = limited >= UNCHANGED_FRACTION * full;
                    self.unavoidable = if unchanged { limited.min(full) } else { 0.0 };
                    self.reference = admitted;
                    self.state = State::Limited { since: now };
                }
            }
        }
        if matches!(self.state, State::Probing { .. }) {
            return None;
        }
        // Slowly, so that a short burst does not make the usual load look like a fall.
        self.reference += (admitted - self.reference).max(0.0) * GROWTH;
        Some(expected.max(self.reference * MIN_FRACTION))
    }
}

/// Headroom above what was admitted, as a fraction of it, if the engines refuse `full` of what reaches
/// them, `unavoidable` of it whatever the load.
fn headroom(full: f64, unavoidable: f64) -> f64 {
    let avoidable = (full - unavoidable).max(0.0);
    let used = (avoidable / FULL_FRACTION).min(1.0);
    let own = IDLE_HEADROOM - (IDLE_HEADROOM - FULL_HEADROOM) * used;
    (1.0 + own) / (1.0 - unavoidable.min(0.5)) - 1.0
}
