//! Documents with a given number of organisations.

use agate_config::{
    Document,
    doc::{Key, Organisation},
    hash, parse,
};

/// Number of keys of each organisation.
const KEYS: usize = 2;

/// Returns the hexadecimal digest of a key.
pub fn hex(key: &str) -> String {
    hash::digest(key).iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the Savikoda example document with `count` organisations.
pub fn document(count: usize) -> Document {
    let text = include_str!("../../../../examples/savikoda.yaml");
    let mut doc = parse(text).expect("example parses");
    let grants = doc.organisations[0].clone();
    doc.organisations = (0..count).map(|i| (format!("org-{i:05}"), org(i, &grants))).collect();
    doc
}

fn org(i: usize, grants: &Organisation) -> Organisation {
    let key = |k| (format!("key-{k}"), Key { sha256: hex(&format!("secret-{i}-{k}")) });
    Organisation { keys: (0..KEYS).map(key).collect(), ..grants.clone() }
}
