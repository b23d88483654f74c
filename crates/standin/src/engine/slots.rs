//! Slots of an engine, granted by priority, then in order of arrival.

use {
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    tokio::sync::oneshot,
};

/// Queue position of a waiting request: descending priority, then arrival number.
type QueueKey = (Reverse<i64>, u64);

#[derive(Debug, Default)]
struct Queue {
    free: usize,
    arrivals: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<Slot>>,
}

/// Slots of one engine; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    queue: Arc<Mutex<Queue>>,
}

/// An acquired slot. Dropping it passes the slot to the next waiting request.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Slots,
}

impl Slots {
    pub fn new(count: usize) -> Self {
        Self { queue: Arc::new(Mutex::new(Queue { free: count, ..Default::default() })) }
    }

    /// Waits until a slot is free and acquires it.
    pub async fn acquire(&self, priority: i64) -> Slot {
        let granted = {
            let mut q = self.queue.lock().expect("not poisoned");
            if q.free > 0 {
                q.free -= 1;
                return Slot { slots: self.clone() };
            }
            let (grant, granted) = oneshot::channel();
            q.arrivals += 1;
            let key = (Reverse(priority), q.arrivals);
            q.waiting.insert(key, grant);
            granted
        };
        granted.await.expect("the queue outlives its waiting requests")
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut q = self.slots.queue.lock().expect("not poisoned");
            let next = q.waiting.pop_first();
            q.free += usize::from(next.is_none());
            next
        };
        if let Some((_, grant)) = next {
            // If the request was cancelled, the slot is dropped here, which passes it to the next
            // one.
            let _ = grant.send(Slot { slots: self.slots.clone() });
        }
    }
}
