//! Sequence numbers of the requests to one peer.
//!
//! The peer rejects a request that was overtaken by as many later ones as its replay window holds.
//! So no number is drawn while a request that far back is still unanswered.

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

/// Most numbers between the oldest unanswered request and the newest.
const SPAN: u64 = REPLAY_WINDOW / 2;

/// Numbers of all peers; kept as long as the process, since they may never fall.
#[derive(Debug, Default)]
pub struct Lines {
    lines: Mutex<IndexMap<SocketAddr, Arc<Line>>>,
}

#[derive(Debug, Default)]
struct Line {
    drawn: Mutex<Drawn>,
    freed: Notify,
}

#[derive(Debug, Default)]
struct Drawn {
    last: u64,
    open: BTreeSet<u64>,
}

/// Number of a request that is under way, until dropped.
#[derive(Debug)]
pub struct Ticket {
    line: Arc<Line>,
    /// The number.
    pub sequence: u64,
}

impl Lines {
    /// Draws the next number for `peer`; waits while that could make an earlier one look replayed.
    pub async fn draw(&self, peer: SocketAddr) -> Ticket {
        let line = {
            let mut lines = self.lines.lock().expect("no holder of the lock panics");
            lines.entry(peer).or_default().clone()
        };
        loop {
            let freed = line.freed.notified();
            if let Some(sequence) = line.try_draw() {
                return Ticket { line: line.clone(), sequence };
            }
            freed.await;
        }
    }
}

impl Line {
    fn try_draw(&self) -> Option<u64> {
        let mut drawn = self.drawn.lock().expect("no holder of the lock panics");
        let oldest = drawn.open.first().copied();
        if oldest.is_some_and(|oldest| drawn.last - oldest >= SPAN) {
            return None;
        }
        drawn.last += 1;
        let sequence = drawn.last;
        drawn.open.insert(sequence);
        Some(sequence)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut drawn = self.line.drawn.lock().expect("no holder of the lock panics");
        drawn.open.remove(&self.sequence);
        drop(drawn);
        self.line.freed.notify_waiters();
    }
}
