//! Only whole events are passed on.

use {
    agate_relay::events::{MAX_EVENT, Splitter},
    rstest::rstest,
};

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nweight-versions: 3\nid: 30\ndata: c\n\n";

/// However the bytes are cut, the same events come out, and the last identifier is known.
#[rstest]
fn any_cut(#[values(1, 2, 3, 7, 14, 15, 16, 40, 200)] size: usize) {
    let mut splitter = Splitter::default();
    let mut out = Vec::new();
    for piece in STREAM.chunks(size) {
        let whole = splitter.push(piece);
        assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
        out.extend_from_slice(&whole);
    }
    assert_eq!(out, STREAM);
    assert!(splitter.is_whole());
    assert_eq!(splitter.last(), Some("30"));
}

/// A stream that breaks off in an event goes on behind the last whole one.
#[test]
fn broken_event() {
    let mut splitter = Splitter::default();
    assert_eq!(&splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert!(!splitter.is_whole());
    assert_eq!(splitter.last(), Some("1"));
    splitter.forget_rest();
    assert_eq!(&splitter.push(b"id: 2\r\ndata: b\r\n\r\n")[..], b"id: 2\r\ndata: b\r\n\r\n");
    assert_eq!(splitter.last(), Some("2"));
}

/// An event without an end does not grow without bound.
#[test]
fn endless_event() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT]);
    assert!(!splitter.overflows());
    splitter.push(b"x");
    assert!(splitter.overflows());
}
