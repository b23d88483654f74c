//! Queue of membership updates that are piggybacked on probes and acknowledgements.
//!
//! The queue holds at most one update per member, the newest. Each update is sent on a number of
//! messages that grows with the logarithm of the scope's size, least-sent updates first, and for no
//! longer than [`LIFETIME`]. A member that misses an update in that time gets it by comparing
//! views.

use {
    agate_core::Mono,
    agate_wire::{Name, Status, Update},
};

/// Transmissions of an update for each decimal digit of the scope's size.
const TRANSMISSIONS: u32 = 4;
/// Minimum number of transmissions of an update. With fewer, an update sometimes misses a member of
/// a small scope.
const MIN_TRANSMISSIONS: u32 = 8;
/// Time for which an update is sent.
const LIFETIME: Mono = Mono::from_secs(10);
/// Maximum number of updates in the queue.
const CAPACITY: usize = 256;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    sent: u32,
    since: Mono,
}

/// Queue of updates to send.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    queue: Vec<QueuedUpdate>,
}

impl UpdateQueue {
    /// Queues an update in place of an older one about the same member. If the queue is full, the
    /// update that was sent most often is dropped.
    pub(crate) fn push(&mut self, update: Update, now: Mono) {
        self.queue.retain(|q| q.update.name != update.name);
        if self.queue.len() >= CAPACITY {
            let most_sent = self.queue.iter().enumerate().max_by_key(|(_, q)| q.sent);
            if let Some((i, _)) = most_sent {
                self.queue.swap_remove(i);
            }
        }
        self.queue.push(QueuedUpdate { update, sent: 0, since: now });
    }

    /// Drops all updates that report a member as suspected or failed.
    pub(crate) fn drop_accusations(&mut self) {
        self.queue.retain(|q| matches!(q.update.status, Status::Alive | Status::Left));
    }

    /// Drops updates older than [`LIFETIME`].
    pub(crate) fn expire(&mut self, now: Mono) {
        self.queue.retain(|q| now < q.since + LIFETIME);
    }

    /// Returns updates for one message to `to`, of at most `budget` bytes together, and counts them
    /// as sent. `members` is the number of live members in the scope.
    pub(crate) fn take(&mut self, budget: usize, members: usize, to: &Name) -> Vec<Update> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let limit = (TRANSMISSIONS * ((members + 2).ilog10() + 1)).max(MIN_TRANSMISSIONS);
        self.queue.sort_by_key(|q| q.sent);
        let mut remaining = budget;
        let mut taken = Vec::new();
        for q in &mut self.queue {
            let size = update_size(&q.update);
            if size > remaining || q.update.name == *to {
                continue;
            }
            remaining -= size;
            q.sent += 1;
            taken.push(q.update.clone());
        }
        self.queue.retain(|q| q.sent < limit);
        taken
    }

    /// Returns the heap bytes of the queue, without strings shared with the view.
    pub(crate) fn bytes(&self) -> usize {
        self.queue.capacity() * size_of::<QueuedUpdate>()
    }
}

/// Returns an upper bound of the encoded size of an update, in bytes.
pub(crate) fn update_size(u: &Update) -> usize {
    let place = u.place.as_ref().map_or(0, |p| p.zone.len() + p.region.len() + 24);
    u.name.len() + u.accusers.iter().map(|a| a.len() + 2).sum::<usize>() + place + 16
}
