//! Decides which usage windows are sealed and reported, without I/O.

use {
    crate::{
        Counts, Window,
        count::{end_of, window_of},
    },
    agate_core::Wall,
    agate_view::framing,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Key prefix of the sealed records.
pub const PREFIX: &str = "agate/sealed/";

/// Timing of usage windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Length of a window.
    pub length: Duration,
    /// Time after the end of a window by which every instance has written its counts.
    pub gather: Duration,
    /// Time after the end of a window from which a report is worthless.
    pub late: Duration,
}

/// Store key of the sealed record of `window`.
pub fn key(window: Window) -> String {
    format!("{PREFIX}{window:012}")
}

/// Window of the sealed record with this key; `None` for other keys.
pub fn window_in(key: &str) -> Option<Window> {
    key.strip_prefix(PREFIX)?.parse().ok()
}

/// Sealed counts of a window; every report of the window contains them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    counts: IndexMap<String, u64>,
}

impl Sealed {
    /// Creates the record of `counts`.
    pub fn new(counts: &Counts) -> Self {
        Self { counts: counts.iter().map(|(org, n)| (org.to_string(), *n)).collect() }
    }

    /// Number of requests by organisation.
    pub fn counts(&self) -> &IndexMap<String, u64> {
        &self.counts
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        framing::encode(self)
    }

    /// Decodes a record; `None` if it has another version or is damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        framing::decode(bytes)
    }
}

/// Windows whose counts are gathered and whose report is not too late, oldest first.
pub fn due_windows(settings: &Settings, now: Wall) -> impl Iterator<Item = Window> {
    let newest = window_of(now.saturating_sub(settings.gather), settings.length);
    let (length, late) = (settings.length, settings.late);
    let windows =
        newest.saturating_sub(late.as_nanos().div_ceil(length.as_nanos().max(1)) as u64)..newest;
    windows.filter(move |w| now < end_of(*w, length) + late)
}

/// Whether the record of a window is no longer needed.
pub fn is_expired(settings: &Settings, window: Window, now: Wall) -> bool {
    now > end_of(window, settings.length) + settings.late * 3
}
