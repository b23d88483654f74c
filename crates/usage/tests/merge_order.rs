//! Copies converge in spite of lost, duplicated and reordered messages. Clock jumps and invalid
//! records are handled.

use {
    agate_usage::{
        clock::{WindowClock, window_end, window_of},
        counter::Counter,
        figures::{Figures, Row, RowKey},
        ledger::{Ledger, Part, PartRequest},
        sealed::{self, Sealed, seal},
        shard_of,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
    std::{collections::BTreeSet, time::Duration},
};

const LENGTH: Duration = Duration::from_secs(60);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn work(n: u64) -> Figures {
    Figures { requests: 1, prompt: n, output: n }
}

fn rows(ledger: &Ledger) -> BTreeSet<(RowKey, u64)> {
    let all = ledger.copies().flat_map(|(_, c)| c.rows.iter());
    all.map(|(k, f)| (k.clone(), f.output)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(32), ..Default::default()
    })]

    /// Guards against copies that differ from the counter after lost, duplicated or reordered
    /// messages. A final round has to make them equal.
    #[test]
    fn copies_converge(
        counts in prop::collection::vec((0..3u8, 1..9u64, 0..40u64), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let mut counter = Counter::open("a", WindowClock::open(LENGTH, secs(0), secs(0)));
        counter.set_peers(["p".into()]);
        let (mut now, mut sent) = (secs(0), Vec::new());
        for (org, n, gap) in counts {
            now += secs(gap);
            counter.count(&org.to_string().into(), &"m".into(), work(n), now, now);
            sent.extend(counter.ship(now, now));
        }
        let mut ledger = Ledger::new();
        for i in order {
            let (_, m) = i.get(&sent);
            ledger.merge(m, now);
            ledger.merge(m, now);
            counter.acknowledge("p", m.round);
        }
        let last = counter.ship(now, now).pop().unwrap().1;
        ledger.merge(&last, now);
        counter.acknowledge("p", last.round);
        prop_assert!(counter.is_shipped());
        prop_assert!(counter.ship(now, now)[0].1.rows.is_empty());
        let part = counter.part(0, 1, 0, u64::MAX - 1);
        let mut own = Ledger::new();
        own.merge_part(&part, now);
        prop_assert_eq!(rows(&ledger), rows(&own));
    }
}

/// Each row belongs to exactly one shard, and organisations are spread over the shards.
#[test]
fn shard_partition() {
    let mut counter = Counter::open("a", WindowClock::open(LENGTH, secs(0), secs(0)));
    for i in 0..100 {
        counter.count(&format!("o{i}").into(), &"m".into(), work(1), secs(0), secs(0));
    }
    let part = |s| counter.part(s, 16, 0, 0).rows.len();
    assert_eq!((0..16).map(part).sum::<usize>(), 100);
    assert!((0..100).map(|i| shard_of(&format!("o{i}"), 16)).collect::<BTreeSet<_>>().len() > 8);
}

/// An instance provides its copy of a source only once that source is silent.
#[test]
fn silent_source_relayed() {
    let mut ledger = Ledger::new();
    let part = Part { source: "a".into(), closed: 3, rows: Vec::new() };
    ledger.merge_part(&part, secs(10));
    let want = PartRequest { shard: 0, shards: 1, oldest: 0, newest: 9 };
    assert!(ledger.parts(&want, secs(2), secs(11)).is_empty());
    assert_eq!(ledger.parts(&want, secs(2), secs(12)), [part]);
}

/// The clock does not go back, and advances at most twice as fast as the monotonic clock.
#[rstest]
#[case::back(-100, 0)]
#[case::ahead(1000, 20)]
#[case::true_time(10, 10)]
fn clock_jumps(#[case] jump: i64, #[case] moved: u64) {
    let mut clock = WindowClock::open(LENGTH, secs(500), secs(0));
    let read = clock.read(secs((500 + jump) as u64), secs(10));
    assert_eq!(read, secs(500 + moved));
    assert_eq!(clock.window(), window_of(read, LENGTH));
    assert!(window_end(clock.window(), LENGTH) > read);
}

/// Empty, truncated and overlong records and those of another version are refused with their key.
#[rstest]
#[case::empty(vec![])]
#[case::version(vec![9, 0, 0])]
#[case::cut(vec![1, 0])]
#[case::trailing([sealed::encode(&Sealed { shard: 0, window: 1, rows: vec![], entries: vec![] }), vec![0]].concat())]
fn bad_record_refused(#[case] bytes: Vec<u8>) {
    let refused = sealed::decode::<Sealed>("usage/0/1", &bytes).unwrap_err().to_string();
    assert!(refused.contains("usage/0/1"), "{refused}");
}

/// Guards against a record that exceeds the store's limit. Entries that do not fit go into later
/// records, and none is lost.
#[test]
fn large_record_split() {
    let mut ledger = Ledger::new();
    for source in 0..300 {
        let row = |o| {
            let key = RowKey { window: 1, org: format!("org{o}").into(), model: "m".into() };
            Row { key, figures: work(1) }
        };
        let rows = (0..150).map(row).collect();
        let part = Part { source: format!("s{source}").into(), closed: 1, rows };
        ledger.merge_part(&part, secs(0));
    }
    let mut history: Vec<Sealed> = Vec::new();
    for window in 1..9 {
        let sealed = seal(0, 1, window, 1, &history, &ledger);
        assert!(sealed::encode(&sealed).len() <= sealed::MAX_BYTES);
        history.push(sealed);
    }
    let total: u64 = history.iter().flat_map(|s| &s.rows).map(|r| r.figures.output).sum();
    assert!(history[1].rows.len() > 1, "the first record was full");
    assert_eq!(total, 300 * 150);
}
