//! Endpoints and pools added to the configuration under load.

mod support;

use {
    agate_cli::configs::edit,
    agate_config::{Document, publish, section::Section},
    indexmap::IndexMap,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
    },
    support::{start, wait_until},
};

/// Number of changes, each of which adds a pool with one endpoint.
const CHANGES: usize = 25;

/// Adds a pool with one endpoint that receives no requests.
fn add_pool(document: &mut Document, number: usize) {
    let (_, endpoint) = document.fleet.endpoints.first().expect("there are some");
    let mut endpoint = endpoint.clone();
    endpoint.address = ([127, 0, 0, 2], 1 + number as u16).into();
    let pool = document.fleet.pools[&endpoint.pool].clone();
    endpoint.pool = format!("pool-{number}");
    document.fleet.pools.insert(endpoint.pool.clone(), pool);
    document.fleet.endpoints.insert(format!("added-{number}"), endpoint);
}

/// Periodic tasks that read the configuration and the endpoint tables while both are replaced must
/// find every endpoint and pool.
#[tokio::test]
async fn concurrent_additions() {
    let demo = start(1, |_| {}).await;
    let proxy_state = demo.instances[0].proxy_state.clone();
    let stop: Arc<AtomicBool> = Arc::default();
    let reader = {
        let (proxy_state, stop) = (proxy_state.clone(), stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                proxy_state.outstanding(16);
                proxy_state.apply_peer_counts(&IndexMap::new(), 1);
                proxy_state.set_leaving(["added-1".to_owned()].into());
            }
        })
    };
    let store = agate_native::store::open(demo.platform.address());
    let mut document = demo.document.clone();
    for number in 0..CHANGES {
        add_pool(&mut document, number);
        let change = edit("test", document.clone(), vec![Section::Fleet]);
        let generation = publish::apply(&store, &change).await.expect("accepted").generation;
        let known = || proxy_state.current.generation() >= generation || reader.is_finished();
        wait_until("the change is in force", known).await;
    }
    stop.store(true, Ordering::SeqCst);
    reader.join().expect("readers find every endpoint and pool that they know of");
}
