//! An index that changes once more names are interned would identify the wrong entity.

use agate_core::Interner;

#[test]
fn stable_index() {
    let mut t = Interner::new();
    let a = t.intern("a");
    let b = t.intern("b");
    assert_ne!(a, b);
    assert_eq!(t.intern("a"), a);
    assert_eq!(t.get("b"), Some(b));
    assert_eq!(t.name(a).map(|n| &**n), Some("a"));
    assert_eq!(t.get("c"), None);
}
