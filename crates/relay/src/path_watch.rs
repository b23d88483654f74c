//! Checks the paths to endpoints that have fallen silent, and those that are broken.

use {
    crate::{endpoint::Endpoint, proxy_state::ProxyState},
    agate_path::decision::{Change, MAX_SILENCE},
    agate_transport::link::Way,
    std::{
        sync::{Arc, atomic::Ordering::Relaxed},
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{MissedTickBehavior, interval},
    },
};

/// Time between two looks at all endpoints.
const INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of checks at once; others follow at the next look.
const MAX_CHECKS: usize = 64;

/// Watches the paths of the instance; never returns.
pub async fn watch(state: Arc<ProxyState>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checks = JoinSet::new();
    loop {
        ticks.tick().await;
        while checks.try_join_next().is_some() {}
        let services = state.fleet.services().clone();
        for endpoint in services.values().flatten() {
            if checks.len() >= MAX_CHECKS {
                break;
            }
            let open = endpoint.stats.open.load(Relaxed) > 0;
            let silence = open.then(|| endpoint.pool.silence());
            if endpoint.path.begin_check(silence) {
                checks.spawn(check(endpoint.clone(), silence.is_some_and(|s| s >= MAX_SILENCE)));
            }
        }
    }
}

/// Checks the path to an endpoint, which may be `silent` although it has open requests.
async fn check(endpoint: Arc<Endpoint>, silent: bool) {
    let begun = Instant::now();
    let checked = endpoint.path.check().await;
    let Some(connection) = checked.connection else { return };
    if connection.way != Way::Direct && (silent || checked.change == Some(Change::Broken)) {
        let closed = endpoint.pool.cut(begun);
        log::info!(
            event = "connections_cut", endpoint = &*endpoint.entry.name, closed,
            open = endpoint.stats.open.load(Relaxed);
            "retired the connections to an endpoint that only another instance reaches"
        );
    }
    if checked.change == Some(Change::Restored) {
        endpoint.pool.retire_relayed();
    }
    if checked.change.is_some() {
        endpoint.clear_failures();
    }
    endpoint.pool.put(connection);
}
