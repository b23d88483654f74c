//! Versions of streams that began lately.

use {
    crate::StreamId,
    agate_core::Mono,
    agate_view::{roster::Version, table::Name},
    indexmap::IndexMap,
    std::{mem, time::Duration},
};

/// Time for which a stream is remembered at least.
pub const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of streams in a generation.
const MAX_STREAMS: usize = 1 << 16;

/// Streams in two generations, of which the older one is dropped as a whole.
#[derive(Debug, Default)]
pub struct Begun {
    newer: IndexMap<StreamId, (Name, Version)>,
    older: IndexMap<StreamId, (Name, Version)>,
    /// When the newer generation began.
    since: Mono,
}

impl Begun {
    /// Remembers the version that brought the first event of a stream of `service`.
    pub fn add(&mut self, stream: StreamId, service: Name, version: Version, now: Mono) {
        if now.saturating_sub(self.since) > RETENTION || self.newer.len() >= MAX_STREAMS {
            self.older = mem::take(&mut self.newer);
            self.since = now;
        }
        self.newer.insert(stream, (service, version));
    }

    /// Service and version of a stream; `None` if it is not remembered.
    pub fn get(&self, stream: StreamId) -> Option<&(Name, Version)> {
        self.newer.get(&stream).or_else(|| self.older.get(&stream))
    }

    /// Streams of `service` with their versions.
    pub fn of_service<'a>(
        &'a self,
        service: &'a Name,
    ) -> impl Iterator<Item = (StreamId, &'a Version)> {
        let all = self.older.iter().chain(&self.newer);
        all.filter(move |(_, (s, _))| s == service).map(|(stream, (_, v))| (*stream, v))
    }
}
