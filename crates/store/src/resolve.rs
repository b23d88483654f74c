//! Resolves compare-and-swaps whose response was lost.
//!
//! A write whose value identifies its caller can be recognised when the key is read again.
//! Repeating the same compare-and-swap is safe: both copies expect the same revision, so at most
//! one of them succeeds. It is never safe to conclude from a lost response or an unchanged key that
//! the first copy will not take effect later.

use {
    crate::{Call, Error, Purpose, Record, Result, Revision, Store, StoreResponse},
    std::ops::ControlFlow,
};

/// Outcome of a resolved compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The caller's value was written at this revision.
    Done(Revision),
    /// The key had another revision; the caller's value was not written.
    Conflict(Option<Record>),
    /// Another writer changed the key after a lost response. The caller's value may have been there
    /// in between and will not be written any more.
    Superseded(Option<Record>),
}

/// Executes `write`, and resolves lost responses by reading the key.
///
/// `is_mine` recognises the caller's value in a record and must not accept any other. At most
/// `attempts` writes are sent.
///
/// # Errors
///
/// [`Error::Ambiguous`] if the outcome is unknown: all responses were lost and the key stayed
/// unchanged, or a later write failed while an earlier one may still take effect. Otherwise the
/// error of the first write, or [`Error::Malformed`] if `attempts` is zero.
pub async fn swap_resolved(
    store: &Store,
    purpose: Purpose,
    write: &Write,
    attempts: u32,
    is_mine: impl Fn(&Record) -> bool,
) -> Result<SwapOutcome> {
    let mut sent = 0;
    let mut lost = None;
    while sent < attempts {
        sent += 1;
        let result = store.call(purpose, write.call()).await;
        if let ControlFlow::Break(outcome) = on_write_result(result, &mut lost, &is_mine) {
            return outcome;
        }
        let current = store.get(purpose, write.key.clone()).await;
        if let ControlFlow::Break(outcome) = on_read_result(current, write, &is_mine) {
            return Ok(outcome);
        }
    }
    Err(lost.unwrap_or_else(|| malformed("no attempt allowed")))
}

/// Compare-and-swap that may be sent more than once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key to write.
    pub key: String,
    /// Expected revision of the key.
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

/// Evaluates the result of the write. Continues if the response was lost, and stores that error in
/// `lost`.
fn on_write_result(
    result: Result<StoreResponse>,
    lost: &mut Option<Error>,
    is_mine: &impl Fn(&Record) -> bool,
) -> ControlFlow<Result<SwapOutcome>> {
    match result {
        Ok(StoreResponse::Swapped(r)) => ControlFlow::Break(Ok(SwapOutcome::Done(r))),
        Ok(StoreResponse::Conflict(Some(r))) if is_mine(&r) => {
            ControlFlow::Break(Ok(SwapOutcome::Done(r.revision)))
        }
        Ok(StoreResponse::Conflict(r)) if lost.is_some() => {
            ControlFlow::Break(Ok(SwapOutcome::Superseded(r)))
        }
        Ok(StoreResponse::Conflict(r)) => ControlFlow::Break(Ok(SwapOutcome::Conflict(r))),
        Ok(other) => ControlFlow::Break(Err(malformed(&format!("response {other:?}")))),
        Err(e @ Error::Ambiguous { .. }) => {
            *lost = Some(e);
            ControlFlow::Continue(())
        }
        // An earlier copy may still take effect, so this failure does not mean "not written".
        Err(e) => ControlFlow::Break(Err(lost.take().unwrap_or(e))),
    }
}

/// Evaluates a read after a lost response. Continues if it does not determine the outcome.
fn on_read_result(
    current: Result<Option<Record>>,
    write: &Write,
    is_mine: &impl Fn(&Record) -> bool,
) -> ControlFlow<SwapOutcome> {
    match current {
        Ok(Some(r)) if is_mine(&r) => ControlFlow::Break(SwapOutcome::Done(r.revision)),
        Ok(r) if r.as_ref().map_or(0, |r| r.revision) != write.expect => {
            ControlFlow::Break(SwapOutcome::Superseded(r))
        }
        Ok(_) | Err(_) => ControlFlow::Continue(()),
    }
}

fn malformed(cause: &str) -> Error {
    Error::Malformed { step: "swap", peer: "store".into(), cause: cause.into() }
}
