//! Small changes affect few chunks and index chunks.

use {
    agate_config::{
        Document, Section,
        index::{Tree, child_ids},
        parse,
        section::{MAX_ENTRIES, add_entries, split},
    },
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, proptest},
        test_runner::RngSeed,
    },
};

const COUNT: usize = 1_000;

fn document(names: impl Iterator<Item = usize>) -> Document {
    let mut doc = parse(include_str!("../../../examples/savikoda.yaml")).expect("example parses");
    let org = doc.organisations[0].clone();
    doc.organisations = names.map(|i| (format!("org-{i}"), org.clone())).collect();
    doc
}

fn index(doc: &Document) -> Vec<String> {
    Tree::new(doc, Section::Organisations).ids()
}

fn new_chunks(old: &Document, new: &Document) -> usize {
    let held = split(old, Section::Organisations);
    split(new, Section::Organisations).iter().filter(|c| !held.contains(c)).count()
}

#[test]
fn changed_entry() {
    let old = document(0..COUNT);
    for i in (0..COUNT).step_by(97) {
        let mut new = old.clone();
        new.organisations[i].weight += 1;
        assert_eq!(new_chunks(&old, &new), 1);
        let (old, new) = (index(&old), index(&new));
        let moved = new.iter().filter(|id| !old.contains(id)).count();
        // A new digest may add or remove a cut point.
        assert!((1..=4).contains(&moved), "{moved} index chunks");
    }
}

#[test]
fn removed_entry() {
    let old = document(0..COUNT);
    let counts =
        (0..COUNT).step_by(7).map(|i| new_chunks(&old, &document((0..COUNT).filter(|j| *j != i))));
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

    /// Joining the chunks that the index lists gives the same section.
    #[test]
    fn round_trips(names in vec(0..600_usize, 0..500)) {
        let doc = document(names.into_iter());
        let tree = Tree::new(&doc, Section::Organisations);
        let mut joined = Document::default();
        for id in tree.index.iter().flat_map(|c| child_ids(&c.bytes).expect("an index chunk")) {
            add_entries(&mut joined, Section::Organisations, &tree.leaves[&id]).expect("own chunk");
        }
        assert!(joined.organisations.iter().eq(&doc.organisations), "order is kept");
        assert!(tree.leaves.values().all(|bytes| child_ids(bytes).is_none()), "no chunk is an index");
    }
}
