//! Statements that are passed on with probes and acknowledgements.
//!
//! At most one statement per member is queued, the newest. Each rides on a number of messages that
//! grows with the logarithm of the scope, those sent least often first, and none for longer than
//! [`LIFETIME`]: what a member missed until then, the comparison of views finds.

use {
    agate_core::Mono,
    agate_wire::{Name, Status, Update},
};

/// Transmissions of a statement for each decimal digit of the scope's size.
const TRANSMISSIONS: u32 = 4;
/// Least transmissions of a statement; few would leave out a member of a small scope now and then.
const MIN_TRANSMISSIONS: u32 = 8;
/// Time for which a statement is passed on.
const LIFETIME: Mono = Mono::from_secs(10);
/// Most statements in the queue.
const CAPACITY: usize = 256;

#[derive(Clone, Debug)]
struct Rumour {
    update: Update,
    sent: u32,
    since: Mono,
}

/// Queue of statements to pass on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumours {
    queue: Vec<Rumour>,
}

impl Rumours {
    /// Queues a statement in place of an older one about the same member.
    pub(crate) fn push(&mut self, update: Update, now: Mono) {
        self.queue.retain(|r| r.update.name != update.name);
        if self.queue.len() >= CAPACITY {
            let most = self.queue.iter().enumerate().max_by_key(|(_, r)| r.sent);
            if let Some((i, _)) = most {
                self.queue.swap_remove(i);
            }
        }
        self.queue.push(Rumour { update, sent: 0, since: now });
    }

    /// Drops all accusations.
    pub(crate) fn drop_accusations(&mut self) {
        self.queue.retain(|r| matches!(r.update.status, Status::Alive | Status::Left));
    }

    /// Drops statements that were passed on for long enough.
    pub(crate) fn expire(&mut self, now: Mono) {
        self.queue.retain(|r| now < r.since + LIFETIME);
    }

    /// Takes statements for one message of at most `budget` bytes to `to`.
    pub(crate) fn take(&mut self, budget: usize, members: usize, to: &Name) -> Vec<Update> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let limit = (TRANSMISSIONS * ((members + 2).ilog10() + 1)).max(MIN_TRANSMISSIONS);
        self.queue.sort_by_key(|r| r.sent);
        let mut left = budget;
        let mut taken = Vec::new();
        for r in &mut self.queue {
            let size = update_size(&r.update);
            if size > left || r.update.name == *to {
                continue;
            }
            left -= size;
            r.sent += 1;
            taken.push(r.update.clone());
        }
        self.queue.retain(|r| r.sent < limit);
        taken
    }

    /// Heap bytes of the queue, without strings shared with the view.
    pub(crate) fn bytes(&self) -> usize {
        self.queue.capacity() * size_of::<Rumour>()
    }
}

/// Upper bound of the encoded size of a statement, in bytes.
pub(crate) fn update_size(u: &Update) -> usize {
    let place = u.place.as_ref().map_or(0, |p| p.zone.len() + p.region.len() + 24);
    u.name.len() + u.accusers.iter().map(|a| a.len() + 2).sum::<usize>() + place + 16
}
