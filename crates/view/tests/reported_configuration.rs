//! Store reads of an instance to which another one reports a new configuration.

use {
    agate_store::{Call, Error, Freshness, Item, Page, Record, Store, StoreResponse},
    agate_task::Supervisor,
    agate_view::{
        LocalView, clock,
        follow::{self, Followers, RefreshIntervals, StoreLayout},
        peers::Peer,
        table::Parts,
    },
    rstest::rstest,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

const KEY: &str = "config";

/// Store whose stale reads may lag behind, and that counts reads.
#[derive(Default)]
struct Fake {
    /// Newest revision of the configuration, zero for none.
    newest: AtomicU64,
    /// Revision that stale reads show.
    shown: AtomicU64,
    /// Version of the configuration; its revision if `None`.
    text: Mutex<Option<u64>>,
    linearizable: AtomicU64,
    stale: AtomicU64,
    /// Whether reads of the configuration are refused, and how many were.
    refusing: AtomicBool,
    refused: AtomicU64,
}

impl Fake {
    fn put(&self, newest: u64, shown: u64) {
        self.newest.store(newest, SeqCst);
        self.shown.store(shown, SeqCst);
    }

    fn respond(&self, call: &Call) -> StoreResponse {
        let version = *self.text.lock().expect("not poisoned");
        let record = |revision: u64| Record {
            value: version.unwrap_or(revision).to_string().into(),
            revision,
        };
        match call {
            Call::Get { key } if key == KEY => {
                self.linearizable.fetch_add(1, SeqCst);
                StoreResponse::Value(Some(record(self.newest.load(SeqCst))))
            }
            Call::Range { prefix, freshness: Freshness::Stale, .. } if prefix == KEY => {
                self.stale.fetch_add(1, SeqCst);
                let shown = Some(self.shown.load(SeqCst)).filter(|r| *r > 0);
                let item = |r| Item { key: KEY.into(), record: record(r) };
                StoreResponse::Page(Page {
                    items: shown.map(item).into_iter().collect(),
                    truncated: false,
                })
            }
            Call::Grant { .. } => StoreResponse::Granted(1),
            Call::Swap { .. } => StoreResponse::Swapped(1),
            Call::Renew { .. } => StoreResponse::Done,
            _ => StoreResponse::Page(Page { items: Vec::new(), truncated: false }),
        }
    }
}

fn read_config(bytes: &[u8]) -> Result<Parts, String> {
    let version = String::from_utf8_lossy(bytes).parse().map_err(|e| format!("{e}"))?;
    Ok(Parts { version, ..Parts::default() })
}

/// Instance that reads only when a newer version is reported, never because its view is old.
fn follow(fake: &Arc<Fake>, view: &Arc<LocalView>) -> Followers {
    let (fake, never) = (fake.clone(), Duration::from_secs(3_600));
    let store = Store::new(move |_, call| {
        let config = matches!(&call, Call::Get { key } if key == KEY)
            || matches!(&call, Call::Range { prefix, .. } if prefix == KEY);
        if config && fake.refusing.load(SeqCst) {
            fake.refused.fetch_add(1, SeqCst);
            let e = Error::Limited { step: "get", peer: "fake".into() };
            return Box::pin(async move { Err(e) });
        }
        let response = fake.respond(&call);
        Box::pin(async move { Ok(response) })
    });
    let source =
        StoreLayout { config: KEY, entries: "entries/", read_config, read_entry: |_, _| None };
    let config = Duration::from_millis(1);
    let intervals = RefreshIntervals {
        config,
        entries: never,
        propagation: never,
        peers: never,
        record_ttl: never,
    };
    let address = "127.0.0.1:1".parse().expect("an address");
    let own = Peer { name: "own".into(), zone: "a".into(), address, weight: 1 };
    follow::spawn(store, source, intervals, own, view.clone(), &Supervisor::default())
}

async fn until(condition: impl Fn() -> bool) {
    for _ in 0..5_000 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(2)).await;
    }
    panic!("the condition did not come true");
}

/// Version in force; zero for none.
fn version(view: &LocalView) -> u64 {
    view.table.load().as_ref().map_or(0, |t| t.version)
}

/// A reported configuration costs one stale read. A linearizable read follows only if that one
/// shows an older version.
#[rstest]
#[case(8, 1)]
#[case(5, 2)]
#[tokio::test]
async fn reported_version(#[case] shown: u64, #[case] linearizable: u64) {
    let (fake, view) = (Arc::<Fake>::default(), LocalView::new());
    fake.put(5, 5);
    let _followers = follow(&fake, &view);
    until(|| version(&view) == 5 && view.config.age().is_some()).await;
    let stale = fake.stale.load(SeqCst);
    fake.put(8, shown);
    view.confirm_config(8, clock::now());
    until(|| version(&view) == 8).await;
    assert_eq!(
        (fake.linearizable.load(SeqCst), fake.stale.load(SeqCst) - stale),
        (linearizable, 1)
    );
}

/// A stale read must not confirm the configuration.
#[tokio::test]
async fn unconfirmed_read() {
    let (fake, view) = (Arc::<Fake>::default(), LocalView::new());
    fake.put(5, 5);
    let _followers = follow(&fake, &view);
    until(|| version(&view) == 5 && view.config.age().is_some()).await;
    sleep(Duration::from_millis(50)).await;
    fake.put(8, 8);
    let reported = clock::now();
    view.confirm_config(8, reported);
    until(|| version(&view) == 8).await;
    let age = view.config.age().expect("the confirmation of the first read");
    assert!(age > clock::now().saturating_sub(reported), "{age:?}");
    view.confirm_config(8, reported);
    assert!(view.config.age().is_some_and(|a| a < age + Duration::from_millis(1)));
}

/// Before there is a configuration only stale reads are made.
#[tokio::test]
async fn missing_configuration() {
    let (fake, view) = (Arc::<Fake>::default(), LocalView::new());
    let _followers = follow(&fake, &view);
    until(|| fake.stale.load(SeqCst) >= 2).await;
    assert_eq!(fake.linearizable.load(SeqCst), 0);
    fake.put(5, 5);
    until(|| version(&view) == 5).await;
    assert_eq!(fake.linearizable.load(SeqCst), 1);
}

/// While the store refuses calls, an instance with a coordinator retries less often than one
/// without.
#[rstest]
#[case(true, 3)]
#[case(false, 5)]
#[tokio::test(start_paused = true)]
async fn refused_reads(#[case] responsive: bool, #[case] most: u64) {
    let (fake, view) = (Arc::<Fake>::default(), LocalView::new());
    fake.refusing.store(true, SeqCst);
    view.set_coordination(false, responsive);
    let _followers = follow(&fake, &view);
    // The first retries follow at shorter delays.
    sleep(Duration::from_secs(5)).await;
    let before = fake.refused.load(SeqCst);
    sleep(Duration::from_secs(3)).await;
    let attempts = fake.refused.load(SeqCst) - before;
    assert!((1..=most).contains(&attempts), "{attempts} attempts in three seconds");
}

/// A configuration that is older than the one in force is neither put in force nor confirms that one,
/// also if it has a higher revision. The next version is put in force, also if it has the revision of
/// an earlier one.
#[rstest]
#[case(9, 4)]
#[case(3, 8)]
#[tokio::test]
async fn older_version(#[case] older: u64, #[case] next: u64) {
    let (fake, view) = (Arc::<Fake>::default(), LocalView::new());
    fake.put(8, 8);
    let _followers = follow(&fake, &view);
    until(|| version(&view) == 8 && view.config.age().is_some()).await;
    *fake.text.lock().expect("not poisoned") = Some(7);
    fake.put(older, older);
    view.config.revoke();
    let reads = fake.linearizable.load(SeqCst);
    view.config.request_refresh();
    until(|| fake.linearizable.load(SeqCst) > reads + 3).await;
    assert_eq!((version(&view), view.config.age()), (8, None));
    *fake.text.lock().expect("not poisoned") = Some(10);
    fake.put(next, next);
    until(|| version(&view) == 10 && view.config.age().is_some()).await;
}

/// An instance does not confirm a configuration that is older than the one of another instance.
#[tokio::test]
async fn version_of_others() {
    let (fake, view) = (Arc::<Fake>::default(), LocalView::new());
    fake.put(5, 5);
    let _followers = follow(&fake, &view);
    until(|| version(&view) == 5 && view.config.age().is_some()).await;
    view.report_version(6);
    until(|| view.config.age().is_none()).await;
    fake.put(6, 6);
    until(|| version(&view) == 6 && view.config.age().is_some()).await;
}
