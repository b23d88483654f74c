//! Resolves compare-and-swaps whose answer was lost.
//!
//! A write that carries its caller's token can be recognised when the key is read again. Sending
//! the same compare-and-swap again is safe, because both copies expect the same revision and at
//! most one of them can find it; what is never safe is to conclude from a lost answer, or from an
//! unchanged key, that the first copy will not take effect any more.

use {
    crate::{Call, Error, Purpose, Record, Reply, Result, Revision, Store},
    std::ops::ControlFlow,
};

/// Outcome of a resolved compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The caller's value was written at this revision.
    Done(Revision),
    /// The key had another revision; the caller's value was not written.
    Conflict(Option<Record>),
    /// The key was changed by another after a lost answer; the caller's value may have been there
    /// in between, and will not be written any more.
    Overtaken(Option<Record>),
}

/// Writes `value` if the key's revision is `expect`, resolving lost answers by reading the key.
///
/// `is_mine` recognises the caller's value in a record and must not accept any other's. At most
/// `attempts` writes are sent; if all their answers are lost and the key stays unchanged, the
/// outcome is returned as [`Error::Ambiguous`].
pub async fn swap_resolved(
    store: &Store,
    purpose: Purpose,
    write: &Write,
    attempts: u32,
    is_mine: impl Fn(&Record) -> bool,
) -> Result<Swap> {
    let mut sent = 0;
    let mut lost = None;
    while sent < attempts {
        sent += 1;
        let result = store.call(purpose, write.call()).await;
        if let ControlFlow::Break(outcome) = settle(result, &mut lost, &is_mine) {
            return outcome;
        }
        let present = store.get(purpose, write.key.clone()).await;
        if let ControlFlow::Break(outcome) = examine(present, write, &is_mine) {
            return Ok(outcome);
        }
    }
    Err(lost.unwrap_or_else(|| unexpected("no attempt allowed")))
}

/// A compare-and-swap that may be sent more than once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key to write.
    pub key: String,
    /// Revision that the key must have.
    pub expect: Revision,
    /// New value.
    pub value: Vec<u8>,
}

impl Write {
    fn call(&self) -> Call {
        let (key, value) = (self.key.clone(), Some(self.value.clone()));
        Call::Swap { key, expect: self.expect, value, lease: None }
    }
}

/// Ends unless the answer was lost, which is remembered in `lost`.
fn settle(
    result: Result<Reply>,
    lost: &mut Option<Error>,
    is_mine: &impl Fn(&Record) -> bool,
) -> ControlFlow<Result<Swap>> {
    match result {
        Ok(Reply::Swapped(r)) => ControlFlow::Break(Ok(Swap::Done(r))),
        Ok(Reply::Conflict(Some(r))) if is_mine(&r) => {
            ControlFlow::Break(Ok(Swap::Done(r.revision)))
        }
        Ok(Reply::Conflict(r)) if lost.is_some() => ControlFlow::Break(Ok(Swap::Overtaken(r))),
        Ok(Reply::Conflict(r)) => ControlFlow::Break(Ok(Swap::Conflict(r))),
        Ok(other) => ControlFlow::Break(Err(unexpected(&format!("reply {other:?}")))),
        Err(e @ Error::Ambiguous { .. }) => {
            *lost = Some(e);
            ControlFlow::Continue(())
        }
        // An earlier copy may still take effect, so this failure cannot stand for "not written".
        Err(e) => ControlFlow::Break(Err(lost.take().unwrap_or(e))),
    }
}

/// Ends if what is there now tells the outcome of the lost write.
fn examine(
    present: Result<Option<Record>>,
    write: &Write,
    is_mine: &impl Fn(&Record) -> bool,
) -> ControlFlow<Swap> {
    match present {
        Ok(Some(r)) if is_mine(&r) => ControlFlow::Break(Swap::Done(r.revision)),
        Ok(r) if r.as_ref().map_or(0, |r| r.revision) != write.expect => {
            ControlFlow::Break(Swap::Overtaken(r))
        }
        Ok(_) | Err(_) => ControlFlow::Continue(()),
    }
}

fn unexpected(cause: &str) -> Error {
    Error::Malformed { step: "swap", peer: "store".into(), cause: cause.into() }
}
