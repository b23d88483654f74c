//! Interned names keep their indices.

use agate_core::Interner;

#[test]
fn names_keep_index() {
    let mut t = Interner::new();
    let a = t.intern("a");
    let b = t.intern("b");
    assert_ne!(a, b);
    assert_eq!(t.intern("a"), a);
    assert_eq!(t.get("b"), Some(b));
    assert_eq!(t.name(a).map(|n| &**n), Some("a"));
    assert_eq!(t.get("c"), None);
}
