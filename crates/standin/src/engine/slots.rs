//! The slots of an engine: taken by priority, then in order of arrival.

use {
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    tokio::sync::oneshot,
};

/// Order of a waiting request: greater priority first, then the earlier arrival.
type Order = (Reverse<i64>, u64);

#[derive(Debug, Default)]
struct Queue {
    free: usize,
    arrivals: u64,
    waiting: BTreeMap<Order, oneshot::Sender<Slot>>,
}

/// The slots of one engine; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    queue: Arc<Mutex<Queue>>,
}

/// One taken slot; dropping it gives the slot to the next request.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Slots,
}

impl Slots {
    pub fn new(count: usize) -> Self {
        Self { queue: Arc::new(Mutex::new(Queue { free: count, ..Default::default() })) }
    }

    /// Waits for a slot.
    pub async fn take(&self, priority: i64) -> Slot {
        let granted = {
            let mut q = self.queue.lock().expect("no panic while locked");
            if q.free > 0 {
                q.free -= 1;
                return Slot { slots: self.clone() };
            }
            let (grant, granted) = oneshot::channel();
            q.arrivals += 1;
            let order = (Reverse(priority), q.arrivals);
            q.waiting.insert(order, grant);
            granted
        };
        granted.await.expect("a queue of slots outlives its waiting requests")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut q = self.slots.queue.lock().expect("no panic while locked");
            let next = q.waiting.pop_first();
            q.free += usize::from(next.is_none());
            next
        };
        if let Some((_, grant)) = next {
            // A request that left meanwhile drops the slot, which passes it on.
            let _ = grant.send(Slot { slots: self.slots.clone() });
        }
    }
}
