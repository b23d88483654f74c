//! Eras of the service.
//!
//! A service that comes back from an older copy has lost what it acknowledged since, and numbers
//! changes and leases from there again. It states a higher era from then on. [`open`] adds a multiple
//! of the era to each revision, so that revisions rise across eras, are never given out twice, and
//! are the same for all instances:
//!
//! - A write on a revision of an earlier era is not sent, since the number may belong to another
//!   write by now. It conflicts with what the key has in this era.
//! - A lease that was granted in an earlier era counts as ended.
//! - A response of an earlier era that arrives late changes nothing.
//!
//! What remains: a conditional write that is on its way while the service comes back may meet the
//! expected number by coincidence. Its outcome is reported as unknown.

use {
    crate::{
        Call, Error, Item, Page, Purpose, Record, Result, Revision, Store, StoreResponse,
        metrics::Kind, port::LeaseId,
    },
    futures_util::future::BoxFuture,
    indexmap::IndexMap,
    std::sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

/// Number of an era of the service; zero if it states none.
pub type Era = u64;

/// Binary digits by which revisions of consecutive eras are apart; far more changes than a service
/// can lose.
const ERA_SHIFT: u32 = 44;
/// Largest era.
const MAX_ERA: Era = 1 << 18;
/// Maximum number of leases remembered.
const MAX_LEASES: usize = 64;

/// Era of a revision, if the service gives out numbers below 2 to the power of 44.
pub fn era_of(revision: Revision) -> Era {
    revision >> ERA_SHIFT
}

/// Revision below all that are given out in `era`. As an expectation it means that the key is absent.
pub fn floor(era: Era) -> Revision {
    era.min(MAX_ERA) << ERA_SHIFT
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

/// Leases that this process was granted, with their eras.
#[derive(Debug, Default)]
struct Leases(Mutex<IndexMap<LeaseId, Era>>);

impl Leases {
    fn record(&self, lease: LeaseId, era: Era) {
        let mut leases = self.lock();
        leases.shift_remove(&lease);
        if leases.len() >= MAX_LEASES {
            leases.shift_remove_index(0);
        }
        leases.insert(lease, era);
    }

    fn is_outdated(&self, lease: LeaseId, newest: Era) -> bool {
        self.lock().get(&lease).is_some_and(|era| *era < newest)
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<LeaseId, Era>> {
        self.0.lock().expect("the lock of the leases is not poisoned")
    }
}

/// Returns a store whose calls `execute` carries out, with the numbers that the service gives out.
pub fn open(
    execute: impl Fn(Purpose, Call) -> BoxFuture<'static, Answer> + Send + Sync + 'static,
) -> Store {
    let newest = Arc::<NewestEra>::default();
    let shared = Arc::new(Shared {
        newest: newest.clone(),
        leases: Leases::default(),
        execute: Box::new(execute),
    });
    let store = Store::new(move |purpose, call| {
        let shared = shared.clone();
        Box::pin(async move { shared.run(purpose, call).await })
    });
    store.with_eras(newest)
}

type ExecuteFn = dyn Fn(Purpose, Call) -> BoxFuture<'static, Answer> + Send + Sync;

struct Shared {
    newest: Arc<NewestEra>,
    leases: Leases,
    execute: Box<ExecuteFn>,
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

impl Shared {
    async fn run(&self, purpose: Purpose, call: Call) -> Result<StoreResponse> {
        let sent_in = self.newest.get();
        let (call, outdated) = match self.narrow(call, sent_in) {
            Narrowed::Send(call) => (call, false),
            Narrowed::Outdated { key } => (Call::Get { key }, true),
            Narrowed::LeaseGone => return Ok(StoreResponse::LeaseGone),
        };
        let (stated, result) = (self.execute)(purpose, call.clone()).await;
        match self.widen(sent_in, &call, stated, result)? {
            StoreResponse::Value(found) if outdated => Ok(StoreResponse::Conflict(found)),
            response => Ok(response),
        }
    }

    fn narrow(&self, call: Call, era: Era) -> Narrowed {
        let base = floor(era);
        Narrowed::Send(match call {
            Call::Swap { lease: Some(lease), .. }
            | Call::Renew { lease }
            | Call::Revoke { lease }
                if self.leases.is_outdated(lease, era) =>
            {
                return Narrowed::LeaseGone;
            }
            Call::Swap { key, expect, value, lease } => match (expect, expect.checked_sub(base)) {
                (0, _) => Call::Swap { key, expect, value, lease },
                (_, Some(expect)) => Call::Swap { key, expect, value, lease },
                (_, None) => return Narrowed::Outdated { key },
            },
            Call::Watch { key, after, wait } => {
                Call::Watch { key, after: after.saturating_sub(base), wait }
            }
            call @ (Call::Get { .. }
            | Call::List { .. }
            | Call::Range { .. }
            | Call::Grant { .. }
            | Call::Renew { .. }
            | Call::Revoke { .. }) => call,
        })
    }

    /// Adds the era to the numbers of a response to `call`, which was sent in the era `sent_in`.
    fn widen(
        &self,
        sent_in: Era,
        call: &Call,
        stated: Option<Era>,
        result: Result<StoreResponse>,
    ) -> Result<StoreResponse> {
        let era = self.newest.observe(stated);
        let response = result?;
        let conditional = matches!(call, Call::Swap { expect, .. } if *expect != 0);
        let swapped = matches!(response, StoreResponse::Swapped(_));
        if era < self.newest.get() || conditional && swapped && era != sent_in {
            return Err(crossed(call));
        }
        let number = |revision: Revision| floor(era).saturating_add(revision);
        let record = |r: Record| Record { revision: number(r.revision), ..r };
        Ok(match response {
            StoreResponse::Value(found) => StoreResponse::Value(found.map(record)),
            StoreResponse::Conflict(found) => StoreResponse::Conflict(found.map(record)),
            StoreResponse::Page(Page { items, truncated }) => {
                let items = items.into_iter().map(|i| Item { record: record(i.record), ..i });
                StoreResponse::Page(Page { items: items.collect(), truncated })
            }
            StoreResponse::Swapped(revision) => StoreResponse::Swapped(number(revision)),
            StoreResponse::Granted(lease) => {
                self.leases.record(lease, era);
                StoreResponse::Granted(lease)
            }
            other @ (StoreResponse::Keys(_) | StoreResponse::Done | StoreResponse::LeaseGone) => {
                other
            }
        })
    }
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
