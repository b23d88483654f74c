//! Settings of the request path and of the leader tasks, from those of the instance.

use {
    super::settings::Settings,
    agate_leader::stage::Division,
    agate_relay::{hedge::HedgeLimits, proxy_state, retry_budget::RetryLimits},
    agate_transport::memory_budget::MemoryBudget,
};

/// Maximum age of a freshness proof, as a fraction of the limit for revoked keys; the rest allows
/// for the call to the store.
const KEY_AGE_FRACTION: f64 = 0.9;
/// Age of a proof, as a fraction of the same limit, above which the instance reports itself as not
/// ready, so that the balancer opens no more connections.
const READY_AGE_FRACTION: f64 = 0.55;

/// Settings of the request path, whose callers share `callers`.
pub fn request_path(settings: &Settings, callers: MemoryBudget) -> proxy_state::Settings {
    proxy_state::Settings {
        zone: settings.zone.as_str().into(),
        key_age: settings.keys.age.mul_f64(KEY_AGE_FRACTION),
        ready_age: settings.keys.age.mul_f64(READY_AGE_FRACTION),
        retry_limits: RetryLimits {
            ratio: settings.retries.ratio,
            slack: settings.retries.slack,
            window: settings.retries.window,
        },
        measured_demand: settings.capacity.measured,
        org_shares: settings.shares.organisations,
        quotas: settings.quotas.tolerance(),
        hedge_limits: settings
            .hedge
            .as_ref()
            .map(|h| HedgeLimits { ratio: h.ratio, window: settings.retries.window }),
        evacuate: settings.capacity.evacuate,
        callers,
    }
}

/// How engines are divided between prefill and decode.
pub fn division(settings: &Settings) -> Division {
    match settings.capacity.measured {
        true => Division::Stable,
        false => Division::Proportional,
    }
}
