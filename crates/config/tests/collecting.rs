//! Old generations are deleted, and nothing that a kept head refers to.

#[path = "support/faults.rs"]
mod faults;
mod support;

use {
    agate_config::{
        Section, apply,
        head::chunk_key,
        index::listed,
        load,
        publish::{
            Edit, archived, collect,
            collect::{EVERY, KEPT},
            newest, revert,
        },
    },
    agate_store::{Call, Error, Purpose, Reply, Store},
    faults::on_head,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::sync::{Arc, Mutex},
    support::{edit, open},
};

fn weight(token: &str, weight: u32) -> Edit {
    edit(token, &[Section::Organisations], |d| d.organisations["kolga"].weight = weight)
}

fn routes(token: &str, count: usize) -> Edit {
    edit(token, &[Section::Routes], |d| d.routes.truncate(count))
}

async fn put(store: &Store, edit: Edit) {
    apply(store, &edit).await.expect("accepted");
}

async fn pass(store: &Store, keep: u64) {
    collect(store, keep).await.expect("collected");
}

async fn seeded() -> Store {
    let (_, store) = open();
    put(&store, edit("first", &Section::ALL, |_| ())).await;
    store
}

async fn keys(store: &Store) -> usize {
    let got = store.call(Purpose::Config, Call::List { prefix: "config/".into() }).await;
    let Ok(Reply::Keys(keys)) = got else { panic!("{got:?}") };
    keys.len()
}

#[tokio::test]
async fn bounded_store() {
    let store = seeded().await;
    let first = keys(&store).await;
    for i in 2..=1_000_u32 {
        put(&store, weight(&i.to_string(), i)).await;
        let most = first + 3 * (KEPT + 2 * EVERY) as usize + 1;
        if i.is_multiple_of(50) {
            let held = keys(&store).await;
            assert!(held <= most, "{held} records after {i} applies");
        }
    }
    let oldest = 1_000 - 1_000 % EVERY - KEPT + 1;
    assert!(archived(&store, oldest - 1).await.expect("read").is_none());
    let back = revert(&store, oldest, weight("back", 0)).await.expect("still whole");
    assert_eq!(back.generation, 1_001);
    let (_, doc) = load(&store).await.expect("read").expect("present");
    assert_eq!(u64::from(doc.organisations["kolga"].weight), oldest);
}

/// What happens between an apply's last chunk and its replacement of the head.
#[derive(Clone, Copy)]
enum Meanwhile {
    /// Two passes under the same head.
    Passes,
    /// Two passes with another change between.
    Change,
    /// One pass, after the apply's chunks had been marked as unused.
    Marked,
}

#[rstest]
#[case(Meanwhile::Passes, 4)]
#[case(Meanwhile::Change, 5)]
#[case(Meanwhile::Marked, 5)]
#[tokio::test]
async fn apply_under_way(#[case] meanwhile: Meanwhile, #[case] generation: u64) {
    let store = seeded().await;
    put(&store, weight("a", 7)).await;
    put(&store, weight("b", 8)).await;
    if matches!(meanwhile, Meanwhile::Marked) {
        pass(&store, 1).await;
        put(&store, routes("c", 2)).await;
    }
    let inner = store.clone();
    let raced = on_head(&store, move || {
        let store = inner.clone();
        async move {
            pass(&store, 1).await;
            if matches!(meanwhile, Meanwhile::Change) {
                put(&store, routes("d", 1)).await;
            }
            if !matches!(meanwhile, Meanwhile::Marked) {
                pass(&store, 1).await;
            }
        }
    });
    put(&raced, weight("mine", 7)).await;
    let (head, doc) = load(&store).await.expect("whole").expect("present");
    assert_eq!((head.generation, doc.organisations["kolga"].weight), (generation, 7));
}

/// Loses the answers to some writes, which may or may not take effect.
fn lossy(store: &Store, seed: u64) -> Store {
    let (inner, rng) = (store.clone(), Arc::new(Mutex::new(StdRng::seed_from_u64(seed))));
    Store::new(move |purpose, call| {
        let draw = rng.lock().expect("no panic").random_range(0..40);
        let inner = inner.clone();
        Box::pin(async move {
            if !call.is_write() || draw > 1 {
                return inner.call(purpose, call).await;
            }
            if draw == 0 {
                inner.call(purpose, call).await?;
            }
            Err(Error::Ambiguous { step: "swap", peer: "test".into(), cause: "lost".into() })
        })
    })
}

async fn whole(store: &Store, keep: u64) {
    let head = newest(store).await.expect("read").expect("present").1;
    load(store).await.expect("the head is whole");
    for generation in (head.generation + 1).saturating_sub(keep).max(1)..head.generation {
        let head = archived(store, generation).await.expect("read").expect("kept");
        for id in head.index.values().flatten() {
            let key = chunk_key(id);
            let got = store.get(Purpose::Config, key).await.expect("read").expect("kept");
            for leaf in listed(&got.value).expect("an index chunk") {
                let key = chunk_key(&leaf);
                assert!(store.get(Purpose::Config, key).await.expect("read").is_some());
            }
        }
    }
}

#[rstest]
#[tokio::test]
async fn answers_lost(#[values(1, 2, 3, 4)] seed: u64) {
    const KEEP: u64 = 3;
    let store = seeded().await;
    let faulty = lossy(&store, seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut done, mut deleted) = (0, 0);
    for i in 0..150 {
        if rng.random_bool(0.5) {
            let weighted = weight(&i.to_string(), rng.random_range(1..6));
            done += usize::from(apply(&faulty, &weighted).await.is_ok());
        } else {
            deleted += collect(&faulty, KEEP).await.unwrap_or_default();
        }
        whole(&store, KEEP).await;
    }
    assert!(done > 30 && deleted > 30, "{done} applied, {deleted} deleted");
}
