//! Share of the rate limits of endpoints that this instance may use.

use {
    agate_core::Mono,
    agate_route::{
        pace::{self, Group, TIME_CONSTANT},
        ranking::name_hash,
        rate_meter::RateMeter,
    },
    agate_view::table::Name,
    indexmap::IndexMap,
    std::{
        sync::{
            Mutex, MutexGuard,
            atomic::{AtomicUsize, Ordering::Relaxed},
        },
        time::Duration,
    },
};

/// Age from which the reports of other instances are ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Rate in requests per second below which the demand for a service is forgotten.
const MIN_DEMAND: f64 = 1e-3;

/// Demand of this instance for a service with rate-limited endpoints.
struct OwnDemand {
    meter: RateMeter,
    /// Requests per second as last reported to the others.
    reported: f64,
}

impl Default for OwnDemand {
    fn default() -> Self {
        Self { meter: RateMeter::new(TIME_CONSTANT), reported: 0.0 }
    }
}

/// Demand of all other instances for services with rate-limited endpoints.
#[derive(Default)]
struct OthersDemand {
    /// Requests per second, by hash of the service's name.
    rates: IndexMap<u32, f64>,
    /// Number of instances that reported, also without such demand.
    instances: usize,
    received: Mono,
}

impl OthersDemand {
    fn group(&self, service: &Name, now: Mono) -> Group {
        if now.saturating_sub(self.received) >= MAX_REPORT_AGE {
            return Group::default();
        }
        let requests = self.rates.get(&(name_hash(service) as u32)).copied().unwrap_or_default();
        Group { requests, instances: self.instances }
    }
}

/// Demand for services with rate-limited endpoints, of this instance and of the others.
#[derive(Default)]
pub struct RateShares {
    own: Mutex<IndexMap<Name, OwnDemand>>,
    others: Mutex<OthersDemand>,
    /// Number of instances that divide the limits; zero until it is known.
    instances: AtomicUsize,
}

impl RateShares {
    /// Counts a request for `service`, sent or not.
    pub fn on_request(&self, service: &Name, now: Mono) {
        self.lock_own().entry(service.clone()).or_default().meter.add(1.0, now);
    }

    /// Fraction of the rate limits of the endpoints of `service` that this instance may use; `None`
    /// while it does not know how many instances there are.
    pub fn share(&self, service: &Name, now: Mono) -> Option<f64> {
        let instances = self.instances.load(Relaxed);
        if instances == 0 {
            return None;
        }
        let own = self.lock_own().get(service).map_or(0.0, |d| d.reported);
        let others = self.lock_others();
        Some(pace::share(own, &others.group(service, now), instances))
    }

    /// Reports the requests per second for each service that has had rate-limited endpoints lately.
    pub fn report(&self, now: Mono) -> Vec<(Name, f64)> {
        let mut own = self.lock_own();
        for demand in own.values_mut() {
            demand.reported = demand.meter.per_second(now);
        }
        own.retain(|_, d| d.reported >= MIN_DEMAND);
        own.iter().map(|(name, d)| (name.clone(), d.reported)).collect()
    }

    /// Services in the latest report.
    pub fn services(&self) -> Vec<Name> {
        self.lock_own().keys().cloned().collect()
    }

    /// Replaces the demand of all other instances, `instances` in number, by hash of the service's
    /// name.
    pub fn set_others(&self, rates: IndexMap<u32, f64>, instances: usize, now: Mono) {
        *self.lock_others() = OthersDemand { rates, instances, received: now };
    }

    /// Sets the number of listed instances. The list is too short after the leases of live instances
    /// expired, so the number decreases only while this instance is `listed` itself.
    pub fn set_instances(&self, count: usize, listed: bool) {
        let known = self.instances.load(Relaxed);
        if listed {
            self.instances.store(count, Relaxed);
        } else if known > 0 {
            self.instances.store(known.max(count), Relaxed);
        }
    }

    fn lock_own(&self) -> MutexGuard<'_, IndexMap<Name, OwnDemand>> {
        self.own.lock().expect("lock of the own demand is not poisoned")
    }

    fn lock_others(&self) -> MutexGuard<'_, OthersDemand> {
        self.others.lock().expect("lock of the others' demand is not poisoned")
    }
}
