//! One task per claim shard: gathers changes into batches and writes the shard's head.
//!
//! One write is in flight per shard, and a write starts at least one linger after the one before,
//! so a lone claim is not delayed and a busy shard costs a bounded number of writes. A statement of
//! an outcome rides on the next write, or on its own after a longer wait.
//!
//! A write whose result is unknown is repeated on the record then present: either the first one
//! had landed, and the batch finds its own tokens, or the repeated one makes it impossible for the
//! first to land.

use {
    crate::{
        entry::{Change, Op, Verdict},
        head::{self, Limits},
        owner::ShardId,
        shard::{self, View},
        tally::{Tally, count},
    },
    agate_core::Wall,
    agate_store::{Call, Error, Purpose, Reply, Store},
    std::{collections::VecDeque, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep, sleep_until},
    },
};

/// Changes that one batch holds at most.
const MAX_BATCH: usize = 4096;
/// Statements that are kept for a store that cannot be reached.
const MAX_OWED: usize = 16_384;
/// Pause before an attempt that failed is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Serial of the change by which a drain learns that all changes before it are in the store.
pub(crate) const BARRIER: u64 = u64::MAX;

/// Reads the wall clock, as time since the Unix epoch.
pub type WallClock = Arc<dyn Fn() -> Wall + Send + Sync>;

/// How a writer behaves.
#[derive(Clone)]
pub struct Pace {
    /// Least time between the starts of two writes.
    pub linger: Duration,
    /// Longest time that a statement of an outcome waits for a claim to ride with.
    pub settle: Duration,
    /// Time after which a batch that the store does not take is given up.
    pub give_up: Duration,
    /// Bounds of the records.
    pub limits: Limits,
    /// Wall clock for expiry.
    pub wall: WallClock,
}

/// A change with the place where its verdict goes; a dropped place means "not confirmed".
pub(crate) struct Item {
    pub op: Op,
    pub reply: Option<oneshot::Sender<Verdict>>,
    /// Whether the claimant is at another instance. Only a claimant's own instance may free a
    /// claim, since the claimant may have asked again by another way.
    pub foreign: bool,
}

impl Item {
    /// Whether this change only marks a place in the queue.
    pub fn is_barrier(&self) -> bool {
        self.op.token.serial == BARRIER
    }
}

pub(crate) struct Writer {
    pub store: Store,
    pub shard: ShardId,
    pub pace: Pace,
    pub incarnation: u64,
    tally: Arc<Tally>,
    view: Option<View>,
    owed: VecDeque<Op>,
    orphans: Vec<String>,
    swept: bool,
    sealed: u64,
    started: Option<Instant>,
}

impl Writer {
    pub fn new(
        store: Store,
        shard: ShardId,
        pace: Pace,
        incarnation: u64,
        tally: Arc<Tally>,
    ) -> Self {
        Self {
            store,
            shard,
            pace,
            incarnation,
            tally,
            view: None,
            owed: VecDeque::new(),
            orphans: Vec::new(),
            swept: false,
            sealed: 0,
            started: None,
        }
    }

    /// Runs until every sender is gone.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Item>) {
        let mut batch = Vec::new();
        let mut open = true;
        while open {
            open = self.gather(&mut queue, &mut batch).await;
            if !batch.is_empty() || !self.owed.is_empty() {
                self.started = Some(Instant::now());
                self.flush(std::mem::take(&mut batch)).await;
            }
        }
    }

    /// Fills the batch until it is due; false at the end of the queue.
    async fn gather(&self, queue: &mut mpsc::Receiver<Item>, batch: &mut Vec<Item>) -> bool {
        let mut due: Option<Instant> = match self.owed.is_empty() {
            true => None,
            false => Some(Instant::now() + self.pace.settle),
        };
        loop {
            let end = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let room = MAX_BATCH - batch.len();
            let before = batch.len();
            tokio::select! {
                biased;
                () = end => return true,
                n = queue.recv_many(batch, room) => if n == 0 {
                    return false;
                },
            }
            if batch.len() == MAX_BATCH {
                return true;
            }
            let mine = batch[before..].iter().map(|i| self.due(i)).min();
            due = due.into_iter().chain(mine).min();
        }
    }

    fn due(&self, item: &Item) -> Instant {
        let now = Instant::now();
        match item.op.change {
            Change::Claim { .. } | Change::Look { .. } => {
                self.started.map_or(now, |s| now.max(s + self.pace.linger))
            }
            _ => now + self.pace.settle,
        }
    }

    /// Decides a batch and writes it, or gives it up.
    async fn flush(&mut self, batch: Vec<Item>) {
        let end = Instant::now() + self.pace.give_up;
        let mut ops: Vec<Op> = self.owed.drain(..).collect();
        let owed = ops.len();
        ops.extend(batch.iter().map(|i| i.op.clone()));
        count(&self.tally.batches, 1);
        count(&self.tally.changes, ops.len() as u64);
        let mut fresh = false;
        loop {
            match self.attempt(&ops, &mut fresh).await {
                Ok(Some(verdicts)) => return self.deliver(batch, verdicts.into_iter().skip(owed)),
                Ok(None) => {}
                Err(e) => {
                    count(&self.tally.failed, 1);
                    log::debug!("claim shard {}: {e}", self.shard);
                    sleep(RETRY_PAUSE).await;
                }
            }
            if Instant::now() >= end {
                return self.give_up(ops, &batch);
            }
        }
    }

    /// One attempt; `None` if another writer was first and the batch must be decided anew.
    async fn attempt(
        &mut self,
        ops: &[Op],
        fresh: &mut bool,
    ) -> Result<Option<Vec<Verdict>>, Error> {
        if self.view.is_none() {
            self.sweep().await?;
            let mut view = View::default();
            view.refresh(&self.store, self.shard).await?;
            self.view = Some(view);
            *fresh = true;
        }
        let view = self.view.as_mut().expect("read above");
        let now = (self.pace.wall)().as_millis() as u64;
        let mut step = head::apply(&view.head, &view.index, ops, now, &self.pace.limits);
        if !step.changed {
            // Without a write, nothing shows that the view is not outdated.
            if !*fresh {
                *fresh = true;
                view.refresh(&self.store, self.shard).await?;
                return Ok(None);
            }
            return Ok(Some(step.verdicts));
        }
        let mut value = head::encode(&step.head);
        let mut sealed = None;
        if head::is_full(&step.head, value.len(), &self.pace.limits) {
            sealed = self.seal(&mut step.head).await?;
            value = head::encode(&step.head);
        }
        if value.len() > self.pace.limits.record {
            return Err(malformed("head too large"));
        }
        let view = self.view.as_mut().expect("read above");
        let key = shard::head_key(self.shard);
        match self.store.swap(Purpose::Claim, key, view.revision, value).await {
            Ok(Ok(revision)) => {
                view.install(revision, step.head);
                if let Some((name, segment)) = sealed {
                    head::index_segment(&mut view.index, &name, &segment);
                }
                self.discard(step.dropped.into_iter().map(|s| s.name).collect());
                Ok(Some(step.verdicts))
            }
            Ok(Err(present)) => {
                count(&self.tally.overtaken, 1);
                *fresh = true;
                // A view that could not be completed must not be decided on.
                let mut view = self.view.take().expect("read above");
                view.adopt(&self.store, self.shard, present).await?;
                self.view = Some(view);
                Ok(None)
            }
            Err(e) => {
                self.view = None;
                Err(e)
            }
        }
    }

    /// Writes the closed claims to a segment of a name that was never used.
    async fn seal(
        &mut self,
        next: &mut head::Head,
    ) -> Result<Option<(String, head::Segment)>, Error> {
        self.sealed += 1;
        let name = format!("{:016x}-{}", self.incarnation, self.sealed);
        let Some(segment) = head::seal(next, name.clone()) else { return Ok(None) };
        self.orphans.push(name.clone());
        let key = shard::segment_key(self.shard, &name);
        let value = head::encode(&segment);
        match self.store.swap(Purpose::Claim, key.clone(), 0, value).await? {
            Ok(_) => {
                count(&self.tally.sealed, 1);
                Ok(Some((name, segment)))
            }
            Err(_) => Err(malformed("segment name taken")),
        }
    }

    /// Looks once for segments that a writer left behind. Those that the head does not name are
    /// deleted after this writer's next head: a writer that was about to name one had read an
    /// earlier head, so its own write fails from then on.
    async fn sweep(&mut self) -> Result<(), Error> {
        if self.swept {
            return Ok(());
        }
        let prefix = shard::segment_key(self.shard, "");
        let call = Call::List { prefix: prefix.clone() };
        if let Reply::Keys(keys) = self.store.call(Purpose::Claim, call).await? {
            let names = keys.iter().filter_map(|k| k.strip_prefix(&prefix));
            self.orphans.extend(names.map(str::to_owned));
        }
        self.swept = true;
        Ok(())
    }

    /// Deletes segments that no head names any more. Called right after a head was written, which
    /// makes it impossible for an earlier write of unknown result to name one of them.
    fn discard(&mut self, mut names: Vec<String>) {
        let view = self.view.as_ref().expect("a head was written");
        names.append(&mut self.orphans);
        names.retain(|n| !view.head.segments.iter().any(|s| s.name == *n));
        if names.is_empty() {
            return;
        }
        let (store, shard) = (self.store.clone(), self.shard);
        tokio::spawn(async move {
            for name in names {
                delete(&store, shard::segment_key(shard, &name)).await;
            }
        });
    }

    /// Refuses the batch's claims, and keeps what must still be stated.
    fn give_up(&mut self, mut ops: Vec<Op>, batch: &[Item]) {
        count(&self.tally.abandoned, 1);
        self.view = None;
        let own = ops.len() - batch.len();
        let fresh = ops.split_off(own);
        ops.into_iter().for_each(|op| self.owe(op));
        for (mut op, item) in fresh.into_iter().zip(batch) {
            match op.change {
                Change::Look { .. } => continue,
                Change::Claim { .. } if item.foreign => continue,
                Change::Claim { .. } => op.change = Change::Free,
                _ => {}
            }
            self.owe(op);
        }
    }

    /// Keeps a statement for a later batch.
    fn owe(&mut self, op: Op) {
        if self.owed.len() == MAX_OWED {
            count(&self.tally.dropped, 1);
            log::warn!("claim shard {}: a statement was dropped, its claim stays open", self.shard);
            return;
        }
        self.owed.push_back(op);
    }

    /// Hands out verdicts, and frees what was won for a claimant that went away.
    fn deliver(&mut self, batch: Vec<Item>, verdicts: impl Iterator<Item = Verdict>) {
        for (item, verdict) in batch.into_iter().zip(verdicts) {
            let foreign = item.foreign;
            if let Some(op) = hand_over(item, verdict).filter(|_| !foreign) {
                self.owe(op);
            }
        }
    }
}

async fn delete(store: &Store, key: String) {
    let Ok(Some(record)) = store.get(Purpose::Claim, key.clone()).await else { return };
    let call = Call::Swap { key, expect: record.revision, value: None, lease: None };
    if let Err(e) = store.call(Purpose::Claim, call).await {
        log::debug!("an unused segment stays: {e}");
    }
}

/// Gives a verdict to its claimant; returns the statement that frees a claim nobody waits for.
pub(crate) fn hand_over(item: Item, verdict: Verdict) -> Option<Op> {
    let won = verdict == Verdict::Won;
    let sent = item.reply?.send(verdict).is_ok();
    (won && !sent).then_some(Op { change: Change::Free, ..item.op })
}

fn malformed(cause: &str) -> Error {
    Error::Malformed { step: "write claims", peer: "store".into(), cause: cause.into() }
}
