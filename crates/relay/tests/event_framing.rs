//! Only complete events are forwarded.

use {
    agate_relay::events::{MAX_EVENT, Splitter},
    rstest::rstest,
};

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nweight-versions: 3\nid: 30\ndata: c\n\n";

/// However the bytes are split into chunks, the same events come out, and the last ID is known.
#[rstest]
fn any_chunking(#[values(1, 2, 3, 7, 14, 15, 16, 40, 200)] size: usize) {
    let mut splitter = Splitter::default();
    let mut out = Vec::new();
    for piece in STREAM.chunks(size) {
        let whole = splitter.push(piece);
        assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
        out.extend_from_slice(&whole);
    }
    assert_eq!(out, STREAM);
    assert!(splitter.is_complete());
    assert_eq!(splitter.last_id(), Some("30"));
}

/// A stream interrupted within an event resumes after the last complete one.
#[test]
fn interrupted_event() {
    let mut splitter = Splitter::default();
    assert_eq!(&splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert!(!splitter.is_complete());
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.discard_partial();
    assert_eq!(&splitter.push(b"id: 2\r\ndata: b\r\n\r\n")[..], b"id: 2\r\ndata: b\r\n\r\n");
    assert_eq!(splitter.last_id(), Some("2"));
}

/// Guards against unbounded memory use by an event that never ends.
#[test]
fn unbounded_event() {
    let mut splitter = Splitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT]);
    assert!(!splitter.overflows());
    splitter.push(b"x");
    assert!(splitter.overflows());
}
