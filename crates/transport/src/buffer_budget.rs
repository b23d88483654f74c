//! Limit on the bytes of responses that a process holds back until they are complete.
//!
//! Each response is bounded by itself, but the number of them is set by what endpoints state as their
//! capacity. Responses share one budget for what they hold beyond a small allowance; one that finds it
//! exhausted is given up, while short ones never need it.

use {
    crate::memory_budget::MemoryBudget,
    bytes::Bytes,
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering::Relaxed},
        },
    },
};

/// Bytes that each response may hold without drawing on the budget.
const ALLOWANCE: usize = 16 << 10;

#[derive(Debug)]
struct Shared {
    limit: usize,
    used: AtomicUsize,
    /// Callers, of which one that does not read gives way when the budget is exhausted.
    callers: Option<MemoryBudget>,
}

/// Budget that the responses of a process share; clones share it.
#[derive(Clone, Debug)]
pub struct BufferBudget(Arc<Shared>);

impl Default for BufferBudget {
    /// A budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl BufferBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Shared { limit, used: AtomicUsize::new(0), callers: None }))
    }

    /// A budget of `limit` bytes for responses to `callers`.
    pub fn for_callers(limit: usize, callers: MemoryBudget) -> Self {
        Self(Arc::new(Shared { limit, used: AtomicUsize::new(0), callers: Some(callers) }))
    }

    /// Accounts for one response, which holds nothing yet.
    pub fn account(&self) -> BufferAccount {
        BufferAccount { budget: self.clone(), drawn: 0 }
    }

    /// Bytes drawn by all responses.
    pub fn used(&self) -> usize {
        self.0.used.load(Relaxed)
    }
}

/// The budget for buffered responses is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for incomplete responses is exhausted")]
pub struct Exhausted;

impl From<Exhausted> for io::Error {
    fn from(e: Exhausted) -> Self {
        Self::new(io::ErrorKind::OutOfMemory, e)
    }
}

/// What one response draws from the budget; dropping it returns that.
#[derive(Debug)]
pub struct BufferAccount {
    budget: BufferBudget,
    drawn: usize,
}

impl BufferAccount {
    /// Sets the number of bytes that the response holds.
    ///
    /// # Errors
    ///
    /// If the budget does not allow them. What is drawn stays as it was.
    pub fn set(&mut self, held: usize) -> Result<(), Exhausted> {
        let needed = held.saturating_sub(ALLOWANCE);
        let Shared { limit, used, callers } = &*self.budget.0;
        if needed > self.drawn {
            let more = needed - self.drawn;
            let add = |used: usize| used.checked_add(more).filter(|sum| sum <= limit);
            if used.fetch_update(Relaxed, Relaxed, add).is_err() {
                // What it releases serves the next response, since releasing takes a while.
                callers.iter().for_each(MemoryBudget::drop_unread);
                return Err(Exhausted);
            }
        } else {
            used.fetch_sub(self.drawn - needed, Relaxed);
        }
        self.drawn = needed;
        Ok(())
    }
}

impl BufferAccount {
    /// Ties the account to the bytes that it accounts for, until the last copy of them is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.drawn == 0 { bytes } else { Bytes::from_owner(Held { bytes, _account: self }) }
    }
}

/// Bytes with what they draw.
struct Held {
    bytes: Bytes,
    _account: BufferAccount,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BufferAccount {
    fn drop(&mut self) {
        self.budget.0.used.fetch_sub(self.drawn, Relaxed);
    }
}
