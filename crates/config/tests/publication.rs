//! Changes reach the store completely, in one order, only once, and are refused where they must be.

#[path = "support/faults.rs"]
mod faults;
mod support;

use {
    agate_config::{
        Section, apply,
        head::{BadRecord, HEAD_KEY, Head, chunk_key, history_key},
        index::Tree,
        load,
        publish::{Applied, Edit, Error, newest, revert},
    },
    agate_store::{Memory, Purpose, Store, metrics::Kind},
    faults::{before_head_swap, lose_response},
    rstest::rstest,
    std::time::Duration,
    support::{edit, example, open},
};

async fn seeded() -> (Memory, Store) {
    let (memory, store) = open();
    let first = edit("first", &Section::ALL, |_| ());
    assert_eq!(apply(&store, &first).await.expect("accepted").generation, 1);
    (memory, store)
}

fn weight(token: &str, org: &str, weight: u32) -> Edit {
    edit(token, &[Section::Organisations], |d| d.organisations[org].weight = weight)
}

#[tokio::test]
async fn round_trip() {
    let (_, store) = seeded().await;
    let (head, doc) = load(&store).await.expect("read").expect("present");
    assert_eq!((head.generation, head.parent), (1, None));
    assert_eq!(doc, example());
    assert_eq!(doc.routes, example().routes, "order is kept");
}

#[tokio::test]
async fn same_document() {
    let (memory, store) = seeded().await;
    let writes = memory.counts().kind(Kind::Swap);
    let again = apply(&store, &edit("again", &Section::ALL, |_| ())).await.expect("accepted");
    assert_eq!(again, Applied { generation: 1, changed: false });
    assert_eq!(memory.counts().kind(Kind::Swap), writes);
}

#[tokio::test]
async fn cross_section_problems() {
    let (_, store) = seeded().await;
    let broken = edit("t", &[Section::Budgets], |d| {
        d.budgets.shift_remove("large");
    });
    let Err(Error::Refused(problems)) = apply(&store, &broken).await else { panic!("accepted") };
    assert_eq!(problems.len(), 3, "three organisations use the budget");
    assert_eq!(newest(&store).await.expect("read").expect("present").1.generation, 1);
}

/// Another author changes a section between the read and the write of the head.
#[rstest]
#[case(Section::Routes, true)]
#[case(Section::Organisations, false)]
#[tokio::test]
async fn concurrent_authors(#[case] section: Section, #[case] accepted: bool) {
    let (_, store) = seeded().await;
    let inner = store.clone();
    let racing_store = before_head_swap(&store, move || {
        let inner = inner.clone();
        async move {
            let mut other = edit("other", &[section], |d| {
                d.routes[0].deadline = Duration::from_secs(1);
                d.organisations["kolga"].weight = 7;
            });
            other.author = "mari".into();
            apply(&inner, &other).await.expect("accepted");
        }
    });
    let done = apply(&racing_store, &weight("mine", "palmse", 3)).await;
    let (head, doc) = load(&store).await.expect("read").expect("present");
    if accepted {
        assert_eq!(done.expect("accepted").generation, 3);
        assert_eq!(doc.routes[0].deadline, Duration::from_secs(1), "the other change is kept");
        assert_eq!(doc.organisations["palmse"].weight, 3);
    } else {
        let Err(Error::Conflict { section, author, generation, .. }) = done else {
            panic!("{done:?}")
        };
        assert_eq!((section, &*author, generation), (Section::Organisations, "mari", 2));
        assert_eq!(head.generation, 2);
    }
}

/// The document that results from a concurrent change is verified again: each change is valid
/// alone, but not both together.
#[tokio::test]
async fn combined_verification() {
    let (_, store) = seeded().await;
    let inner = store.clone();
    let racing_store = before_head_swap(&store, move || {
        let inner = inner.clone();
        async move {
            let mut doc = example();
            doc.organisations.values_mut().for_each(|o| o.budget = Some("large".into()));
            let other = edit("other", &[Section::Organisations], |d| *d = doc.clone());
            apply(&inner, &other).await.expect("accepted");
        }
    });
    let mut doc = example();
    doc.organisations.values_mut().for_each(|o| o.budget = Some("small".into()));
    let first = edit("unused", &[Section::Organisations], |d| *d = doc.clone());
    apply(&store, &first).await.expect("accepted");
    let mine = edit("mine", &[Section::Budgets], |d| {
        d.budgets.shift_remove("large");
    });
    assert!(matches!(apply(&racing_store, &mine).await, Err(Error::Refused(_))));
}

#[tokio::test]
async fn stale_base() {
    let (_, store) = seeded().await;
    apply(&store, &weight("a", "kolga", 7)).await.expect("accepted");
    apply(&store, &edit("b", &[Section::Routes], |d| d.routes.truncate(2)))
        .await
        .expect("accepted");
    let stale_edit = Edit { base: Some(1), ..weight("c", "palmse", 3) };
    let Err(Error::Conflict { generation, .. }) = apply(&store, &stale_edit).await else {
        panic!()
    };
    assert_eq!(generation, 2, "the change that raced, not the newest one");
    let missing_base = Edit { base: Some(9), ..weight("d", "palmse", 3) };
    assert!(matches!(apply(&store, &missing_base).await, Err(Error::NoGeneration(9))));
}

/// The response to the replacement of the head is lost, after it took effect or before.
#[rstest]
#[case(true)]
#[case(false)]
#[tokio::test]
async fn lost_response(#[case] effective: bool) {
    let (_, store) = seeded().await;
    let done = apply(&lose_response(&store, effective, || ()), &weight("t", "kolga", 7)).await;
    assert_eq!(done.expect("resolved"), Applied { generation: 2, changed: true });
    let (head, _) = load(&store).await.expect("read").expect("present");
    assert_eq!(head.generation, 2, "applied once");
}

/// The response is lost, and another change follows before the head is read again.
#[tokio::test]
async fn lost_response_superseded() {
    let (_, store) = seeded().await;
    let mine = Edit { base: Some(1), ..weight("mine", "kolga", 7) };
    apply(&store, &mine).await.expect("accepted");
    apply(&store, &weight("other", "palmse", 3)).await.expect("accepted");
    let repeated = apply(&store, &mine).await.expect("found in the history");
    assert_eq!(repeated, Applied { generation: 2, changed: true });
    let (head, _) = load(&store).await.expect("read").expect("present");
    assert_eq!(head.generation, 3, "not applied again");
}

#[tokio::test]
async fn lost_response_outage() {
    let (memory, store) = seeded().await;
    let failing = memory.clone();
    let lossy = lose_response(&store, true, move || failing.set_faults(|f| f.outage = true));
    let mine = Edit { base: Some(1), ..weight("t", "kolga", 7) };
    let done = apply(&lossy, &mine).await;
    assert!(matches!(done, Err(Error::Unresolved(_))), "{done:?}");
    memory.set_faults(|f| f.outage = false);
    let repeated = apply(&store, &mine).await.expect("resolved");
    assert_eq!(repeated, Applied { generation: 2, changed: true });
}

#[tokio::test]
async fn one_key_changed() {
    let (memory, store) = seeded().await;
    let calls = |kind| memory.counts().kind(kind);
    let (reads, writes) = (calls(Kind::Get), calls(Kind::Swap));
    apply(&store, &weight("t", "kolga", 7)).await.expect("accepted");
    let written = calls(Kind::Swap) - writes;
    assert_eq!(written, 4, "one chunk, its index chunk, the copy of the old head, and the head");
    let read = calls(Kind::Get) - reads;
    let others = Section::ALL.into_iter().filter(|s| *s != Section::Organisations);
    let trees = others.map(|s| Tree::new(&example(), s));
    let others: usize = trees.map(|t| t.index.len() + t.leaves.len()).sum();
    let own = 1;
    assert_eq!(read as usize, 1 + own + others, "the head, one index chunk, the other sections");
}

#[tokio::test]
async fn revert_section() {
    let (_, store) = seeded().await;
    apply(&store, &weight("a", "kolga", 7)).await.expect("accepted");
    apply(&store, &edit("b", &[Section::Routes], |d| d.routes.truncate(2)))
        .await
        .expect("accepted");
    let back = edit("c", &[Section::Organisations], |d| *d = Default::default());
    assert_eq!(revert(&store, 1, back).await.expect("accepted").generation, 4);
    let (head, doc) = load(&store).await.expect("read").expect("present");
    assert_eq!(head.parent, Some(history_key(3)));
    assert_eq!(doc.organisations, example().organisations);
    assert_eq!(doc.routes.len(), 2, "other sections stay");
}

async fn damage(store: &Store, key: &str, bytes: &[u8]) {
    let record = store.get(Purpose::Config, key).await.expect("read").expect("present");
    let done = store.swap(Purpose::Config, key, record.revision, bytes.to_vec()).await;
    done.expect("written").expect("no conflict");
}

#[rstest]
#[case(b"{\"version\":1}", "version 1 is unknown")]
#[case(b"{\"version\":2}", "missing field")]
#[case(b"\xff", "config/head")]
#[case(b"", "config/head")]
#[tokio::test]
async fn bad_head(#[case] bytes: &[u8], #[case] cause: &str) {
    let (_, store) = seeded().await;
    damage(&store, HEAD_KEY, bytes).await;
    let Err(Error::Record(e)) = load(&store).await else { panic!("accepted") };
    let text = e.to_string();
    assert!(text.contains(cause) && text.contains(HEAD_KEY), "{text}");
    let done = apply(&store, &weight("t", "kolga", 7)).await;
    assert!(matches!(done, Err(Error::Record(_))), "an unknown head is not overwritten");
}

#[tokio::test]
async fn bad_chunk() {
    let (_, store) = seeded().await;
    let (_, head) = newest(&store).await.expect("read").expect("present");
    let key = chunk_key(&head.section(Section::Models)[0]);
    damage(&store, &key, b"{}").await;
    let Err(Error::Record(e)) = load(&store).await else { panic!("accepted") };
    assert!(matches!(&e, BadRecord::Corrupt { key: k, .. } if *k == key), "{e}");
}

#[test]
fn absent_chunk() {
    let bytes = br#"{"version":2,"generation":1,"index":{"models":["ab"]},"author":"a",
        "parent":null,"token":"t","time":{"secs":0,"nanos":0},"comment":""}"#;
    let head = Head::decode(HEAD_KEY, bytes).expect("well formed");
    let found = head.assemble(|_| None);
    assert_eq!(found, Err(BadRecord::Absent { key: chunk_key("ab") }));
}
