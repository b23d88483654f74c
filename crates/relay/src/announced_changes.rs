//! Endpoints whose change of stage was announced, kept beyond the end of the instance that announced it.
//!
//! The leader announces the endpoints that it changes. If it ends or loses its lease, its successor
//! does not know of them, but the endpoints still reject requests until they have changed.

use {
    agate_core::Mono,
    agate_view::roster::Stage,
    indexmap::{IndexMap, map::Entry},
    std::time::Duration,
};

/// Time after the last announcement for which an endpoint counts as changing. Most responses end
/// and most changes are done within it.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// Stage of each endpoint, by the hash of its name.
pub type Stages = IndexMap<u32, Option<Stage>>;

#[derive(Clone, Copy, Debug)]
struct Change {
    /// Stage when the change was first announced.
    stage: Option<Stage>,
    heard: Mono,
}

/// Announced changes, by the hash of the endpoint's name.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedChanges {
    changes: IndexMap<u32, Change>,
}

impl AnnouncedChanges {
    /// Adds the endpoints announced at `now`; returns all that are still changing. A change is done
    /// when `stages` shows another stage, or no longer shows the endpoint.
    pub fn update(&mut self, announced: &[u32], stages: &Stages, now: Mono) -> Vec<u32> {
        for hash in announced {
            let Some(stage) = stages.get(hash).copied() else { continue };
            match self.changes.entry(*hash) {
                Entry::Occupied(mut entry) => entry.get_mut().heard = now,
                Entry::Vacant(entry) => {
                    entry.insert(Change { stage, heard: now });
                }
            }
        }
        self.changes.retain(|hash, change| {
            let unchanged = stages.get(hash) == Some(&change.stage);
            unchanged && now.saturating_sub(change.heard) < HOLD_TIME
        });
        self.changes.keys().copied().collect()
    }
}
