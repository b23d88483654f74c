//! Follows and orders the endpoints of the fleet.
//!
//! Every instance follows the platform's list of endpoints, which are served in addition to the
//! declared ones. For each pool that takes orders, a few instances are candidates for a lease; its
//! holder decides on orders and releases. The decisions are made by [`agate_fleet`]; this module
//! only transfers data.

mod controller;
mod metrics;
mod pool;
mod round;
pub mod served_config;

use {
    crate::{mesh::Mesh, settings::Settings},
    agate_flow::proxy_state::ProxyState,
    agate_lease::Lease,
    agate_native::{fleet as platform, http::Http},
    agate_store::Store,
    agate_wire::Name,
    controller::PoolController,
    indexmap::IndexMap,
    metrics::FleetMetrics,
    rand::RngExt,
    served_config::ServedConfig,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        task::{AbortHandle, JoinHandle, JoinSet},
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Time between two reads of the platform's list of endpoints.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks for pools that take orders.
const POOLS_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time to release the leases at a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Tasks of an instance that follow and order endpoints.
pub struct Fleet {
    name: Name,
    region: String,
    proxy_state: Arc<ProxyState>,
    mesh: Arc<Mesh>,
    store: Store,
    http: Http,
    served: Arc<ServedConfig>,
    metrics: FleetMetrics,
    stopping: CancellationToken,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    /// Leases by pool, held or not.
    leases: Mutex<IndexMap<String, Lease>>,
}

impl Fleet {
    /// Starts to follow the platform's list, to serve other instances and to run for the leases of
    /// pools.
    pub fn spawn(
        settings: &Settings,
        store: Store,
        mesh: &Arc<Mesh>,
        served: Arc<ServedConfig>,
    ) -> Arc<Self> {
        let proxy_state = served.proxy_state().clone();
        let fleet = Arc::new(Self {
            name: settings.name.as_str().into(),
            region: settings.region.clone(),
            metrics: FleetMetrics::open(&proxy_state.metrics.registry),
            proxy_state,
            mesh: mesh.clone(),
            store,
            http: Http::open(settings.platform),
            served,
            stopping: CancellationToken::new(),
            tasks: Mutex::default(),
            leases: Mutex::default(),
        });
        let weak = Arc::downgrade(&fleet);
        mesh.serve_fleet(Arc::new(move |topic, bytes| {
            let fleet = weak.upgrade()?;
            round::serve(&fleet.proxy_state, &fleet.served, topic, bytes)
        }));
        let tasks = [
            tokio::spawn(follow_list(fleet.clone())),
            tokio::spawn(run_controllers(fleet.clone())),
        ];
        fleet.tasks.lock().expect("no panic while locked").extend(tasks);
        fleet
    }

    /// Whether this instance holds the lease of some pool.
    pub fn is_holder(&self) -> bool {
        let leases = self.leases.lock().expect("no panic while locked");
        leases.values().any(|l| l.may_act().is_some())
    }

    /// Stops ordering and releases the leases.
    pub async fn stop(&self) {
        self.stopping.cancel();
        let tasks = std::mem::take(&mut *self.tasks.lock().expect("no panic while locked"));
        for mut task in tasks {
            if timeout(STOP_TIMEOUT, &mut task).await.is_err() {
                task.abort();
            }
        }
    }

    /// Stops all tasks at once, as a crash would.
    pub fn halt(&self) {
        self.leases.lock().expect("no panic while locked").clear();
        self.tasks.lock().expect("no panic while locked").iter().for_each(JoinHandle::abort);
    }
}

/// Follows the platform's list of endpoints while some pool takes orders.
async fn follow_list(fleet: Arc<Fleet>) {
    while !fleet.stopping.is_cancelled() {
        if fleet.served.takes_orders() {
            match platform::list(&fleet.http).await {
                Ok(list) => fleet.served.update_list(list),
                // The last list stays in use.
                Err(e) => log::debug!("{e}"),
            }
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep_unless_stopping(&fleet, LIST_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Runs a controller for each pool that takes orders.
async fn run_controllers(fleet: Arc<Fleet>) {
    let mut running: IndexMap<String, AbortHandle> = IndexMap::new();
    let mut holders = JoinSet::new();
    while !fleet.stopping.is_cancelled() {
        while holders.try_join_next().is_some() {}
        running.retain(|_, task| !task.is_finished());
        let document = fleet.served.document();
        let ordering = document.fleet.pools.iter().filter(|(_, p)| p.orders.is_some());
        for (name, _) in ordering {
            if !running.contains_key(name)
                && let Some(holder) = PoolController::open(fleet.clone(), name.clone())
            {
                running.insert(name.clone(), holders.spawn(holder.run()));
            }
        }
        sleep_unless_stopping(&fleet, POOLS_INTERVAL).await;
    }
    holders.join_all().await;
}

async fn sleep_unless_stopping(fleet: &Fleet, time: Duration) {
    tokio::select! {
        () = sleep(time) => {}
        () = fleet.stopping.cancelled() => {}
    }
}
