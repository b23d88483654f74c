//! Rules for changes to a shard's head, its encoding, and the choice of owners.

use {
    agate_idempotency::{
        Change, Op, StoredResponse, Token, Verdict,
        head::{self, Head, Index, Limits},
        owner::{key_hash, owner, shard_of},
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
};

const EXPIRY: u64 = 1_000;

fn op(key: u8, serial: u64, change: Change) -> Op {
    Op { key: [key; 16], token: Token { incarnation: 1, serial }, change }
}

fn claim(key: u8, serial: u64) -> Op {
    op(key, serial, Change::Claim { print: [key; 32], expiry: EXPIRY })
}

fn response() -> StoredResponse {
    StoredResponse { status: 200, headers: vec![], body: Some(vec![1]) }
}

fn any_op() -> impl Strategy<Value = Op> {
    (0..4u8, 0..6u64, 0..5u8).prop_map(|(key, serial, kind)| match kind {
        0 => claim(key, serial),
        1 => op(key, serial, Change::Finish(response())),
        2 => op(key, serial, Change::Lose),
        3 => op(key, serial, Change::Look { print: [key; 32] }),
        _ => op(key, serial, Change::Free),
    })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Moving closed claims to a segment must not change the verdict on any key.
    #[test]
    fn sealed_equivalence(ops in prop::collection::vec(any_op(), 0..30), probe in any_op()) {
        let limits = Limits::default();
        let plain = head::apply(&Head::default(), &Index::new(), &ops, 0, &limits).head;
        let (mut sealed, mut index) = (plain.clone(), Index::new());
        if let Some(s) = head::seal(&mut sealed, "s".into()) {
            head::index_segment(&mut index, "s", &s);
        }
        let ask = [op(probe.key[0], 99, Change::Look { print: [probe.key[0]; 32] })];
        let a = head::apply(&plain, &Index::new(), &ask, 0, &limits).verdicts;
        let b = head::apply(&sealed, &index, &ask, 0, &limits).verdicts;
        match (&a[0], &b[0]) {
            (Verdict::Ran(_), Verdict::Sealed(_)) => {}
            _ => prop_assert_eq!(a, b),
        }
    }

    /// Every head must decode to itself.
    #[test]
    fn encoding_roundtrip(ops in prop::collection::vec(any_op(), 0..30)) {
        let h = head::apply(&Head::default(), &Index::new(), &ops, 0, &Limits::default()).head;
        prop_assert_eq!(head::decode::<Head>(&head::encode(&h)), Some(h));
    }

    /// Decoding arbitrary bytes must not panic.
    #[test]
    fn arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut versioned = vec![1];
        versioned.extend(&bytes);
        let _ = (head::decode::<Head>(&bytes), head::decode::<head::Segment>(&versioned));
    }
}

/// A writer repeats a batch whose result it does not know. The second application must give the
/// same verdicts and change nothing.
#[test]
fn repeated_batch() {
    let ops = [claim(1, 1), claim(1, 2), claim(2, 3)];
    let first = head::apply(&Head::default(), &Index::new(), &ops, 0, &Limits::default());
    assert_eq!(first.verdicts, [Verdict::Won, Verdict::Held, Verdict::Won]);
    let again = head::apply(&first.head, &Index::new(), &ops, 0, &Limits::default());
    assert_eq!((again.verdicts, again.changed), (first.verdicts, false));
}

/// An outcome with another claim's token must not end an open claim.
#[rstest]
#[case::finish(Change::Finish(response()))]
#[case::lose(Change::Lose)]
#[case::free(Change::Free)]
fn wrong_token(#[case] change: Change) {
    let ops = [claim(1, 1), op(1, 2, change)];
    let step = head::apply(&Head::default(), &Index::new(), &ops, 0, &Limits::default());
    let look = [claim(1, 3)];
    let after = head::apply(&step.head, &Index::new(), &look, 0, &Limits::default());
    assert_eq!(after.verdicts, [Verdict::Held], "only the holder's token may end a claim");
}

/// A shard with the most open claims must refuse further ones.
#[test]
fn full_shard() {
    let limits = Limits { open: 1, ..Limits::default() };
    let ops = [claim(1, 1), claim(2, 2)];
    let step = head::apply(&Head::default(), &Index::new(), &ops, 0, &limits);
    assert_eq!(step.verdicts, [Verdict::Won, Verdict::Full]);
}

/// Claims in a segment count until they expire. After that the key is free and the segment is
/// dropped.
#[rstest]
#[case::before(EXPIRY - 1, Verdict::Sealed("s".into()), 0)]
#[case::after(EXPIRY, Verdict::Absent, 1)]
fn expired_segment(#[case] now: u64, #[case] verdict: Verdict, #[case] dropped: usize) {
    let ops = [claim(1, 1), op(1, 1, Change::Finish(response()))];
    let mut h = head::apply(&Head::default(), &Index::new(), &ops, 0, &Limits::default()).head;
    let mut index = Index::new();
    let segment = head::seal(&mut h, "s".into()).unwrap();
    head::index_segment(&mut index, "s", &segment);
    let look = [op(1, 2, Change::Look { print: [1; 32] })];
    let step = head::apply(&h, &index, &look, now, &Limits::default());
    assert_eq!((&step.verdicts[0], step.dropped.len()), (&verdict, dropped));
}

/// The hash must separate the organisation from the key, so that two organisations never share a
/// claim.
#[test]
fn distinct_keys() {
    assert_ne!(key_hash("a", "bc"), key_hash("ab", "c"));
    assert_eq!(key_hash("a", "b"), key_hash("a", "b"));
}

/// Removing a member must move only that member's shards, and every member and shard must be used.
#[test]
fn stable_owners() {
    let members = ["a", "b", "c", "d"];
    let all: Vec<_> = (0..400).map(|s| owner(s, members).unwrap()).collect();
    let fewer: Vec<_> = (0..400).map(|s| owner(s, members[..3].iter().copied()).unwrap()).collect();
    assert!(all.iter().zip(&fewer).all(|(a, f)| a == f || *a == "d"));
    assert!(members.iter().all(|m| all.contains(m)));
    let shards: Vec<_> = (0..400).map(|k| shard_of(&key_hash("o", &k.to_string()), 4)).collect();
    assert!((0..4).all(|s| shards.contains(&s)));
}
