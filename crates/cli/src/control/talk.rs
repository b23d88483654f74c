//! What the holder of a piece and the other instances tell each other.
//!
//! About once a second the holder tells every instance which engines are drained and which roles
//! differ from the document; the answer is the work asked of the pool so far and the requests that
//! the instance still has at the drained engines.

use {
    agate_config::doc::Role,
    agate_core::{FenceToken, Mono},
    agate_flow::gate::Engines,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Topic of the messages.
pub const TOPIC: &str = "roles/tell";
/// Age beyond which drains are forgotten: the engine itself refuses work while it is drained.
const DRAIN_AGE: Duration = Duration::from_secs(5);

/// What a holder tells of its piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tell {
    /// Name of the piece.
    pub piece: String,
    /// Fencing token of the holder.
    pub fence: FenceToken,
    /// Pool that the piece is part of.
    pub pool: String,
    /// Engines that are to get no new work.
    pub draining: Vec<String>,
    /// Engines whose role is not that of the document.
    pub roles: Vec<(String, Role)>,
}

/// What an instance answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Said {
    /// Number that differs between starts of an instance.
    pub start: u64,
    /// Prompt tokens asked of the pool since that start.
    pub prompt: u64,
    /// Output tokens that the pool delivered since that start.
    pub output: u64,
    /// Requests open at each of the drained engines.
    pub open: Vec<u32>,
}

/// What was told of all pieces.
#[derive(Debug, Default)]
pub struct Told {
    pieces: IndexMap<String, (Mono, Tell)>,
}

impl Told {
    /// Takes over what the holder of a piece tells; false if it is not the latest holder.
    pub fn hear(&mut self, tell: Tell, now: Mono) -> bool {
        let known = self.pieces.get(&tell.piece).map_or(0, |(_, t)| t.fence);
        if tell.fence < known {
            return false;
        }
        self.pieces.insert(tell.piece.clone(), (now, tell));
        true
    }

    /// Forgets pieces that are no longer controlled.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.pieces.retain(|piece, _| keep(piece));
    }

    /// Engines as the request path takes them.
    pub fn engines(&self, now: Mono) -> Engines {
        let mut out = Engines::default();
        for (at, tell) in self.pieces.values() {
            if now < *at + DRAIN_AGE {
                out.draining.extend(tell.draining.iter().cloned());
            }
            out.roles.extend(tell.roles.iter().cloned());
        }
        out
    }
}
