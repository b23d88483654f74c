//! Sequence numbers of the requests to each peer.
//!
//! The peer rejects a request once as many later requests have overtaken it as its replay window
//! holds. So no new number is allocated while a request that far back is unanswered.

use {
    agate_wire::REPLAY_WINDOW,
    indexmap::IndexMap,
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::sync::Notify,
};

/// Maximum distance between the oldest unanswered request and the newest.
const MAX_SPAN: u64 = REPLAY_WINDOW / 2;

/// Sequence numbers of all peers. They are kept for the run of the process, since they must never
/// decrease.
#[derive(Debug, Default)]
pub struct SequenceNumbers {
    sequences: Mutex<IndexMap<SocketAddr, Arc<PeerNumbers>>>,
}

#[derive(Debug, Default)]
struct PeerNumbers {
    state: Mutex<SequenceState>,
    released: Notify,
}

#[derive(Debug, Default)]
struct SequenceState {
    last: u64,
    pending: BTreeSet<u64>,
}

/// Sequence number of a pending request. Dropping it marks the request as ended.
#[derive(Debug)]
pub struct SequenceGuard {
    numbers: Arc<PeerNumbers>,
    /// The allocated number.
    pub sequence: u64,
}

impl SequenceNumbers {
    /// Allocates the next number for `peer`. Waits while that could make the peer reject an earlier
    /// request as a replay.
    pub async fn allocate(&self, peer: SocketAddr) -> SequenceGuard {
        let numbers = {
            let mut sequences = self.sequences.lock().expect("no holder of the lock panics");
            sequences.entry(peer).or_default().clone()
        };
        loop {
            let released = numbers.released.notified();
            if let Some(sequence) = numbers.try_allocate() {
                return SequenceGuard { numbers: numbers.clone(), sequence };
            }
            released.await;
        }
    }
}

impl PeerNumbers {
    fn try_allocate(&self) -> Option<u64> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let oldest = state.pending.first().copied();
        if oldest.is_some_and(|oldest| state.last - oldest >= MAX_SPAN) {
            return None;
        }
        state.last += 1;
        let sequence = state.last;
        state.pending.insert(sequence);
        Some(sequence)
    }
}

impl Drop for SequenceGuard {
    fn drop(&mut self) {
        let mut state = self.numbers.state.lock().expect("no holder of the lock panics");
        state.pending.remove(&self.sequence);
        drop(state);
        self.numbers.released.notify_waiters();
    }
}
