//! Spend of organisations against their budgets, as one instance sees it.
//!
//! A request is charged an upper bound of its tokens before it waits for a slot: the bytes of its
//! body, since a token has at least one byte, and the tokens of answer that it may get. What it did
//! not use is given back when it ends. The charges stay within slices that the budget's owner
//! granted; [`agate_admit::budget`] decides, this module keeps its state and asks the owner.

use {
    agate_admit::budget::{
        Amount, CREDIT_SHARE, Period,
        spender::{Ask, Spender},
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
/// Time after a question without an answer in which requests do not wait for another one.
const PAUSE: Duration = Duration::from_secs(1);
/// Charges of the last request's size that should always be left; less is a reason to ask.
const SPARE: Amount = 4;

/// Asks the owner of a budget for a slice; the answer is the total granted to this instance in the
/// period, or none if no owner could tell.
pub type AskOwner =
    Arc<dyn Fn(BudgetEntry, Ask) -> BoxFuture<'static, Option<Amount>> + Send + Sync>;

/// Time since the Unix epoch.
pub type Wall = Arc<dyn Fn() -> Duration + Send + Sync>;

/// Why a request may not be charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The budget is spent, or what is left is less than the request may cost; the next period
    /// begins after this time.
    Spent(Duration),
    /// No owner of the budget answered, and the credit for this case is used up.
    Unreachable,
}

/// One budget: its name and the length of its period. Another length is another budget.
type Key = (Arc<str>, Duration);

#[derive(Default)]
struct Account {
    spender: Mutex<Spender>,
    // Held while the owner is asked, so that requests that wait together ask once.
    asking: tokio::sync::Mutex<()>,
    topping: AtomicBool,
    // When an owner was last asked in vain.
    failed: Mutex<Option<Instant>>,
}

/// Spend of this instance against every budget that it met.
pub struct Spends {
    accounts: Mutex<IndexMap<Key, Arc<Account>>>,
    ask: AskOwner,
    wall: Wall,
    instances: AtomicU32,
}

/// Charge of one request; what it did not use is given back when the charge is dropped.
pub struct Charge {
    account: Arc<Account>,
    period: Period,
    amount: Amount,
    used: Amount,
}

impl Account {
    fn fail(&self) {
        *lock(&self.failed) = Some(Instant::now());
    }

    /// Whether an owner was asked in vain only a moment ago.
    fn paused(&self) -> bool {
        lock(&self.failed).is_some_and(|at| at.elapsed() < PAUSE)
    }
}

impl Charge {
    /// Sets what the request really cost, at most what was charged.
    pub fn use_up(&mut self, used: Amount) {
        self.used = used.min(self.amount);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        lock(&self.account.spender).refund(self.period, self.amount - self.used);
    }
}

/// Number of the period that `wall` lies in.
pub fn period(budget: &BudgetEntry, wall: Duration) -> Period {
    let number = wall.as_nanos() / budget.period.as_nanos().max(1);
    Period::try_from(number).unwrap_or(Period::MAX)
}

impl Spends {
    /// Starts without any slice; `ask` reaches the owners of budgets.
    pub fn open(ask: AskOwner, wall: Wall) -> Arc<Self> {
        Arc::new(Self { accounts: Mutex::default(), ask, wall, instances: AtomicU32::new(1) })
    }

    /// Sets the number of instances that know each other, which share the credit.
    pub fn set_instances(&self, instances: u32) {
        self.instances.store(instances.max(1), Ordering::Relaxed);
    }

    /// Charges `amount`, after asking the owner for a slice if too little is left of the last one.
    ///
    /// # Errors
    ///
    /// [`Denied`] if the owner has nothing left to grant or none answers in time.
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
            Ok(true) => Err(Denied::Spent(self.rest(budget))),
            Ok(false) | Err(_) => {
                account.fail();
                self.take_on_credit(&account, budget, amount)
            }
        }
    }

    /// Tokens charged in the current period and not given back.
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

    /// Charges this instance's part of the credit that a budget has while no owner can be asked.
    fn take_on_credit(
        &self,
        account: &Arc<Account>,
        budget: &BudgetEntry,
        amount: Amount,
    ) -> Result<Charge, Denied> {
        let instances = Amount::from(self.instances.load(Ordering::Relaxed));
        let limit = budget.tokens / CREDIT_SHARE / instances;
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

    /// Asks the owner unless another request's question brought enough; whether an owner answered.
    async fn refill(&self, account: &Account, budget: &BudgetEntry, recent: Amount) -> bool {
        let _asking = account.asking.lock().await;
        let Some(ask) = lock(&account.spender).ask(recent) else { return true };
        let Some(total) = (self.ask)(budget.clone(), ask).await else { return false };
        lock(&account.spender).grant(ask.period, total);
        *lock(&account.failed) = None;
        true
    }

    /// Asks for the next slice in the background before this one is used up.
    fn top_up(self: &Arc<Self>, account: &Arc<Account>, budget: &BudgetEntry, amount: Amount) {
        let recent = amount.saturating_mul(SPARE);
        let short = lock(&account.spender).ask(recent).is_some();
        if !short || account.topping.swap(true, Ordering::AcqRel) {
            return;
        }
        let (spends, account, budget) = (self.clone(), account.clone(), budget.clone());
        tokio::spawn(async move {
            if !spends.refill(&account, &budget, recent).await {
                account.fail();
            }
            account.topping.store(false, Ordering::Release);
        });
    }

    /// Time until the next period.
    fn rest(&self, budget: &BudgetEntry) -> Duration {
        let length = budget.period.as_nanos().max(1);
        let gone = (self.wall)().as_nanos() % length;
        Duration::from_nanos(u64::try_from(length - gone).unwrap_or(u64::MAX))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
