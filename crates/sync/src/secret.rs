//! Secret that authenticates messages between instances, kept in the store.

use {
    agate_store::{Purpose, Store, era::Era},
    agate_wire::Keys,
    arc_swap::{ArcSwap, Guard},
    std::{sync::Arc, time::Duration},
    tokio::{
        task::JoinHandle,
        time::{interval, sleep},
    },
};

/// Store key of the secret.
const KEY: &str = "agate/secret";
/// Length of the secret in bytes.
const LENGTH: usize = 32;
/// Minimum delay between two reads of the secret.
const RETRY: Duration = Duration::from_millis(100);
/// Upper bound of the random delay added to it; many times as long as a write takes.
const JITTER: Duration = Duration::from_millis(500);
/// Time between two checks whether the store came back from an older copy.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Keys derived from the stored secret. The secret changes only if the store came back from a copy
/// that is older than it and another instance wrote its own first.
pub struct SharedKeys {
    keys: Arc<ArcSwap<Keys>>,
    task: JoinHandle<()>,
}

impl Drop for SharedKeys {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SharedKeys {
    /// Reads the secret, with retries until that succeeds; the first instance creates it.
    pub async fn open(store: Store) -> Self {
        let (secret, keys) = fetch(&store).await;
        let era = store.era();
        let keys = Arc::new(ArcSwap::from_pointee(keys));
        let task = tokio::spawn(restore(store, era, secret, keys.clone()));
        Self { keys, task }
    }

    /// The present keys.
    pub fn load(&self) -> Guard<Arc<Keys>> {
        self.keys.load()
    }
}

/// A stale read is enough, since the secret does not change within an era.
async fn fetch(store: &Store) -> (Vec<u8>, Keys) {
    let mut waited = false;
    loop {
        let own = waited.then(|| rand::random::<[u8; LENGTH]>().to_vec());
        if let Some(secret) = read_or_create(store, own).await
            && let Some(keys) = derive(&secret)
        {
            return (secret, keys);
        }
        // Instances that start together wait for different times, so that one writes and the others
        // read.
        sleep(RETRY + JITTER.mul_f64(rand::random())).await;
        waited = true;
    }
}

fn derive(secret: &[u8]) -> Option<Keys> {
    let keys = Keys::new(&[secret]);
    if let Err(e) = &keys {
        log::error!(event = "secret_refused", cause:% = e; "the shared secret of the instances is invalid");
    }
    keys.ok()
}

/// Reads the secret, and writes `own` if there is none. Returns the stored one, or `None` if there
/// is none or the store fails.
async fn read_or_create(store: &Store, own: Option<Vec<u8>>) -> Option<Vec<u8>> {
    let result = match (store.get_stale(Purpose::Config, KEY).await, own) {
        (Ok(None), Some(own)) => {
            let written = store.swap(Purpose::Lease, KEY, 0, own.clone()).await;
            written.map(|r| r.map_or_else(|found| found.map(|r| r.value), |_| Some(own)))
        }
        (found, _) => found.map(|found| found.map(|r| r.value)),
    };
    result.unwrap_or_else(|e| {
        log::debug!("failed to read or write the shared secret: {e}");
        None
    })
}

/// Writes the secret again whenever the store came back from a copy without it; never returns.
async fn restore(store: Store, mut era: Era, mut secret: Vec<u8>, keys: Arc<ArcSwap<Keys>>) {
    let mut checks = interval(CHECK_INTERVAL);
    loop {
        checks.tick().await;
        let newest = store.era();
        if newest == era {
            continue;
        }
        let own = Some(secret.clone());
        let Some(stored) = read_or_create(&store, own).await else { continue };
        if stored != secret {
            let Some(derived) = derive(&stored) else { continue };
            log::warn!(event = "secret_changed"; "another instance wrote a new shared secret");
            keys.store(Arc::new(derived));
            secret = stored;
        }
        era = newest;
    }
}
