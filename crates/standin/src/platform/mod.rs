//! Stand-in of the platform: key-value service, fleet, usage and instance list.
//!
//! Faults apply to the key-value service and, where they make sense, to the other interfaces. A
//! call that meets an outage or the rate limit has no effect; a call whose acknowledgement is lost
//! has its effect and is answered with 500.

mod fleet;
mod store;
mod supply;

pub use fleet::{FleetEndpoint, FleetOrder, Instance, UsageEntry};
pub use supply::Supply;

use {
    crate::server::{self, Call},
    agate_store::{Store, memory::Memory},
    fleet::Fleet,
    http::StatusCode,
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, Weak},
        time::{Duration, Instant},
    },
    volo_http::response::Response,
};

/// Time between two looks for lapsed leases.
const EXPIRY_TICK: Duration = Duration::from_millis(20);

/// Faults of the platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// The key-value service answers 503 to everything.
    pub outage: bool,
    /// The fleet, usage and instance interfaces answer 503 to everything.
    pub fleet_outage: bool,
    /// Delay of each call before it takes effect.
    pub latency: Duration,
    /// Writes that take effect and are answered with 500.
    pub lose_acks: u32,
    /// Calls of the key-value service per second, above which it answers 429; zero: no limit.
    pub rate_limit: u32,
    /// Age of the endpoint and instance lists.
    pub list_lag: Duration,
    /// Refuses orders of the cheap kind.
    pub no_cheap: bool,
    /// Orders and releases take effect and are answered with 500.
    pub lose_orders: bool,
    /// Further time from an order to its endpoints.
    pub late: Duration,
}

pub(crate) struct Shared {
    store: Store,
    memory: Memory,
    fleet: Mutex<Fleet>,
    faults: Mutex<PlatformFaults>,
    counts: Mutex<IndexMap<String, u64>>,
    second: Mutex<(Instant, u32)>,
}

impl Shared {
    pub(crate) fn faults(&self) -> PlatformFaults {
        self.faults.lock().expect("no panic while locked").clone()
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no panic while locked")
    }

    /// Counts one call against the rate limit; false if it is exceeded.
    fn within_rate(&self, limit: u32) -> bool {
        let mut second = self.second.lock().expect("no panic while locked");
        if second.0.elapsed() >= Duration::from_secs(1) {
            *second = (Instant::now(), 0);
        }
        second.1 += 1;
        limit == 0 || second.1 <= limit
    }

    /// Takes one lost acknowledgement, if one is due.
    fn lose_ack(&self) -> bool {
        let mut f = self.faults.lock().expect("no panic while locked");
        let lose = f.lose_acks > 0;
        f.lose_acks = f.lose_acks.saturating_sub(1);
        lose
    }
}

/// Handle of a running platform.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Arc<server::Handle>,
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Platform({})", self.address())
    }
}

impl Platform {
    /// Starts a platform on `address`, port 0 for an ephemeral one.
    pub async fn bind(address: SocketAddr) -> crate::Result<Platform> {
        let start = Instant::now();
        let memory = Memory::open(move || start.elapsed());
        let shared = Arc::new(Shared {
            store: memory.store(),
            memory,
            fleet: Mutex::default(),
            faults: Mutex::default(),
            counts: Mutex::default(),
            second: Mutex::new((Instant::now(), 0)),
        });
        tokio::spawn(expire_leases(Arc::downgrade(&shared)));
        let for_calls = shared.clone();
        let server = server::serve(address, move |call| answer(for_calls.clone(), call)).await?;
        Ok(Platform { shared, server: Arc::new(server) })
    }

    /// Address that callers use.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// The key-value service itself, without HTTP and without faults.
    pub fn store(&self) -> Store {
        self.shared.store.clone()
    }

    /// Changes the faults in force.
    pub fn set(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.faults.lock().expect("no panic while locked"));
    }

    /// Number of calls that reached the platform, by path.
    pub fn counts(&self) -> IndexMap<String, u64> {
        self.shared.counts.lock().expect("no panic while locked").clone()
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.shared.fleet().set_instances(instances);
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&self, endpoints: Vec<FleetEndpoint>) {
        self.shared.fleet().set_endpoints(endpoints);
    }

    /// Every order that the fleet took, in order.
    pub fn orders(&self) -> Vec<FleetOrder> {
        self.shared.fleet().orders.clone()
    }

    /// Every endpoint that was released, in order.
    pub fn releases(&self) -> Vec<String> {
        self.shared.fleet().releases.clone()
    }

    /// Every usage report that was sent, in order, conflicting ones included.
    pub fn usage(&self) -> Vec<UsageEntry> {
        self.shared.fleet().usage.clone()
    }

    /// Stops the platform for good.
    pub fn stop(&self) {
        self.server.stop();
    }
}

/// Ends lapsed leases until the platform is gone, so that waiting watches learn of it.
async fn expire_leases(shared: Weak<Shared>) {
    while let Some(s) = shared.upgrade() {
        s.memory.expire();
        drop(s);
        tokio::time::sleep(EXPIRY_TICK).await;
    }
}

async fn answer(shared: Arc<Shared>, call: Call) -> Response {
    let faults = shared.faults();
    *shared.counts.lock().expect("no panic while locked").entry(call.path.clone()).or_insert(0) +=
        1;
    tokio::time::sleep(faults.latency).await;
    let stored = call.path.starts_with("/store/");
    if if stored { faults.outage } else { faults.fleet_outage } {
        return server::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    if stored && !shared.within_rate(faults.rate_limit) {
        return server::empty(StatusCode::TOO_MANY_REQUESTS);
    }
    let reply = match stored {
        true => store::answer(&shared, &call).await,
        false => fleet::answer(&shared, &call),
    };
    let lost = faults.lose_orders && call.method == "POST" && call.path.starts_with("/fleet/");
    if lost || (call.method == "POST" && shared.lose_ack()) {
        return server::empty(StatusCode::INTERNAL_SERVER_ERROR);
    }
    reply
}
