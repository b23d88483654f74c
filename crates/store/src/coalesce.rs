//! Joins reads of the same key.
//!
//! A read may join another only while that one has not been sent: a caller must see every change
//! that was acknowledged before it asked, and one that resolves a lost answer must not be told what
//! was there before it wrote. So per key one read runs, and later callers share the next.

use {
    crate::{Purpose, Reply, Result},
    futures_util::{
        FutureExt,
        future::{BoxFuture, Shared},
    },
    indexmap::IndexMap,
    std::sync::{Arc, Mutex},
};

/// Slots above which idle ones are dropped.
const MAX_IDLE: usize = 256;

/// A read that several callers share.
pub type Read = Shared<BoxFuture<'static, Result<Reply>>>;
type Key = (Purpose, String);

#[derive(Default)]
struct Slot {
    running: Arc<tokio::sync::Mutex<()>>,
    next: Option<Read>,
}

/// Reads that wait to be sent, by purpose and key.
#[derive(Clone, Default)]
pub struct Coalescer {
    slots: Arc<Mutex<IndexMap<Key, Slot>>>,
}

impl Coalescer {
    /// Returns the next read of `key`, made by `send` unless one waits already; and whether the
    /// caller joined an earlier one.
    pub fn join(
        &self,
        purpose: Purpose,
        key: &str,
        send: impl Future<Output = Result<Reply>> + Send + 'static,
    ) -> (Read, bool) {
        let id = (purpose, key.to_owned());
        let mut slots = self.slots.lock().expect("no holder of the lock panics");
        if slots.len() >= MAX_IDLE {
            slots.retain(|_, s| s.next.is_some() || Arc::strong_count(&s.running) > 1);
        }
        let slot = slots.entry(id.clone()).or_default();
        if let Some(read) = &slot.next {
            return (read.clone(), true);
        }
        let running = slot.running.clone();
        let all = self.slots.clone();
        let read = async move {
            let _turn = running.lock().await;
            if let Some(slot) = all.lock().expect("no holder of the lock panics").get_mut(&id) {
                slot.next = None;
            }
            send.await
        };
        let read = read.boxed().shared();
        slot.next = Some(read.clone());
        (read, false)
    }
}
