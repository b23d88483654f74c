//! Numbers that a service gives out again after it has come back from an older copy.

use {
    agate_store::{
        Call, Error, Purpose, Revision, Store, StoreResponse,
        era::{self, Era},
        model::Model,
    },
    proptest::prelude::*,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// A service that can come back from a copy.
#[derive(Default)]
struct Service {
    model: Model,
    era: Era,
    /// Comes back from this copy before the next call, whose sender does not know it.
    returning: Option<Model>,
    calls: u64,
}

fn open() -> (Arc<Mutex<Service>>, Store) {
    let service = Arc::new(Mutex::new(Service { era: 1, ..Service::default() }));
    let own = service.clone();
    let store = era::open(move |_, call| {
        let mut service = own.lock().expect("not poisoned");
        service.calls += 1;
        if let Some(model) = service.returning.take() {
            service.model = model;
            service.era += 1;
        }
        let response = service.model.apply(&call, Duration::ZERO).expect("small values");
        let era = service.era;
        Box::pin(async move { (Some(era), Ok(response)) })
    });
    (service, store)
}

fn come_back(service: &Mutex<Service>, copy: &Model) {
    let mut service = service.lock().expect("not poisoned");
    service.model = copy.clone();
    service.era += 1;
}

fn copy(service: &Mutex<Service>) -> Model {
    service.lock().expect("not poisoned").model.clone()
}

async fn put(store: &Store, key: &str, expect: Revision) -> Result<Revision, Revision> {
    let swapped = store.swap(Purpose::Record, key, expect, vec![1]).await.expect("an answer");
    swapped.map_err(|found| found.map_or(0, |r| r.revision))
}

/// A write on a revision of an earlier era fails, although its number was given out again.
#[tokio::test]
async fn outdated_expectation() {
    let (service, store) = open();
    let empty = copy(&service);
    let first = put(&store, "a", 0).await.expect("written");
    come_back(&service, &empty);
    let again = put(&store, "a", 0).await.expect("written");
    assert!(again > first, "{again} after {first}");
    assert_eq!(put(&store, "a", first).await, Err(again));
    assert!(put(&store, "a", again).await.is_ok());
}

/// A key that is absent in the present era can be expected to be absent.
#[tokio::test]
async fn absent_key() {
    let (service, store) = open();
    let empty = copy(&service);
    put(&store, "a", 0).await.expect("written");
    come_back(&service, &empty);
    assert_eq!(store.get(Purpose::Record, "a").await, Ok(None));
    assert!(put(&store, "a", era::floor(store.era())).await.is_ok());
}

/// A write that meets the expected number by coincidence has an unknown outcome.
#[tokio::test]
async fn crossed_write() {
    let (service, store) = open();
    let empty = copy(&service);
    let known = put(&store, "a", 0).await.expect("written");
    service.lock().expect("not poisoned").returning = Some({
        let mut model = empty;
        let call = Call::Swap { key: "a".into(), expect: 0, value: Some(vec![2]), lease: None };
        model.apply(&call, Duration::ZERO).expect("a write");
        model
    });
    let crossed = store.swap(Purpose::Record, "a", known, vec![1]).await;
    assert!(matches!(crossed, Err(Error::Ambiguous { .. })), "{crossed:?}");
}

/// A lease of an earlier era has ended, although its number was given out again.
#[tokio::test]
async fn outdated_lease() {
    let (service, store) = open();
    let empty = copy(&service);
    let grant = Call::Grant { ttl: Duration::from_secs(1) };
    let granted = store.call(Purpose::Lease, grant.clone()).await;
    let Ok(StoreResponse::Granted(lease)) = granted else { panic!("{granted:?}") };
    come_back(&service, &empty);
    // Another instance is granted the lease with that number.
    service.lock().expect("not poisoned").model.apply(&grant, Duration::ZERO).expect("granted");
    assert_eq!(store.get(Purpose::Record, "a").await, Ok(None));
    let renewed = store.call(Purpose::Lease, Call::Renew { lease }).await;
    assert_eq!(renewed, Ok(StoreResponse::LeaseGone));
}

/// Guards against numbers that are cut: a service may give out any 64-bit ones.
#[tokio::test]
async fn large_numbers() {
    for era in [None, Some(0), Some(3)] {
        let large = u64::MAX / 2;
        let store = era::open(move |_, call| {
            let response = match call {
                Call::Grant { .. } => StoreResponse::Granted(large),
                Call::Swap { expect, lease, .. } if expect == 0 && lease == Some(large) => {
                    StoreResponse::Swapped(large)
                }
                Call::Swap { expect, .. } if expect == large => StoreResponse::Swapped(large + 1),
                Call::Renew { lease } if lease == large => StoreResponse::Done,
                _ => StoreResponse::LeaseGone,
            };
            Box::pin(async move { (era, Ok(response)) })
        });
        let grant = Call::Grant { ttl: Duration::from_secs(1) };
        let granted = store.call(Purpose::Lease, grant).await;
        let Ok(StoreResponse::Granted(lease)) = granted else { panic!("{granted:?}") };
        let (key, value) = ("a".to_owned(), Some(vec![1]));
        let write = Call::Swap { key, expect: 0, value, lease: Some(lease) };
        let written = store.call(Purpose::Lease, write).await;
        let Ok(StoreResponse::Swapped(first)) = written else { panic!("{written:?}") };
        assert!(put(&store, "a", first).await.is_ok_and(|second| second > first));
        let renewed = store.call(Purpose::Lease, Call::Renew { lease }).await;
        assert_eq!(renewed, Ok(StoreResponse::Done));
    }
}

/// What happens to the service or is done by one of two clients.
#[derive(Clone, Copy, Debug)]
enum Step {
    Copy,
    ComeBack,
    /// Comes back while the next call is on its way.
    ComeBackUnseen,
    Read(usize, u8),
    Write(usize, u8),
    Delete(usize, u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let (client, key) = (0..2_usize, 0..2_u8);
    let step = prop_oneof![
        1 => Just(Step::Copy),
        1 => Just(Step::ComeBack),
        1 => Just(Step::ComeBackUnseen),
        3 => (client.clone(), key.clone()).prop_map(|(c, k)| Step::Read(c, k)),
        4 => (client.clone(), key.clone()).prop_map(|(c, k)| Step::Write(c, k)),
        1 => (client, key).prop_map(|(c, k)| Step::Delete(c, k)),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    /// Whatever a client sees of a key, its revision never falls, a revision stands for one content,
    /// and a write takes effect only on the content that the client knows.
    #[test]
    fn random_returns(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(check(&steps))?;
    }
}

async fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let (service, store) = open();
    let mut copied = copy(&service);
    // Revision and content that each client knows of each key.
    let mut known = [[(0_u64, None::<Vec<u8>>), (0, None)], [(0, None), (0, None)]];
    for (i, step) in steps.iter().enumerate() {
        let name = |key: u8| format!("k{key}");
        match *step {
            Step::Copy => copied = copy(&service),
            Step::ComeBack => come_back(&service, &copied),
            Step::ComeBackUnseen => {
                service.lock().expect("not poisoned").returning = Some(copied.clone());
            }
            Step::Read(client, key) => {
                let found = store.get(Purpose::Record, name(key)).await.expect("an answer");
                let (revision, value) = found.map_or_else(
                    || (era::floor(store.era()), None),
                    |r| (r.revision, Some(r.value)),
                );
                let slot = &mut known[client][usize::from(key)];
                // An absent key has no revision of its own within an era.
                let falls = revision < slot.0 && value.is_some();
                prop_assert!(!falls, "step {i}: {revision} after {}", slot.0);
                let same = revision != slot.0 || value == slot.1 || value.is_none();
                prop_assert!(same, "step {i}: two contents of {revision}");
                *slot = (revision, value);
            }
            Step::Write(client, key) | Step::Delete(client, key) => {
                let (expect, content) = known[client][usize::from(key)].clone();
                let value = matches!(step, Step::Write(..)).then(|| vec![i as u8]);
                if value.is_none() && content.is_none() {
                    continue;
                }
                let key_name = name(key);
                let before =
                    copy(&service).apply(&Call::Get { key: key_name.clone() }, Duration::ZERO);
                let call = Call::Swap { key: key_name, expect, value: value.clone(), lease: None };
                match store.call(Purpose::Record, call).await {
                    Ok(StoreResponse::Swapped(revision)) => {
                        let before = match before.expect("a read") {
                            StoreResponse::Value(found) => found.map(|r| r.value),
                            other => panic!("{other:?}"),
                        };
                        let unseen = content.is_none();
                        prop_assert!(
                            before == content || unseen,
                            "step {i}: wrote over {before:?}"
                        );
                        prop_assert!(revision > expect, "step {i}");
                        known[client][usize::from(key)] = (revision, value);
                    }
                    Ok(StoreResponse::Conflict(found)) => {
                        known[client][usize::from(key)] = found.map_or_else(
                            || (era::floor(store.era()), None),
                            |r| (r.revision, Some(r.value)),
                        );
                    }
                    Err(Error::Ambiguous { .. }) => {}
                    other => prop_assert!(false, "step {i}: {other:?}"),
                }
            }
        }
    }
    Ok(())
}
