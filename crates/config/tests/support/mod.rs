//! The example document, edits of it, and an empty store.

use {
    agate_config::{Document, Section, parse, publish::Edit},
    agate_store::{Memory, Store},
    std::time::Duration,
};

pub fn example() -> Document {
    parse(include_str!("../../../../examples/savikoda.yaml")).expect("example parses")
}

pub fn open() -> (Memory, Store) {
    let memory = Memory::open(|| Duration::ZERO);
    let store = memory.store();
    (memory, store)
}

pub fn edit(token: &str, sections: &[Section], change: impl FnOnce(&mut Document)) -> Edit {
    let mut doc = example();
    change(&mut doc);
    Edit {
        author: "jaan".into(),
        token: token.into(),
        comment: "test".into(),
        time: Duration::ZERO,
        sections: sections.to_vec(),
        doc,
        base: None,
    }
}
