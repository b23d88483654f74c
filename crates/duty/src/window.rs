//! Which windows are sealed and reported, as a pure function.

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

/// Prefix of the sealed records.
pub const PREFIX: &str = "agate/sealed/";

/// Times of usage windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Length of a window.
    pub length: Duration,
    /// Time from the end of a window until every instance has written its counts.
    pub gather: Duration,
    /// Time from the end of a window after which a report is worth nothing.
    pub late: Duration,
}

/// Key of the sealed record of `window`.
pub fn key(window: Window) -> String {
    format!("{PREFIX}{window:012}")
}

/// Window that a key names.
pub fn window_in(key: &str) -> Option<Window> {
    key.strip_prefix(PREFIX)?.parse().ok()
}

/// What is reported of a window, by whoever reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    counts: IndexMap<String, u64>,
}

impl Sealed {
    /// Seals `counts`.
    pub fn new(counts: &Counts) -> Self {
        Self { counts: counts.iter().map(|(org, n)| (org.to_string(), *n)).collect() }
    }

    /// The figures.
    pub fn counts(&self) -> &IndexMap<String, u64> {
        &self.counts
    }

    /// Bytes of the record.
    pub fn encode(&self) -> Vec<u8> {
        framing::encode(self)
    }

    /// Reads a record; `None` if another build wrote it or it is damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        framing::decode(bytes)
    }
}

/// Windows that are over for long enough and not yet too late, oldest first.
pub fn due(settings: &Settings, now: Wall) -> impl Iterator<Item = Window> {
    let newest = window_of(now.saturating_sub(settings.gather), settings.length);
    let (length, late) = (settings.length, settings.late);
    let windows =
        newest.saturating_sub(late.as_nanos().div_ceil(length.as_nanos().max(1)) as u64)..newest;
    windows.filter(move |w| now < end_of(*w, length) + late)
}

/// Whether a sealed record is older than anyone needs.
pub fn is_old(settings: &Settings, window: Window, now: Wall) -> bool {
    now > end_of(window, settings.length) + settings.late * 3
}
