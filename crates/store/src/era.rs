//! Eras of the service.
//!
//! A service that comes back from an older copy has lost what it acknowledged since, and numbers
//! changes and leases from there again. It states a higher era from then on. [`open`] makes the era
//! the upper part of each revision and lease number, so that they rise across eras and are never
//! given out twice:
//!
//! - A write on a revision of an earlier era is not sent, since the number may belong to another
//!   write by now. It conflicts with what the key has in this era.
//! - A lease of an earlier era counts as ended.
//! - A response of an earlier era that arrives late changes nothing.
//!
//! What remains: a conditional write that is on its way while the service comes back may meet the
//! expected number by coincidence. Its outcome is reported as unknown.

use {
    crate::{
        Call, Error, Item, Page, Purpose, Record, Result, Revision, Store, StoreResponse,
        metrics::Kind,
    },
    futures_util::future::BoxFuture,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Number of an era of the service; zero if it states none.
pub type Era = u64;

/// Bits of a revision or lease number below its era.
const NUMBER_BITS: u32 = 44;
/// Largest number that the service may give out in one era.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Largest era.
const MAX_ERA: Era = u64::MAX >> NUMBER_BITS;

/// Era of a revision.
pub fn era_of(revision: Revision) -> Era {
    revision >> NUMBER_BITS
}

/// Revision below all that are given out in `era`. As an expectation it means that the key is absent.
pub fn floor(era: Era) -> Revision {
    era.min(MAX_ERA) << NUMBER_BITS
}

/// Response of the service, with the era that it stated.
pub type Answer = (Option<Era>, Result<StoreResponse>);

/// Newest era that this process has seen.
#[derive(Debug, Default)]
pub struct NewestEra(AtomicU64);

impl NewestEra {
    /// The newest era.
    pub fn get(&self) -> Era {
        self.0.load(Ordering::Acquire)
    }

    /// Records the era that a response stated; returns the era of the response. A response without
    /// one is of the newest.
    fn observe(&self, stated: Option<Era>) -> Era {
        let Some(era) = stated.filter(|era| *era <= MAX_ERA) else { return self.get() };
        let known = self.0.fetch_max(era, Ordering::AcqRel);
        if era > known && known > 0 {
            log::warn!(event = "store_era", era, known; "the store has come back from an older copy");
        }
        era
    }
}

/// Returns a store whose calls `execute` carries out, with the numbers that the service gives out.
pub fn open(
    execute: impl Fn(Purpose, Call) -> BoxFuture<'static, Answer> + Send + Sync + 'static,
) -> Store {
    let newest = Arc::<NewestEra>::default();
    let (service, execute) = (newest.clone(), Arc::new(execute));
    let store = Store::new(move |purpose, call| {
        let (newest, execute) = (service.clone(), execute.clone());
        Box::pin(async move { run(&newest, &*execute, purpose, call).await })
    });
    store.with_eras(newest)
}

async fn run(
    newest: &NewestEra,
    execute: &(impl Fn(Purpose, Call) -> BoxFuture<'static, Answer> + ?Sized),
    purpose: Purpose,
    call: Call,
) -> Result<StoreResponse> {
    let sent_in = newest.get();
    let call = match narrow(call, sent_in) {
        Narrowed::Send(call) => call,
        Narrowed::LeaseGone => return Ok(StoreResponse::LeaseGone),
        Narrowed::Outdated { key } => {
            let get = Call::Get { key };
            let (stated, result) = execute(purpose, get.clone()).await;
            return match widen(newest, sent_in, &get, stated, result)? {
                StoreResponse::Value(found) => Ok(StoreResponse::Conflict(found)),
                other => Ok(other),
            };
        }
    };
    let (stated, result) = execute(purpose, call.clone()).await;
    widen(newest, sent_in, &call, stated, result)
}

/// A call with the numbers that the service knows.
enum Narrowed {
    Send(Call),
    /// It needs a lease of an earlier era.
    LeaseGone,
    /// It writes `key` on a revision of an earlier era.
    Outdated {
        key: String,
    },
}

fn narrow(call: Call, era: Era) -> Narrowed {
    let earlier = |number: u64| number & MAX_NUMBER != 0 && era_of(number) < era;
    let number = |number: u64| number & MAX_NUMBER;
    Narrowed::Send(match call {
        Call::Swap { lease: Some(lease), .. } | Call::Renew { lease } | Call::Revoke { lease }
            if earlier(lease) =>
        {
            return Narrowed::LeaseGone;
        }
        Call::Swap { key, expect, .. } if earlier(expect) => return Narrowed::Outdated { key },
        Call::Swap { key, expect, value, lease } => {
            Call::Swap { key, expect: number(expect), value, lease: lease.map(number) }
        }
        Call::Watch { key, after, wait } => {
            Call::Watch { key, after: if earlier(after) { 0 } else { number(after) }, wait }
        }
        Call::Renew { lease } => Call::Renew { lease: number(lease) },
        Call::Revoke { lease } => Call::Revoke { lease: number(lease) },
        call @ (Call::Get { .. } | Call::List { .. } | Call::Range { .. } | Call::Grant { .. }) => {
            call
        }
    })
}

/// Adds the era to the numbers of a response to `call`, which was sent in the era `sent_in`.
fn widen(
    newest: &NewestEra,
    sent_in: Era,
    call: &Call,
    stated: Option<Era>,
    result: Result<StoreResponse>,
) -> Result<StoreResponse> {
    let era = newest.observe(stated);
    let response = result?;
    let conditional = matches!(call, Call::Swap { expect, .. } if *expect != 0);
    let by_chance = conditional && matches!(response, StoreResponse::Swapped(_)) && era != sent_in;
    if era < newest.get() || by_chance {
        return Err(crossed(call));
    }
    let record = |r: Record| Record { revision: floor(era) | r.revision, ..r };
    Ok(match response {
        StoreResponse::Value(found) => StoreResponse::Value(found.map(record)),
        StoreResponse::Conflict(found) => StoreResponse::Conflict(found.map(record)),
        StoreResponse::Page(Page { items, truncated }) => {
            let items = items.into_iter().map(|i| Item { record: record(i.record), ..i });
            StoreResponse::Page(Page { items: items.collect(), truncated })
        }
        StoreResponse::Swapped(revision) => StoreResponse::Swapped(floor(era) | revision),
        StoreResponse::Granted(lease) => StoreResponse::Granted(floor(era) | lease),
        other @ (StoreResponse::Keys(_) | StoreResponse::Done | StoreResponse::LeaseGone) => other,
    })
}

/// Error of a call that was on its way while the service came back.
fn crossed(call: &Call) -> Error {
    let (step, peer) = (Kind::of(call).label(), "store".to_owned());
    let cause = "the store came back from an older copy meanwhile".to_owned();
    match call.is_write() {
        true => Error::Ambiguous { step, peer, cause },
        false => Error::Unavailable { step, peer, cause },
    }
}
