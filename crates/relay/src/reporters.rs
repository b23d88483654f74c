//! Whether the reports of the other instances are complete enough to act on for all.

use {
    agate_core::Mono,
    std::{sync::Mutex, time::Duration},
};

/// Age from which the reports of other instances are ignored.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Number of other instances whose figures are in the latest sum.
#[derive(Default)]
pub struct Reporters {
    latest: Mutex<Option<(usize, Mono)>>,
}

impl Reporters {
    /// Records a sum over `count` other instances.
    pub fn record(&self, count: usize, now: Mono) {
        *self.latest.lock().expect("lock of the reporters is not poisoned") = Some((count, now));
    }

    /// Whether the latest sum and this instance make up half of the `listed` instances, this one
    /// included, and the sum is recent. A coordinator that has just become one hears few of them.
    pub fn suffice(&self, listed: usize, now: Mono) -> bool {
        let latest = *self.latest.lock().expect("lock of the reporters is not poisoned");
        let recent = latest.filter(|(_, at)| now.saturating_sub(*at) < MAX_REPORT_AGE);
        (recent.map_or(0, |(count, _)| count) + 1) * 2 >= listed.max(2)
    }
}
