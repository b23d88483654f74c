//! Messages between the lease holder of a piece and the other instances.
//!
//! About once a second the holder sends every instance the engines that are draining and the
//! engines whose role differs from the document. The instance responds with the work requested of
//! the pool so far and its open requests at the draining engines.

use {
    agate_config::doc::Role,
    agate_core::{FenceToken, Mono},
    agate_flow::proxy_state::EngineOverrides,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Topic of the messages.
pub const TOPIC: &str = "roles/tell";
/// Maximum age of a drain; the engine itself refuses work while it is draining.
const MAX_DRAIN_AGE: Duration = Duration::from_secs(5);

/// State of a piece, as its lease holder sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceUpdate {
    /// Name of the piece.
    pub piece: String,
    /// Fencing token of the holder.
    pub fence: FenceToken,
    /// Pool that the piece is part of.
    pub pool: String,
    /// Engines that must not get new requests.
    pub draining: Vec<String>,
    /// Engines whose role differs from the document.
    pub roles: Vec<(String, Role)>,
}

/// Work that an instance reports to a lease holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Random number that identifies a start of the instance.
    pub start: u64,
    /// Prompt tokens requested of the pool since that start.
    pub prompt: u64,
    /// Output tokens that the pool delivered since that start.
    pub output: u64,
    /// Open requests at each draining engine, in the order of the update.
    pub open: Vec<u32>,
}

/// Latest update of each piece.
#[derive(Debug, Default)]
pub struct PieceUpdates {
    pieces: IndexMap<String, (Mono, PieceUpdate)>,
}

impl PieceUpdates {
    /// Stores an update; false if its fencing token is older than the last one of the piece.
    pub fn update(&mut self, update: PieceUpdate, now: Mono) -> bool {
        let known = self.pieces.get(&update.piece).map_or(0, |(_, t)| t.fence);
        if update.fence < known {
            return false;
        }
        self.pieces.insert(update.piece.clone(), (now, update));
        true
    }

    /// Keeps only the pieces for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.pieces.retain(|piece, _| keep(piece));
    }

    /// Draining engines and changed roles, in the form that the request path takes.
    pub fn engine_overrides(&self, now: Mono) -> EngineOverrides {
        let mut out = EngineOverrides::default();
        for (at, update) in self.pieces.values() {
            if now < *at + MAX_DRAIN_AGE {
                out.draining.extend(update.draining.iter().cloned());
            }
            out.roles.extend(update.roles.iter().cloned());
        }
        out
    }
}
