//! How ordered endpoints come to life, leave and end.

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

/// Starts an endpoint by name for an order; none if it could not be started.
type Start = dyn Fn(&str, &FleetOrder) -> BoxFuture<'static, Option<SocketAddr>> + Send + Sync;
/// Ends an endpoint by name.
type End = dyn Fn(&str) + Send + Sync;

/// What stands behind the fleet.
#[derive(Clone)]
pub struct Supply {
    /// Time from an order to its endpoints.
    pub lag: Duration,
    /// Starts an endpoint.
    pub start: Arc<Start>,
    /// Ends an endpoint that was released or reclaimed.
    pub end: Arc<End>,
}

impl Platform {
    /// Sets what brings ordered endpoints to life; without it, orders are counted only.
    pub fn supply(&self, supply: Supply) {
        self.shared.fleet().supply = Some(supply);
    }

    /// Announces that the cheap endpoints of an availability zone leave, and takes them away when
    /// the notice ends; returns their names.
    pub fn reclaim(&self, zone: &str, notice: Duration) -> Vec<String> {
        let end = Instant::now() + notice;
        let names = self.shared.fleet().announce(zone, end);
        let (shared, taken) = (self.shared.clone(), names.clone());
        tokio::spawn(async move {
            sleep(notice).await;
            taken.iter().for_each(|name| shared.take_away(name));
        });
        names
    }
}

impl Shared {
    /// Brings an order's endpoints to life after the lag.
    pub(super) fn deliver(self: &Arc<Self>, id: String, order: FleetOrder) {
        let Some(supply) = self.fleet().supply.clone() else { return };
        let shared = self.clone();
        tokio::spawn(async move {
            sleep(supply.lag + shared.faults().late).await;
            for i in 0..order.count {
                let name = format!("{id}-{i}");
                let Some(address) = (supply.start)(&name, &order).await else { continue };
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

    /// Takes an endpoint off the list and ends it.
    pub(super) fn take_away(&self, name: &str) {
        let supply = {
            let mut fleet = self.fleet();
            fleet.remove(name);
            fleet.supply.clone()
        };
        if let Some(supply) = supply {
            (supply.end)(name);
        }
    }
}
