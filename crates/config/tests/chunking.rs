//! Small changes change few chunks, and heads differ by little.

use {
    agate_config::{
        Document, Head, Section,
        delta::Delta,
        head::VERSION,
        parse,
        section::{MAX_ENTRIES, join, split},
    },
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, any, proptest},
        test_runner::RngSeed,
    },
    std::time::Duration,
};

const COUNT: usize = 1_000;

fn document(names: impl Iterator<Item = usize>) -> Document {
    let mut doc = parse(include_str!("../../../examples/savikoda.yaml")).expect("example parses");
    let org = doc.organisations[0].clone();
    doc.organisations = names.map(|i| (format!("org-{i}"), org.clone())).collect();
    doc
}

fn head(doc: &Document, generation: u64) -> Head {
    let ids = |s| split(doc, s).into_iter().map(|c| c.id).collect();
    Head {
        version: VERSION,
        generation,
        chunks: Section::ALL.into_iter().map(|s| (s, ids(s))).collect(),
        author: "a".into(),
        parent: None,
        token: "t".into(),
        time: Duration::ZERO,
        comment: String::new(),
    }
}

fn fresh(old: &Document, new: &Document) -> usize {
    let held = split(old, Section::Organisations);
    split(new, Section::Organisations).iter().filter(|c| !held.contains(c)).count()
}

#[test]
fn one_changed() {
    let old = document(0..COUNT);
    for i in (0..COUNT).step_by(97) {
        let mut new = old.clone();
        new.organisations[i].weight += 1;
        assert_eq!(fresh(&old, &new), 1);
    }
}

#[test]
fn one_removed() {
    let old = document(0..COUNT);
    let counts =
        (0..COUNT).step_by(7).map(|i| fresh(&old, &document((0..COUNT).filter(|j| *j != i))));
    let (sum, most) = counts.clone().fold((0, 0), |(s, m), n| (s + n, m.max(n)));
    assert!(sum <= 3 * counts.count(), "{sum} chunks");
    assert!(most * MAX_ENTRIES < COUNT / 4, "{most} chunks at most");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Chunks join to the same section, and a difference leads from any head to any other.
    #[test]
    fn round_trips(old in vec(0..60_usize, 0..50), new in vec(0..60_usize, 0..50), cut in any::<u8>()) {
        let (old, new) = (document(old.into_iter()), document(new.into_iter()));
        let mut joined = Document::default();
        for chunk in split(&new, Section::Organisations) {
            join(&mut joined, Section::Organisations, &chunk.bytes).expect("own chunk");
        }
        assert!(joined.organisations.iter().eq(&new.organisations), "order is kept");
        let (a, mut b) = (head(&old, 1), head(&new, 2));
        b.chunks.retain(|_, ids| !ids.is_empty());
        let mut delta = Delta::between(&a, &b);
        assert_eq!(delta.patch(&a), Some(b.clone()));
        assert_eq!(delta.patch(&b), None, "another base");
        // A damaged difference is noticed.
        if let Some((_, splice)) = delta.splices.get_index_mut(0) {
            splice.start += usize::from(cut) + 1;
            assert_eq!(delta.patch(&a), None);
        }
    }
}
