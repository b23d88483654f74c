//! Cuts a stream of server-sent events into whole events.
//!
//! Only whole events are passed on, so that a stream which breaks off in the middle of one can go on
//! at another endpoint behind the last event that the caller has.

use bytes::{Bytes, BytesMut};

/// Largest part of an event that is kept while its end is missing, in bytes.
pub const MAX_EVENT: usize = 1 << 20;

/// Whole events cut off so far, with the identifier of the last one.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<String>,
}

impl Splitter {
    /// Takes bytes in and returns the whole events that are complete now, possibly none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_end(&self.rest) else { return Bytes::new() };
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Identifier of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether the bytes so far end with a whole event.
    pub fn is_whole(&self) -> bool {
        self.rest.is_empty()
    }

    /// Whether an event is longer than this system keeps.
    pub fn overflows(&self) -> bool {
        self.rest.len() > MAX_EVENT
    }

    /// Forgets the part of an event whose stream broke off.
    pub fn forget_rest(&mut self) {
        self.rest.clear();
    }
}

/// End of the last whole event; events end with an empty line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let carriage = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|i| i + 4);
    plain.max(carriage)
}

/// Identifier of the last event that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next().map(|id| String::from_utf8_lossy(id).trim().to_owned())
}
