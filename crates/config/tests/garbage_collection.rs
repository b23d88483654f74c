//! Garbage collection deletes old generations, but no record that a retained head refers to.

#[path = "support/faults.rs"]
mod faults;
mod support;

use {
    agate_config::{
        Section, apply,
        head::chunk_key,
        index::child_ids,
        load,
        publish::{
            Edit, archived, collect,
            collect::{COLLECT_INTERVAL, KEEP_GENERATIONS},
            newest, revert,
        },
    },
    agate_store::{Call, Error, Purpose, Store, StoreResponse},
    faults::before_head_swap,
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

async fn apply_edit(store: &Store, edit: Edit) {
    apply(store, &edit).await.expect("accepted");
}

async fn run_pass(store: &Store, keep: u64) {
    collect(store, keep).await.expect("collected");
}

async fn seeded() -> Store {
    let (_, store) = open();
    apply_edit(&store, edit("first", &Section::ALL, |_| ())).await;
    store
}

async fn keys(store: &Store) -> usize {
    let got = store.call(Purpose::Config, Call::List { prefix: "config/".into() }).await;
    let Ok(StoreResponse::Keys(keys)) = got else { panic!("{got:?}") };
    keys.len()
}

#[tokio::test]
async fn bounded_size() {
    let store = seeded().await;
    let first = keys(&store).await;
    for i in 2..=1_000_u32 {
        apply_edit(&store, weight(&i.to_string(), i)).await;
        let most = first + 3 * (KEEP_GENERATIONS + 2 * COLLECT_INTERVAL) as usize + 1;
        if i.is_multiple_of(50) {
            let held = keys(&store).await;
            assert!(held <= most, "{held} records after {i} applies");
        }
    }
    let oldest = 1_000 - 1_000 % COLLECT_INTERVAL - KEEP_GENERATIONS + 1;
    assert!(archived(&store, oldest - 1).await.expect("read").is_none());
    let back = revert(&store, oldest, weight("back", 0)).await.expect("still whole");
    assert_eq!(back.generation, 1_001);
    let (_, doc) = load(&store).await.expect("read").expect("present");
    assert_eq!(u64::from(doc.organisations["kolga"].weight), oldest);
}

/// What happens between the last chunk that an apply writes and its replacement of the head.
#[derive(Clone, Copy)]
enum Interleaving {
    /// Two passes with the same head.
    Passes,
    /// Two passes with another change between them.
    Change,
    /// One pass, after the chunks of the apply were marked as unused.
    Marked,
}

#[rstest]
#[case(Interleaving::Passes, 4)]
#[case(Interleaving::Change, 5)]
#[case(Interleaving::Marked, 5)]
#[tokio::test]
async fn concurrent_apply(#[case] interleaving: Interleaving, #[case] generation: u64) {
    let store = seeded().await;
    apply_edit(&store, weight("a", 7)).await;
    apply_edit(&store, weight("b", 8)).await;
    if matches!(interleaving, Interleaving::Marked) {
        run_pass(&store, 1).await;
        apply_edit(&store, routes("c", 2)).await;
    }
    let inner = store.clone();
    let raced = before_head_swap(&store, move || {
        let store = inner.clone();
        async move {
            run_pass(&store, 1).await;
            if matches!(interleaving, Interleaving::Change) {
                apply_edit(&store, routes("d", 1)).await;
            }
            if !matches!(interleaving, Interleaving::Marked) {
                run_pass(&store, 1).await;
            }
        }
    });
    apply_edit(&raced, weight("mine", 7)).await;
    let (head, doc) = load(&store).await.expect("whole").expect("present");
    assert_eq!((head.generation, doc.organisations["kolga"].weight), (generation, 7));
}

/// Returns a store that loses the responses to some writes, which may or may not take effect.
fn lossy_store(store: &Store, seed: u64) -> Store {
    let (inner, rng) = (store.clone(), Arc::new(Mutex::new(StdRng::seed_from_u64(seed))));
    Store::new(move |purpose, call| {
        let roll = rng.lock().expect("no panic").random_range(0..40);
        let inner = inner.clone();
        Box::pin(async move {
            if !call.is_write() || roll > 1 {
                return inner.call(purpose, call).await;
            }
            if roll == 0 {
                inner.call(purpose, call).await?;
            }
            Err(Error::Ambiguous { step: "swap", peer: "test".into(), cause: "lost".into() })
        })
    })
}

async fn assert_complete(store: &Store, keep: u64) {
    let head = newest(store).await.expect("read").expect("present").1;
    load(store).await.expect("the head is whole");
    for generation in (head.generation + 1).saturating_sub(keep).max(1)..head.generation {
        let head = archived(store, generation).await.expect("read").expect("kept");
        for id in head.index.values().flatten() {
            let key = chunk_key(id);
            let got = store.get(Purpose::Config, key).await.expect("read").expect("kept");
            for leaf in child_ids(&got.value).expect("an index chunk") {
                let key = chunk_key(&leaf);
                assert!(store.get(Purpose::Config, key).await.expect("read").is_some());
            }
        }
    }
}

#[rstest]
#[tokio::test]
async fn lost_responses(#[values(1, 2, 3, 4)] seed: u64) {
    const KEEP: u64 = 3;
    let store = seeded().await;
    let faulty = lossy_store(&store, seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut done, mut deleted) = (0, 0);
    for i in 0..150 {
        if rng.random_bool(0.5) {
            let weighted = weight(&i.to_string(), rng.random_range(1..6));
            done += usize::from(apply(&faulty, &weighted).await.is_ok());
        } else {
            deleted += collect(&faulty, KEEP).await.unwrap_or_default();
        }
        assert_complete(&store, KEEP).await;
    }
    assert!(done > 30 && deleted > 30, "{done} applied, {deleted} deleted");
}
