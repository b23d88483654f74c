//! Token budgets of organisations, as charged by one instance.
//!
//! Before a request waits for a slot, it is charged an upper bound of its tokens: the bytes of its
//! body, since a token has at least one byte, plus its limit of output tokens. What it does not use
//! is refunded when it ends. The charges stay within slices of the budget granted by the budget's
//! owner. [`agate_admit::budget`] makes the decisions; this module holds the state and calls the
//! owner.

use {
    agate_admit::budget::{
        Amount, CREDIT_DIVISOR, Period,
        spender::{SliceRequest, Spender},
    },
    agate_config::snapshot::BudgetEntry,
    futures_util::future::BoxFuture,
    indexmap::IndexMap,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, timeout_at},
};

/// Longest wait of a request for a slice.
const SLICE_LIMIT: Duration = Duration::from_secs(1);
/// Time after a failed call to the owner during which requests do not wait for another one.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Number of charges of the last request's size that should remain; with less, the next slice is
/// requested.
const SPARE_CHARGES: Amount = 4;

/// Requests a slice from the owner of a budget. Returns the total granted to this instance in the
/// period, or `None` if no owner responded.
pub type RequestSlice =
    Arc<dyn Fn(BudgetEntry, SliceRequest) -> BoxFuture<'static, Option<Amount>> + Send + Sync>;

/// Returns the time since the Unix epoch.
pub type WallClock = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Reason for which a request cannot be charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The budget is spent, or less is left than the request may cost. Contains the time until the
    /// next period.
    Spent(Duration),
    /// No owner of the budget responded, and the credit for this case is used up.
    Unreachable,
}

/// Identifies a budget by its name and the length of its period; a budget whose length changes is a
/// new one.
type Key = (Arc<str>, Duration);

#[derive(Default)]
struct Account {
    spender: Mutex<Spender>,
    // Held during a call to the owner, so that waiting requests share one call.
    ask_lock: tokio::sync::Mutex<()>,
    topping_up: AtomicBool,
    // Time of the last failed call to an owner.
    last_failure: Mutex<Option<Instant>>,
}

/// Accounts of this instance for every budget that it has charged.
pub struct BudgetAccounts {
    accounts: Mutex<IndexMap<Key, Arc<Account>>>,
    ask: RequestSlice,
    wall: WallClock,
    instances: AtomicU32,
}

/// Charge of one request. Dropping it refunds what was not used.
pub struct Charge {
    account: Arc<Account>,
    period: Period,
    amount: Amount,
    used: Amount,
}

impl Account {
    fn record_failure(&self) {
        *lock(&self.last_failure) = Some(Instant::now());
    }

    /// Whether the last call to an owner failed less than [`RETRY_PAUSE`] ago.
    fn paused(&self) -> bool {
        lock(&self.last_failure).is_some_and(|at| at.elapsed() < RETRY_PAUSE)
    }
}

impl Charge {
    /// Sets the actual cost of the request, limited to the amount charged.
    pub fn set_used(&mut self, used: Amount) {
        self.used = used.min(self.amount);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        lock(&self.account.spender).refund(self.period, self.amount - self.used);
    }
}

/// Number of the budget period that contains the time `wall`.
pub fn period(budget: &BudgetEntry, wall: Duration) -> Period {
    let number = wall.as_nanos() / budget.period.as_nanos().max(1);
    Period::try_from(number).unwrap_or(Period::MAX)
}

impl BudgetAccounts {
    /// Creates the accounts without any slice; `ask` calls the owners of budgets.
    pub fn open(ask: RequestSlice, wall: WallClock) -> Arc<Self> {
        Arc::new(Self { accounts: Mutex::default(), ask, wall, instances: AtomicU32::new(1) })
    }

    /// Sets the number of instances that share the credit.
    pub fn set_instances(&self, instances: u32) {
        self.instances.store(instances.max(1), Ordering::Relaxed);
    }

    /// Charges `amount`. Requests a slice from the owner first if too little is left of the last
    /// one.
    ///
    /// # Errors
    ///
    /// [`Denied`] if the owner has nothing left to grant, or if none responds in time and the
    /// credit is used up.
    pub async fn charge(
        self: &Arc<Self>,
        budget: &BudgetEntry,
        amount: Amount,
    ) -> Result<Charge, Denied> {
        let account = self.account(budget);
        if let Some(charge) = self.take(&account, budget, amount) {
            self.top_up(&account, budget, amount);
            return Ok(charge);
        }
        if account.paused() {
            self.top_up(&account, budget, amount);
            return self.take_on_credit(&account, budget, amount);
        }
        let until = Instant::now() + SLICE_LIMIT;
        let refilled = timeout_at(until, self.refill(&account, budget, amount)).await;
        if let Some(charge) = self.take(&account, budget, amount) {
            return Ok(charge);
        }
        match refilled {
            Ok(true) => Err(Denied::Spent(self.until_next_period(budget))),
            Ok(false) | Err(_) => {
                account.record_failure();
                self.take_on_credit(&account, budget, amount)
            }
        }
    }

    /// Tokens charged in the current period and not refunded.
    pub fn spent(&self, budget: &BudgetEntry) -> Amount {
        lock(&self.account(budget).spender).spent()
    }

    fn account(&self, budget: &BudgetEntry) -> Arc<Account> {
        let mut accounts = lock(&self.accounts);
        let key = (budget.name.clone(), budget.period);
        accounts.entry(key).or_default().clone()
    }

    fn take(&self, account: &Arc<Account>, budget: &BudgetEntry, amount: Amount) -> Option<Charge> {
        self.charge_by(account, budget, amount, |spender| spender.charge(amount))
    }

    /// Charges this instance's share of the credit that a budget has while no owner can be reached.
    fn take_on_credit(
        &self,
        account: &Arc<Account>,
        budget: &BudgetEntry,
        amount: Amount,
    ) -> Result<Charge, Denied> {
        let instances = Amount::from(self.instances.load(Ordering::Relaxed));
        let limit = budget.tokens / CREDIT_DIVISOR / instances;
        let charge = |spender: &mut Spender| spender.charge_on_credit(amount, limit);
        self.charge_by(account, budget, amount, charge).ok_or(Denied::Unreachable)
    }

    fn charge_by(
        &self,
        account: &Arc<Account>,
        budget: &BudgetEntry,
        amount: Amount,
        charge: impl FnOnce(&mut Spender) -> bool,
    ) -> Option<Charge> {
        let mut spender = lock(&account.spender);
        spender.advance(period(budget, (self.wall)()));
        let period = spender.period();
        let charged = charge(&mut spender);
        drop(spender);
        charged.then(|| Charge { account: account.clone(), period, amount, used: 0 })
    }

    /// Requests a slice unless another request's call brought enough. Returns whether an owner
    /// responded.
    async fn refill(&self, account: &Account, budget: &BudgetEntry, recent: Amount) -> bool {
        let _asking = account.ask_lock.lock().await;
        let Some(ask) = lock(&account.spender).ask(recent) else { return true };
        let Some(total) = (self.ask)(budget.clone(), ask).await else { return false };
        lock(&account.spender).grant(ask.period, total);
        *lock(&account.last_failure) = None;
        true
    }

    /// Requests the next slice in the background before the current one is used up.
    fn top_up(self: &Arc<Self>, account: &Arc<Account>, budget: &BudgetEntry, amount: Amount) {
        let recent = amount.saturating_mul(SPARE_CHARGES);
        let short = lock(&account.spender).ask(recent).is_some();
        if !short || account.topping_up.swap(true, Ordering::AcqRel) {
            return;
        }
        let (spends, account, budget) = (self.clone(), account.clone(), budget.clone());
        tokio::spawn(async move {
            if !spends.refill(&account, &budget, recent).await {
                account.record_failure();
            }
            account.topping_up.store(false, Ordering::Release);
        });
    }

    fn until_next_period(&self, budget: &BudgetEntry) -> Duration {
        let length = budget.period.as_nanos().max(1);
        let gone = (self.wall)().as_nanos() % length;
        Duration::from_nanos(u64::try_from(length - gone).unwrap_or(u64::MAX))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
