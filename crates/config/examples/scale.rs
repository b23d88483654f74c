//! Measures the cost of documents with many organisations: times, chunks and memory.
//!
//! Run with `cargo run --release -p agate-config --example scale`.

#[path = "support/mod.rs"]
mod support;

use {
    agate_config::{
        Document, Section, apply,
        doc::Key,
        index::Tree,
        load, parse,
        publish::{Edit, newest},
        section::split,
        snapshot::{Names, Snapshot},
        verify,
    },
    agate_store::{Memory, Store, metrics::Kind},
    indexmap::IndexMap,
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

const SIZES: [usize; 4] = [100, 1_000, 3_000, 6_500];
const ROUNDS: u32 = 5;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!(
        "| organisations | text KB | parse ms | verify ms | compile ms | apply all ms | chunks | head KB | load ms | snapshot KB |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for count in SIZES {
        measure_document(count).await;
    }
    println!();
    println!(
        "| organisations | apply one key ms | writes | reads | chunk bytes moved | chunks moved | head bytes |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for count in SIZES {
        measure_key_change(count).await;
    }
}

/// Returns the best time of some rounds, in milliseconds.
fn time<T>(f: impl Fn() -> T) -> f64 {
    let round = || {
        let start = Instant::now();
        black_box(f());
        start.elapsed()
    };
    let best = (0..ROUNDS).map(|_| round()).min().unwrap_or_default();
    best.as_secs_f64() * 1e3
}

fn edit(token: &str, sections: &[Section], doc: Document) -> Edit {
    Edit {
        author: "measure".into(),
        token: token.into(),
        comment: "measurement".into(),
        time: Duration::ZERO,
        sections: sections.to_vec(),
        doc,
        base: None,
    }
}

async fn seeded_store(doc: &Document) -> (Memory, Store, f64) {
    let memory = Memory::open(|| Duration::ZERO);
    let store = memory.store();
    let first = edit("first", &Section::ALL, doc.clone());
    let start = Instant::now();
    apply(&store, &first).await.expect("accepted");
    let took = start.elapsed().as_secs_f64() * 1e3;
    (memory, store, took)
}

async fn measure_document(count: usize) {
    let doc = support::document(count);
    let text = serde_saphyr::to_string(&doc).expect("a document is YAML");
    let parsing = time(|| parse(&text).expect("parses"));
    let verifying = time(|| assert!(verify(&doc).is_empty()));
    let compiling = time(|| Snapshot::compile(&doc, 1, &mut Names::default()));
    let (_, store, applying) = seeded_store(&doc).await;
    let start = Instant::now();
    let (head, _) = load(&store).await.expect("read").expect("present");
    let loading = start.elapsed().as_secs_f64() * 1e3;
    let chunks: usize = Section::ALL.iter().map(|s| split(&doc, *s).len()).sum();
    println!(
        "| {count} | {} | {parsing:.1} | {verifying:.2} | {compiling:.2} | {applying:.1} | {chunks} | {:.1} | {loading:.1} | {} |",
        text.len() >> 10,
        head.encode().len() as f64 / 1024.0,
        snapshot_memory(&doc),
    );
}

/// Returns the growth of resident memory per snapshot, in KB, while many snapshots are held.
fn snapshot_memory(doc: &Document) -> usize {
    const COUNT: usize = 16;
    let before = resident_pages();
    // A process keeps one table of names for all its snapshots.
    let mut names = Names::default();
    let snapshots: Vec<_> =
        (1..=COUNT).map(|g| Snapshot::compile(doc, g as u64, &mut names)).collect();
    let after = resident_pages();
    black_box(snapshots);
    after.saturating_sub(before) * 4 / COUNT
}

fn resident_pages() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or_default()
}

async fn measure_key_change(count: usize) {
    let doc = support::document(count);
    let (memory, store, _) = seeded_store(&doc).await;
    let (_, before) = newest(&store).await.expect("read").expect("present");
    let mut changed = doc.clone();
    let org = changed.organisations.get_index_mut(count / 2).expect("present").1;
    org.keys[0] = Key { sha256: support::hex("replaced") };
    let edit = edit("second", &[Section::Organisations], changed.clone());
    let calls = memory.counts();
    let start = Instant::now();
    apply(&store, &edit).await.expect("accepted");
    let took = start.elapsed().as_secs_f64() * 1e3;
    let (_, after) = newest(&store).await.expect("read").expect("present");
    let (bytes, moved) = new_chunks(&doc, &changed);
    assert_eq!(after.generation, before.generation + 1);
    let done = memory.counts();
    println!(
        "| {count} | {took:.1} | {} | {} | {bytes} | {moved} | {} |",
        done.kind(Kind::Swap) - calls.kind(Kind::Swap),
        done.kind(Kind::Get) - calls.kind(Kind::Get) - 1,
        after.encode().len(),
    );
}

/// Returns the bytes and the number of chunks and index chunks that a change adds.
fn new_chunks(before: &Document, after: &Document) -> (usize, usize) {
    let records = |doc| {
        let tree = Tree::new(doc, Section::Organisations);
        let index = tree.index.into_iter().map(|c| (c.id, c.bytes));
        index.chain(tree.leaves).collect::<IndexMap<_, _>>()
    };
    let (old, new) = (records(before), records(after));
    let added = new.iter().filter(|(id, _)| !old.contains_key(*id));
    added.fold((0, 0), |(bytes, n), (_, c)| (bytes + c.len(), n + 1))
}
