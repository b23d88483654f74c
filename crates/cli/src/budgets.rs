//! Budget owners: each instance grants slices of the budgets that it owns.
//!
//! Every instance computes a budget's owner from its own view of the members. If the owner does not
//! respond, the requesting instance reserves and grants a slice itself. The reserved total in the
//! store bounds the spend, so disagreement about the owner wastes at most reserved tokens and never
//! exceeds the cap. The owner's decisions are made by [`agate_admit::budget`].

use {
    crate::mesh::Mesh,
    agate_admit::budget::{
        Amount, Period,
        owner::{Action, Input, Owner},
        spender::SliceRequest,
    },
    agate_config::snapshot::BudgetEntry,
    agate_flow::spend::{RequestSlice, WallClock, period},
    agate_route::ranking::{mix, name_hash},
    agate_store::{Purpose, Record, Store},
    agate_wire::{Answer, Name},
    futures_util::FutureExt,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, Weak},
        time::Duration,
    },
    tokio::{sync::Mutex, time::timeout},
};

/// Topic of a request for a slice.
pub(crate) const TOPIC: &str = "budget";
/// Key prefix of the records in the store.
const PREFIX: &str = "budgets/";
/// Version of the records and messages.
const VERSION: u8 = 1;
/// Timeout of a request to the owner; leaves time to reserve a slice without it.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum clock difference between two instances up to which the later period is accepted.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// Maximum number of reservations for one request.
const MAX_RESERVES: usize = 3;

/// A request for a slice of a budget, as sent between instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SliceQuery {
    version: u8,
    budget: String,
    cap: Amount,
    length: Duration,
    spender: String,
    period: Period,
    granted: Amount,
    want: Amount,
}

/// Total reserved in a period, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ReservedTotal {
    version: u8,
    period: Period,
    total: Amount,
}

/// Name of a budget and length of its period.
type Key = (String, Duration);
type SharedOwner = Arc<Mutex<Owner<String>>>;

/// Grants slices of the budgets that this instance owns, or whose owner did not respond.
pub struct BudgetOwners {
    name: String,
    mesh: Weak<Mesh>,
    store: Store,
    owners: Mutex<IndexMap<Key, SharedOwner>>,
    wall: WallClock,
}

impl BudgetOwners {
    /// Creates owners without reservations; they are read from `store` on demand.
    pub fn open(name: &str, mesh: &Arc<Mesh>, store: Store, wall: WallClock) -> Arc<Self> {
        let mesh = Arc::downgrade(mesh);
        Arc::new(Self { name: name.into(), mesh, store, owners: Mutex::default(), wall })
    }

    /// Returns the callback by which the request path requests slices.
    pub fn ask_owner(self: &Arc<Self>) -> RequestSlice {
        let budgets = self.clone();
        Arc::new(move |budget, ask| {
            let budgets = budgets.clone();
            async move { budgets.ask(&budget, ask).await }.boxed()
        })
    }

    async fn ask(&self, budget: &BudgetEntry, ask: SliceRequest) -> Option<Amount> {
        let request = SliceQuery {
            version: VERSION,
            budget: budget.name.to_string(),
            cap: budget.tokens,
            length: budget.period,
            spender: self.name.clone(),
            period: ask.period,
            granted: ask.granted,
            want: ask.want,
        };
        let mesh = self.mesh.upgrade()?;
        let live = mesh.live();
        let owner = remote_owner(&request.budget, &self.name, live.iter().map(|m| &m.name));
        if let Some(owner) = owner {
            let response = timeout(OWNER_TIMEOUT, mesh.ask(&owner, TOPIC, &request)).await;
            if let Ok(Some(total)) = response {
                return Some(total);
            }
            log::info!("budget {}: owner {owner} did not respond", request.budget);
        }
        self.grant(request).await
    }

    /// Handles a slice request of another instance.
    pub(crate) async fn serve(&self, request: Option<SliceQuery>) -> Answer {
        match request {
            Some(q) if q.version == VERSION => {
                let total = self.grant(q).await;
                total.map_or(Answer::Absent, |t| Answer::Bytes(crate::mesh::encode(&t)))
            }
            _ => Answer::Refused,
        }
    }

    /// Grants a slice and returns the spender's granted total; `None` if the store cannot be
    /// reached and nothing is left of earlier reservations.
    async fn grant(&self, q: SliceQuery) -> Option<Amount> {
        let entry = BudgetEntry { name: q.budget.as_str().into(), tokens: q.cap, period: q.length };
        if q.period > period(&entry, (self.wall)() + MAX_CLOCK_SKEW) {
            log::warn!("budget {}: the clock of {} is ahead", q.budget, q.spender);
            return None;
        }
        let key = (q.budget.clone(), q.length);
        let owned = self.owners.lock().await.entry(key).or_insert_with(|| new_owner(&q)).clone();
        let mut owner = owned.lock().await;
        owner.set_cap(q.cap);
        let mut total = q.granted;
        let mut reached = true;
        for _ in 0..MAX_RESERVES {
            let mut reserved = false;
            for action in owner.step(ask_input(&q)) {
                match action {
                    Action::Grant { total: t, .. } => total = total.max(t),
                    Action::Deny { .. } => {}
                    Action::Reserve { period, from, to } => {
                        reserved = self.reserve(&mut owner, &q, (period, from, to)).await;
                        reached = reserved;
                    }
                }
            }
            if total > q.granted || !reserved {
                break;
            }
        }
        (total > q.granted || reached).then_some(total)
    }

    /// Raises the reserved total in the store and passes the result to the owner. A conflict may
    /// lead to further reservations. Returns whether the store responded.
    async fn reserve(
        &self,
        owner: &mut Owner<String>,
        q: &SliceQuery,
        first: (Period, Amount, Amount),
    ) -> bool {
        let mut next = Some(first);
        for _ in 0..MAX_RESERVES {
            let Some(wanted) = next else { return true };
            let input = self.swap_total(q, wanted).await;
            let reached = input != Input::Lost;
            next = owner.step(input).into_iter().find_map(|action| match action {
                Action::Reserve { period, from, to } => Some((period, from, to)),
                Action::Grant { .. } | Action::Deny { .. } => None,
            });
            if !reached {
                return false;
            }
        }
        if next.is_some() {
            owner.step(Input::Lost);
        }
        true
    }

    /// Raises the reserved total with one compare-and-swap.
    async fn swap_total(&self, q: &SliceQuery, wanted: (Period, Amount, Amount)) -> Input<String> {
        let (period, from, to) = wanted;
        let key = format!("{PREFIX}{}/{}", q.budget, q.length.as_millis());
        let found = match self.store.get(Purpose::Record, key.clone()).await {
            Ok(found) => found,
            Err(e) => return reserve_failed(&key, &e.to_string()),
        };
        let (revision, held) = match decode(found.as_ref()) {
            Ok(held) => (found.map_or(0, |r| r.revision), held),
            Err(cause) => return reserve_failed(&key, cause),
        };
        let total = if held.period == period { held.total } else { 0 };
        if held.period > period {
            return reserve_failed(&key, "the record belongs to a later period");
        }
        if total != from {
            return Input::Conflict { period, total };
        }
        let record = ReservedTotal { version: VERSION, period, total: to };
        let value = crate::mesh::encode(&record);
        match self.store.swap(Purpose::Record, key.clone(), revision, value).await {
            Ok(Ok(_)) => Input::Reserved { period, total: to },
            Ok(Err(found)) => match decode(found.as_ref()) {
                Ok(held) if held.period == period => Input::Conflict { period, total: held.total },
                Ok(_) => reserve_failed(&key, "another owner wrote another period first"),
                Err(cause) => reserve_failed(&key, cause),
            },
            Err(e) => reserve_failed(&key, &e.to_string()),
        }
    }
}

fn new_owner(q: &SliceQuery) -> SharedOwner {
    Arc::new(Mutex::new(Owner::new(q.cap, q.period)))
}

fn ask_input(q: &SliceQuery) -> Input<String> {
    let (spender, period) = (q.spender.clone(), q.period);
    Input::Ask { spender, period, granted: q.granted, want: q.want }
}

fn reserve_failed(key: &str, cause: &str) -> Input<String> {
    log::warn!("cannot reserve in the store, record {key}: {cause}");
    Input::Lost
}

/// Decodes a reservation; a missing record counts as an empty one of period zero.
fn decode(record: Option<&Record>) -> Result<ReservedTotal, &'static str> {
    let Some(record) = record else {
        return Ok(ReservedTotal { version: VERSION, period: 0, total: 0 });
    };
    let held: Option<ReservedTotal> = crate::mesh::decode(&record.value);
    held.filter(|r| r.version == VERSION).ok_or("malformed record or unknown version")
}

/// Returns the instance that owns a budget; `None` if that is this instance.
fn remote_owner<'a>(
    budget: &str,
    own: &str,
    others: impl Iterator<Item = &'a Name>,
) -> Option<Name> {
    let rank = |name: &str| mix(name_hash(budget), name_hash(name));
    let best = others.max_by_key(|n| rank(n))?;
    (rank(best) > rank(own)).then(|| best.clone())
}
