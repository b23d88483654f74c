//! Splits a stream of server-sent events (SSE) into complete events.
//!
//! Only complete events are forwarded, so that a stream interrupted within an event can resume at
//! another endpoint after the last event that the caller received.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event in the buffer, in bytes.
pub const MAX_EVENT: usize = 1 << 20;

/// Length of the longest boundary between two events, in bytes.
const MAX_BOUNDARY: usize = 4;

/// Buffers an incomplete event and remembers the identifier of the last complete one.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Adds received bytes and returns the events that are complete now, possibly none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // A boundary may begin within the bytes that were searched before.
        let searched = self.partial.len().saturating_sub(MAX_BOUNDARY - 1);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial[searched..]) else { return Bytes::new() };
        let whole = self.partial.split_to(searched + end).freeze();
        if let Some(id) = find_last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Identifier of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the bytes received so far end at an event boundary.
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Whether the incomplete event exceeds [`MAX_EVENT`].
    pub fn overflows(&self) -> bool {
        self.partial.len() > MAX_EVENT
    }

    /// Bytes of memory that the incomplete event takes.
    pub fn held(&self) -> usize {
        self.partial.capacity()
    }

    /// Discards the incomplete event of an interrupted stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// End of the last complete event; events end with an empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let carriage = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|i| i + 4);
    plain.max(carriage)
}

/// Identifier of the last event that has one.
fn find_last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.next().map(|id| String::from_utf8_lossy(id).trim().to_owned())
}
