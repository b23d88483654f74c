//! A shared record whose store comes back from an older copy.

use {
    agate_store::{Memory, Purpose, Store},
    agate_view::{
        clock,
        shared_record::{Role, SharedRecord},
    },
    std::{collections::BTreeSet, time::Duration},
};

type Names = BTreeSet<String>;

fn record(store: Store) -> SharedRecord<Names> {
    let merge = |names: &mut Names, copy: &Names| names.extend(copy.iter().cloned());
    SharedRecord::new(store, "record", merge, |_, _| {})
}

async fn add(record: &SharedRecord<Names>, name: &str) {
    let insert = |names: &mut Names| (names.insert(name.into()), ());
    record.change(insert).await.expect("written");
}

fn names(record: &SharedRecord<Names>) -> Vec<String> {
    record.load().state.iter().cloned().collect()
}

/// Content that the store has lost, whole or in part, is written again, and other instances take it.
#[tokio::test]
async fn lost_content() {
    for before in [&[][..], &["a"]] {
        let memory = Memory::open(|| Duration::ZERO);
        let store = memory.store();
        let (leader, follower) = (record(store.clone()), record(memory.store()));
        leader.open().await;
        for name in before {
            add(&leader, name).await;
        }
        let copy = memory.copy();
        add(&leader, "b").await;
        follower.open().await;
        memory.come_back(copy);
        // Another call of the instance sees the new era first.
        leader.wake();
        store.get(Purpose::Config, "other").await.expect("an answer");
        leader.next(&mut 0, || Role::Leader).await.expect("read");
        let expected: Vec<&str> = before.iter().copied().chain(["b"]).collect();
        assert_eq!(names(&leader), expected);
        let late = record(memory.store());
        late.open().await;
        assert_eq!(names(&late), expected);
        follower.report(leader.load().revision, clock::now());
        follower.next(&mut 0, || Role::Follower).await.expect("read");
        assert_eq!(names(&follower), expected);
        add(&follower, "c").await;
        assert!(names(&follower).contains(&"b".to_owned()));
    }
}

/// A change by an instance that does not know yet that the store came back keeps what was lost.
#[tokio::test]
async fn change_after_return() {
    let memory = Memory::open(|| Duration::ZERO);
    let known = record(memory.store());
    known.open().await;
    add(&known, "a").await;
    let copy = memory.copy();
    add(&known, "b").await;
    memory.come_back(copy);
    let insert = |names: &mut Names| (names.insert("c".into()), ());
    // The first attempt may end as ambiguous, as its caller would see for a lost response.
    if known.change(insert).await.is_err() {
        known.change(insert).await.expect("written");
    }
    assert_eq!(names(&known), ["a", "b", "c"]);
}
