//! Coalesces reads of the same key.
//!
//! A caller may join another read only if that one has not been sent yet: it must see every change
//! that was acknowledged before its call, and one that resolves a lost response must not get the
//! state before its write. So one read per key is in flight, and later callers share the next one.

use {
    crate::{Purpose, Result, StoreResponse},
    futures_util::{
        FutureExt,
        future::{BoxFuture, Shared},
    },
    indexmap::IndexMap,
    std::sync::{Arc, Mutex},
};

/// Number of slots above which idle ones are dropped.
const MAX_SLOTS: usize = 256;

/// A read shared by several callers.
pub type Read = Shared<BoxFuture<'static, Result<StoreResponse>>>;
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
    /// Returns the next read of `key`, which `send` makes unless one is waiting already, and
    /// whether the caller joined an existing one.
    pub fn join(
        &self,
        purpose: Purpose,
        key: &str,
        send: impl Future<Output = Result<StoreResponse>> + Send + 'static,
    ) -> (Read, bool) {
        let id = (purpose, key.to_owned());
        let mut slots = self.slots.lock().expect("the lock of the read slots is not poisoned");
        if slots.len() >= MAX_SLOTS {
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
            if let Some(slot) =
                all.lock().expect("the lock of the read slots is not poisoned").get_mut(&id)
            {
                slot.next = None;
            }
            send.await
        };
        let read = read.boxed().shared();
        slot.next = Some(read.clone());
        (read, false)
    }
}
