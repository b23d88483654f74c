//! The fleet of a running instance.
//!
//! Every instance follows the platform's list of endpoints, which serve beside the declared ones. For
//! each pool that takes orders a few instances stand for a lease; its holder decides on orders and
//! releases. [`agate_fleet`] decides; this module only moves data.

mod holder;
mod meter;
mod pool;
mod round;
pub mod serving;

use {
    crate::{mesh::Mesh, settings::Settings},
    agate_flow::gate::Gate,
    agate_lease::Lease,
    agate_native::{fleet as platform, http::Http},
    agate_store::Store,
    agate_wire::Name,
    holder::Holder,
    indexmap::IndexMap,
    meter::Meter,
    rand::RngExt,
    serving::Serving,
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
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two looks for pools that take orders.
const POOLS_PERIOD: Duration = Duration::from_secs(1);
/// Longest time for freeing the leases at a graceful stop.
const STOP_LIMIT: Duration = Duration::from_secs(3);

/// The fleet of one instance.
pub struct Fleet {
    name: Name,
    region: String,
    gate: Arc<Gate>,
    mesh: Arc<Mesh>,
    store: Store,
    http: Http,
    serving: Arc<Serving>,
    meter: Meter,
    stopping: CancellationToken,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    /// Leases of the pools, of which some may be held.
    leases: Mutex<IndexMap<String, Lease>>,
}

impl Fleet {
    /// Follows the platform's list, answers other instances and stands for the pools' leases.
    pub fn spawn(
        settings: &Settings,
        store: Store,
        mesh: &Arc<Mesh>,
        serving: Arc<Serving>,
    ) -> Arc<Self> {
        let gate = serving.gate().clone();
        let fleet = Arc::new(Self {
            name: settings.name.as_str().into(),
            region: settings.region.clone(),
            meter: Meter::open(&gate.meter.registry),
            gate,
            mesh: mesh.clone(),
            store,
            http: Http::open(settings.platform),
            serving,
            stopping: CancellationToken::new(),
            tasks: Mutex::default(),
            leases: Mutex::default(),
        });
        let weak = Arc::downgrade(&fleet);
        mesh.serve_fleet(Arc::new(move |topic, bytes| {
            let fleet = weak.upgrade()?;
            round::serve(&fleet.gate, &fleet.serving, topic, bytes)
        }));
        let tasks = [tokio::spawn(follow(fleet.clone())), tokio::spawn(hold(fleet.clone()))];
        fleet.tasks.lock().expect("no panic while locked").extend(tasks);
        fleet
    }

    /// Whether this instance may act for some pool.
    pub fn is_holder(&self) -> bool {
        let leases = self.leases.lock().expect("no panic while locked");
        leases.values().any(|l| l.may_act().is_some())
    }

    /// Stops ordering and frees the leases.
    pub async fn stop(&self) {
        self.stopping.cancel();
        let tasks = std::mem::take(&mut *self.tasks.lock().expect("no panic while locked"));
        for mut task in tasks {
            if timeout(STOP_LIMIT, &mut task).await.is_err() {
                task.abort();
            }
        }
    }

    /// Ends all work at once, as a crash would.
    pub fn halt(&self) {
        self.leases.lock().expect("no panic while locked").clear();
        self.tasks.lock().expect("no panic while locked").iter().for_each(JoinHandle::abort);
    }
}

/// Follows the platform's list of endpoints while any pool takes orders.
async fn follow(fleet: Arc<Fleet>) {
    while !fleet.stopping.is_cancelled() {
        if fleet.serving.takes_orders() {
            match platform::list(&fleet.http).await {
                Ok(list) => fleet.serving.take(list),
                // An old list is better than none.
                Err(e) => log::debug!("{e}"),
            }
        }
        let spread = rand::rng().random_range(0.8..1.2);
        pause(&fleet, LIST_PERIOD.mul_f64(spread)).await;
    }
}

/// Runs a holder for each pool that takes orders.
async fn hold(fleet: Arc<Fleet>) {
    let mut running: IndexMap<String, AbortHandle> = IndexMap::new();
    let mut holders = JoinSet::new();
    while !fleet.stopping.is_cancelled() {
        while holders.try_join_next().is_some() {}
        running.retain(|_, task| !task.is_finished());
        let document = fleet.serving.document();
        let ordering = document.fleet.pools.iter().filter(|(_, p)| p.orders.is_some());
        for (name, _) in ordering {
            if !running.contains_key(name)
                && let Some(holder) = Holder::open(fleet.clone(), name.clone())
            {
                running.insert(name.clone(), holders.spawn(holder.run()));
            }
        }
        pause(&fleet, POOLS_PERIOD).await;
    }
    holders.join_all().await;
}

async fn pause(fleet: &Fleet, time: Duration) {
    tokio::select! {
        () = sleep(time) => {}
        () = fleet.stopping.cancelled() => {}
    }
}
