//! Owners of budgets: each instance grants slices of the budgets that fall to it.
//!
//! Every instance chooses a budget's owner from the members it knows. If the owner does not answer,
//! the asker reserves and grants by itself: the reserved total in the store bounds the spend, so
//! disagreement costs a slab and never the cap. The owner's decisions are [`agate_admit::budget`]'s.

use {
    crate::mesh::Mesh,
    agate_admit::budget::{
        Amount, Period,
        owner::{Action, Input, Owner},
        spender::Ask,
    },
    agate_config::snapshot::BudgetEntry,
    agate_flow::spend::{AskOwner, Wall, period},
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

/// Topic of a question for a slice.
pub(crate) const TOPIC: &str = "budget";
/// Prefix of the records in the store.
const PREFIX: &str = "budgets/";
/// Version of the records and messages.
const VERSION: u8 = 1;
/// Longest wait for another instance, so that there is time left to reserve without it.
const OWNER_LIMIT: Duration = Duration::from_millis(400);
/// Difference of the clocks of two instances up to which the later one's period is taken over.
const SKEW: Duration = Duration::from_secs(5);
/// Reservations that one question may cause.
const MAX_RESERVES: usize = 3;

/// A question for a slice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Question {
    version: u8,
    budget: String,
    cap: Amount,
    length: Duration,
    spender: String,
    period: Period,
    granted: Amount,
    want: Amount,
}

/// Total reserved in a period, as the store holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Reserved {
    version: u8,
    period: Period,
    total: Amount,
}

/// A budget with the length of its period.
type Key = (String, Duration);
type Owned = Arc<Mutex<Owner<String>>>;

/// The budgets that this instance owns or had to grant from.
pub struct Budgets {
    name: String,
    mesh: Weak<Mesh>,
    store: Store,
    owned: Mutex<IndexMap<Key, Owned>>,
    wall: Wall,
}

impl Budgets {
    /// Starts with nothing reserved.
    pub fn open(name: &str, mesh: &Arc<Mesh>, store: Store, wall: Wall) -> Arc<Self> {
        let mesh = Arc::downgrade(mesh);
        Arc::new(Self { name: name.into(), mesh, store, owned: Mutex::default(), wall })
    }

    /// How the request path asks for slices.
    pub fn asking(self: &Arc<Self>) -> AskOwner {
        let budgets = self.clone();
        Arc::new(move |budget, ask| {
            let budgets = budgets.clone();
            async move { budgets.ask(&budget, ask).await }.boxed()
        })
    }

    async fn ask(&self, budget: &BudgetEntry, ask: Ask) -> Option<Amount> {
        let question = Question {
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
        let owner = owner(&question.budget, &self.name, live.iter().map(|m| &m.name));
        if let Some(owner) = owner {
            let asked = timeout(OWNER_LIMIT, mesh.ask(&owner, TOPIC, &question)).await;
            if let Ok(Some(total)) = asked {
                return Some(total);
            }
            log::info!("budget {}: owner {owner} gave no answer", question.budget);
        }
        self.grant(question).await
    }

    /// Answers a question of another instance.
    pub(crate) async fn serve(&self, question: Option<Question>) -> Answer {
        match question {
            Some(q) if q.version == VERSION => {
                let total = self.grant(q).await;
                total.map_or(Answer::Absent, |t| Answer::Bytes(crate::mesh::encode(&t)))
            }
            _ => Answer::Refused,
        }
    }

    /// Grants a slice; the result is the spender's total, or none if the store cannot be asked and
    /// nothing is left of what was reserved.
    async fn grant(&self, q: Question) -> Option<Amount> {
        let entry = BudgetEntry { name: q.budget.as_str().into(), tokens: q.cap, period: q.length };
        if q.period > period(&entry, (self.wall)() + SKEW) {
            log::warn!("budget {}: the clock of {} is ahead", q.budget, q.spender);
            return None;
        }
        let key = (q.budget.clone(), q.length);
        let owned = self.owned.lock().await.entry(key).or_insert_with(|| new_owner(&q)).clone();
        let mut owner = owned.lock().await;
        owner.set_cap(q.cap);
        let mut total = q.granted;
        let mut reached = true;
        for _ in 0..MAX_RESERVES {
            let mut reserved = false;
            for action in owner.step(question(&q)) {
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

    /// Raises the reserved total in the store and tells the owner how it went; whether the store
    /// gave an answer. A conflict may lead to further reservations.
    async fn reserve(
        &self,
        owner: &mut Owner<String>,
        q: &Question,
        first: (Period, Amount, Amount),
    ) -> bool {
        let mut next = Some(first);
        for _ in 0..MAX_RESERVES {
            let Some(wanted) = next else { return true };
            let input = self.raise(q, wanted).await;
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

    /// One compare-and-swap of the reserved total.
    async fn raise(&self, q: &Question, wanted: (Period, Amount, Amount)) -> Input<String> {
        let (period, from, to) = wanted;
        let key = format!("{PREFIX}{}/{}", q.budget, q.length.as_millis());
        let found = match self.store.get(Purpose::Record, key.clone()).await {
            Ok(found) => found,
            Err(e) => return lost(&key, &e.to_string()),
        };
        let (revision, held) = match decode(found.as_ref()) {
            Ok(held) => (found.map_or(0, |r| r.revision), held),
            Err(cause) => return lost(&key, cause),
        };
        let total = if held.period == period { held.total } else { 0 };
        if held.period > period {
            return lost(&key, "the record is of a later period");
        }
        if total != from {
            return Input::Conflict { period, total };
        }
        let record = Reserved { version: VERSION, period, total: to };
        let value = crate::mesh::encode(&record);
        match self.store.swap(Purpose::Record, key.clone(), revision, value).await {
            Ok(Ok(_)) => Input::Reserved { period, total: to },
            Ok(Err(found)) => match decode(found.as_ref()) {
                Ok(held) if held.period == period => Input::Conflict { period, total: held.total },
                Ok(_) => lost(&key, "another owner wrote another period first"),
                Err(cause) => lost(&key, cause),
            },
            Err(e) => lost(&key, &e.to_string()),
        }
    }
}

fn new_owner(q: &Question) -> Owned {
    Arc::new(Mutex::new(Owner::new(q.cap, q.period)))
}

fn question(q: &Question) -> Input<String> {
    let (spender, period) = (q.spender.clone(), q.period);
    Input::Ask { spender, period, granted: q.granted, want: q.want }
}

fn lost(key: &str, cause: &str) -> Input<String> {
    log::warn!("reserving at the store, record {key}: {cause}");
    Input::Lost
}

/// The reservation that a record holds; none yet counts as period zero.
fn decode(record: Option<&Record>) -> Result<Reserved, &'static str> {
    let Some(record) = record else {
        return Ok(Reserved { version: VERSION, period: 0, total: 0 });
    };
    let held: Option<Reserved> = crate::mesh::decode(&record.value);
    held.filter(|r| r.version == VERSION).ok_or("the record is damaged or of an unknown version")
}

/// The instance that owns a budget, if it is another one.
fn owner<'a>(budget: &str, own: &str, others: impl Iterator<Item = &'a Name>) -> Option<Name> {
    let rank = |name: &str| mix(name_hash(budget), name_hash(name));
    let best = others.max_by_key(|n| rank(n))?;
    (rank(best) > rank(own)).then(|| best.clone())
}
