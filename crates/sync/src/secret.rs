//! Secret that authenticates messages between instances, kept in the store.

use {
    agate_store::{Purpose, Store},
    agate_wire::Keys,
    arc_swap::ArcSwapOption,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
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
#[derive(Debug)]
pub struct SharedKeys {
    keys: Arc<ArcSwapOption<Keys>>,
    ready: watch::Receiver<bool>,
    task: JoinHandle<()>,
}

impl Drop for SharedKeys {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SharedKeys {
    /// Begins to read the secret, with retries until that succeeds; the first instance creates it.
    pub fn open(store: Store) -> Arc<Self> {
        let keys = Arc::<ArcSwapOption<Keys>>::default();
        let (loaded, ready) = watch::channel(false);
        let shared = keys.clone();
        let task = tokio::spawn(async move {
            let (secret, derived) = fetch(&store).await;
            shared.store(Some(Arc::new(derived)));
            loaded.send_replace(true);
            restore(&store, secret, &shared).await;
        });
        Arc::new(Self { keys, ready, task })
    }

    /// The present keys; `None` until the secret was read.
    pub fn load(&self) -> Option<Arc<Keys>> {
        self.keys.load_full()
    }

    /// Waits until the secret was read.
    pub async fn wait_loaded(&self) {
        let mut ready = self.ready.clone();
        if ready.wait_for(|loaded| *loaded).await.is_err() {
            log::error!(event = "secret_task_ended"; "the task that follows the shared secret has ended");
        }
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
async fn restore(store: &Store, mut secret: Vec<u8>, keys: &ArcSwapOption<Keys>) {
    let mut era = store.era();
    let mut checks = interval(CHECK_INTERVAL);
    loop {
        checks.tick().await;
        let newest = store.era();
        if newest == era {
            continue;
        }
        let own = Some(secret.clone());
        let Some(stored) = read_or_create(store, own).await else { continue };
        if stored != secret {
            let Some(derived) = derive(&stored) else { continue };
            log::warn!(event = "secret_changed"; "another instance wrote a new shared secret");
            keys.store(Some(Arc::new(derived)));
            secret = stored;
        }
        era = newest;
    }
}
