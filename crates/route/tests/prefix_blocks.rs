//! Hashes of prompt prefixes.

use agate_route::prefix::{BLOCK_BYTES, blocks, salt};

fn text(blocks: usize, last: char) -> String {
    "a".repeat(blocks * BLOCK_BYTES) + &last.to_string().repeat(BLOCK_BYTES)
}

/// Prompts share the hashes of their common leading blocks and no others.
#[test]
fn common_blocks() {
    let (a, b) = (blocks(1, &[], &text(3, 'x')), blocks(1, &[], &text(3, 'y')));
    assert_eq!(a.len(), 4);
    assert_eq!(a[..3], b[..3]);
    assert_ne!(a[3], b[3]);
}

/// Guards against equal hashes for equal text of two organisations.
#[test]
fn organisations_isolated() {
    let (a, b) = (salt("kiln"), salt("board"));
    let common = blocks(a, &[], &text(3, 'x'));
    let other = blocks(b, &[], &text(3, 'x'));
    assert!(common.iter().all(|h| !other.contains(h)));
}

/// Only the complete blocks of a declared prefix have equal hashes for all organisations.
#[test]
fn declared_prefix_shared() {
    let shared = "a".repeat(2 * BLOCK_BYTES + 10);
    let (a, b) = (blocks(1, &[&shared], &text(3, 'x')), blocks(2, &[&shared], &text(3, 'x')));
    assert_eq!(a[..2], b[..2]);
    assert!(a[2..].iter().all(|h| !b[2..].contains(h)));
}
