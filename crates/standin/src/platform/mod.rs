//! Stand-in for the platform: key-value store, fleet, usage reports and list of instances.
//!
//! Faults apply to the key-value store and, where applicable, to the other interfaces. A request
//! during an outage or above the rate limit has no effect. A request whose acknowledgement is lost
//! takes effect and gets a 500.

mod fleet;
mod provisioning;
mod store;

pub use fleet::{FleetEndpoint, FleetOrder, Instance, UsageEntry};
pub use provisioning::Provisioner;

use {
    crate::server::{self, HttpRequest},
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

/// Interval between two checks for expired leases.
const EXPIRY_TICK: Duration = Duration::from_millis(20);

/// Faults of a platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// The key-value store responds with 503 to all requests.
    pub outage: bool,
    /// The fleet, usage and instance interfaces respond with 503 to all requests.
    pub fleet_outage: bool,
    /// Delay of each request before it takes effect.
    pub latency: Duration,
    /// Number of further POST requests that take effect but get a 500.
    pub lose_acks: u32,
    /// Maximum number of requests to the key-value store per second; further ones get a 429. Zero
    /// means no limit.
    pub rate_limit: u32,
    /// Age of the lists of endpoints and instances that are served.
    pub list_lag: Duration,
    /// Refuses orders for endpoints of the `cheap` kind.
    pub no_cheap: bool,
    /// Orders and releases take effect but get a 500.
    pub lose_orders: bool,
    /// Added to [`Provisioner::lag`], the time from an order to the start of its endpoints.
    pub order_delay: Duration,
}

pub(crate) struct Shared {
    store: Store,
    memory: Memory,
    fleet: Mutex<Fleet>,
    faults: Mutex<PlatformFaults>,
    counts: Mutex<IndexMap<String, u64>>,
    rate_window: Mutex<(Instant, u32)>,
}

impl Shared {
    pub(crate) fn faults(&self) -> PlatformFaults {
        self.faults.lock().expect("not poisoned").clone()
    }

    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("not poisoned")
    }

    /// Counts a request; returns false if it exceeds the rate limit.
    fn within_rate(&self, limit: u32) -> bool {
        let mut rate_window = self.rate_window.lock().expect("not poisoned");
        if rate_window.0.elapsed() >= Duration::from_secs(1) {
            *rate_window = (Instant::now(), 0);
        }
        rate_window.1 += 1;
        limit == 0 || rate_window.1 <= limit
    }

    /// Whether the acknowledgement of the current request is to be lost; decrements `lose_acks`.
    fn lose_ack(&self) -> bool {
        let mut f = self.faults.lock().expect("not poisoned");
        let lose = f.lose_acks > 0;
        f.lose_acks = f.lose_acks.saturating_sub(1);
        lose
    }
}

/// Handle of a running platform; clones refer to the same platform.
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
    /// Starts a platform on `address`; port 0 selects an ephemeral port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn bind(address: SocketAddr) -> crate::Result<Platform> {
        let start = Instant::now();
        let memory = Memory::open(move || start.elapsed());
        let shared = Arc::new(Shared {
            store: memory.store(),
            memory,
            fleet: Mutex::default(),
            faults: Mutex::default(),
            counts: Mutex::default(),
            rate_window: Mutex::new((Instant::now(), 0)),
        });
        tokio::spawn(expire_leases(Arc::downgrade(&shared)));
        let handler_shared = shared.clone();
        let server = server::serve(address, move |req| handle(handler_shared.clone(), req)).await?;
        Ok(Platform { shared, server: Arc::new(server) })
    }

    /// Address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Direct access to the key-value store, without HTTP and faults.
    pub fn store(&self) -> Store {
        self.shared.store.clone()
    }

    /// Changes the active faults.
    pub fn set(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.faults.lock().expect("not poisoned"));
    }

    /// Number of requests received, by path.
    pub fn counts(&self) -> IndexMap<String, u64> {
        self.shared.counts.lock().expect("not poisoned").clone()
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.shared.fleet().set_instances(instances);
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&self, endpoints: Vec<FleetEndpoint>) {
        self.shared.fleet().set_endpoints(endpoints);
    }

    /// All orders that the fleet accepted, in order of arrival.
    pub fn orders(&self) -> Vec<FleetOrder> {
        self.shared.fleet().orders.clone()
    }

    /// Names of all released endpoints, in order of release.
    pub fn releases(&self) -> Vec<String> {
        self.shared.fleet().releases.clone()
    }

    /// All usage reports received, in order of arrival, including conflicting ones.
    pub fn usage(&self) -> Vec<UsageEntry> {
        self.shared.fleet().usage.clone()
    }

    /// Stops the platform permanently.
    pub fn stop(&self) {
        self.server.stop();
    }
}

/// Removes expired leases periodically until the platform is dropped, so that pending watches are
/// notified.
async fn expire_leases(shared: Weak<Shared>) {
    while let Some(s) = shared.upgrade() {
        s.memory.expire();
        drop(s);
        tokio::time::sleep(EXPIRY_TICK).await;
    }
}

async fn handle(shared: Arc<Shared>, req: HttpRequest) -> Response {
    let faults = shared.faults();
    *shared.counts.lock().expect("not poisoned").entry(req.path.clone()).or_insert(0) += 1;
    tokio::time::sleep(faults.latency).await;
    let is_store = req.path.starts_with("/store/");
    if if is_store { faults.outage } else { faults.fleet_outage } {
        return server::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    if is_store && !shared.within_rate(faults.rate_limit) {
        return server::empty(StatusCode::TOO_MANY_REQUESTS);
    }
    let response = match is_store {
        true => store::handle(&shared, &req).await,
        false => fleet::handle(&shared, &req),
    };
    let lost = faults.lose_orders && req.method == "POST" && req.path.starts_with("/fleet/");
    if lost || (req.method == "POST" && shared.lose_ack()) {
        return server::empty(StatusCode::INTERNAL_SERVER_ERROR);
    }
    response
}
