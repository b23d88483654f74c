//! Starts and stops the endpoints of the fleet.

use {
    super::{FleetEndpoint, FleetOrder, Platform, Shared},
    futures_util::future::BoxFuture,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Starts the endpoint with the given name for an order. Returns its address, or `None` on failure.
type Start = dyn Fn(&str, &FleetOrder) -> BoxFuture<'static, Option<SocketAddr>> + Send + Sync;
/// Stops the endpoint with the given name.
type End = dyn Fn(&str) + Send + Sync;

/// Starts and stops endpoints on behalf of the fleet.
#[derive(Clone)]
pub struct Provisioner {
    /// Time from an order to the start of its endpoints.
    pub lag: Duration,
    /// Starts an endpoint for an order.
    pub start: Arc<Start>,
    /// Stops an endpoint that was released or reclaimed.
    pub end: Arc<End>,
}

impl Platform {
    /// Sets how ordered endpoints are started and stopped. Without it, orders are only recorded.
    pub fn set_provisioner(&self, provisioner: Provisioner) {
        self.shared.fleet().provisioner = Some(provisioner);
    }

    /// Marks the `cheap` endpoints of an availability zone as leaving, and removes and stops them
    /// after `notice`. Returns their names.
    pub fn reclaim(&self, zone: &str, notice: Duration) -> Vec<String> {
        let end = Instant::now() + notice;
        let names = self.shared.fleet().mark_leaving(zone, end);
        let (shared, leaving) = (self.shared.clone(), names.clone());
        tokio::spawn(async move {
            sleep(notice).await;
            leaving.iter().for_each(|name| shared.remove_endpoint(name));
        });
        names
    }
}

impl Shared {
    /// Starts the endpoints of an order after the lag.
    pub(super) fn provision(self: &Arc<Self>, id: String, order: FleetOrder) {
        let Some(provisioner) = self.fleet().provisioner.clone() else { return };
        let shared = self.clone();
        tokio::spawn(async move {
            sleep(provisioner.lag + shared.faults().order_delay).await;
            for i in 0..order.count {
                let name = format!("{id}-{i}");
                let Some(address) = (provisioner.start)(&name, &order).await else { continue };
                let endpoint = FleetEndpoint {
                    name,
                    zone: order.zone.clone(),
                    pool: order.pool.clone(),
                    kind: order.kind.clone(),
                    address,
                    state: "live".into(),
                    leaving_ms: None,
                };
                shared.fleet().add(endpoint);
            }
        });
    }

    /// Removes an endpoint from the list and stops it.
    pub(super) fn remove_endpoint(&self, name: &str) {
        let provisioner = {
            let mut fleet = self.fleet();
            fleet.remove(name);
            fleet.provisioner.clone()
        };
        if let Some(provisioner) = provisioner {
            (provisioner.end)(name);
        }
    }
}
