//! One task per claim shard, which collects changes into batches and writes the shard's head.
//!
//! Each shard has at most one write in flight. A write starts at least one
//! [`WriterSettings::write_interval`] after the previous one, so a lone claim is not delayed and a
//! busy shard causes a limited number of writes. Outcomes are written with the next claim, or alone
//! after a longer delay.
//!
//! A write whose result is unknown is retried on the record as it then is. If the first write
//! succeeded, the batch finds its own tokens in the record. If it did not, the retry changes
//! the revision, so the first write can no longer succeed.

use {
    crate::{
        counters::{Counters, add},
        entry::{Change, Op, Verdict},
        head::{self, Limits},
        owner::ShardId,
        shard::{self, View},
    },
    agate_core::Wall,
    agate_store::{Call, Error, Purpose, Store, StoreResponse},
    std::{collections::VecDeque, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep, sleep_until},
    },
};

/// Most changes in one batch.
const MAX_BATCH: usize = 4096;
/// Most outcomes kept while the store is unavailable.
const MAX_DEFERRED: usize = 16_384;
/// Pause before a failed attempt is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Serial of a change that writes nothing. Its verdict shows that all changes queued before it are
/// in the store.
pub(crate) const BARRIER: u64 = u64::MAX;

/// Returns the wall-clock time since the Unix epoch.
pub type WallClock = Arc<dyn Fn() -> Wall + Send + Sync>;

/// Settings of a writer.
#[derive(Clone)]
pub struct WriterSettings {
    /// Least time between the starts of two writes.
    pub write_interval: Duration,
    /// Longest time that an outcome waits for a claim to be written with.
    pub outcome_delay: Duration,
    /// Time after which a batch that the store does not accept is abandoned.
    pub write_limit: Duration,
    /// Limits of the records.
    pub limits: Limits,
    /// Wall clock, used for expiry.
    pub clock: WallClock,
}

/// A queued change with the sender for its verdict. Dropping the sender means "not confirmed".
pub(crate) struct PendingChange {
    pub op: Op,
    pub reply: Option<oneshot::Sender<Verdict>>,
    /// Whether another instance forwarded the change. Only the instance that requested a claim may
    /// free it, since that instance may have repeated the request by another route.
    pub forwarded: bool,
}

impl PendingChange {
    /// Whether this is a barrier, which only marks a position in the queue.
    pub fn is_barrier(&self) -> bool {
        self.op.token.serial == BARRIER
    }
}

pub(crate) struct Writer {
    pub store: Store,
    pub shard: ShardId,
    pub settings: WriterSettings,
    pub incarnation: u64,
    counters: Arc<Counters>,
    view: Option<View>,
    deferred: VecDeque<Op>,
    unreferenced: Vec<String>,
    listed: bool,
    sealed: u64,
    last_write: Option<Instant>,
}

impl Writer {
    pub fn new(
        store: Store,
        shard: ShardId,
        settings: WriterSettings,
        incarnation: u64,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            store,
            shard,
            settings,
            incarnation,
            counters,
            view: None,
            deferred: VecDeque::new(),
            unreferenced: Vec::new(),
            listed: false,
            sealed: 0,
            last_write: None,
        }
    }

    /// Runs until every sender of `queue` is dropped.
    pub async fn run(mut self, mut queue: mpsc::Receiver<PendingChange>) {
        let mut batch = Vec::new();
        let mut open = true;
        while open {
            open = self.collect_batch(&mut queue, &mut batch).await;
            if !batch.is_empty() || !self.deferred.is_empty() {
                self.last_write = Some(Instant::now());
                self.flush(std::mem::take(&mut batch)).await;
            }
        }
    }

    /// Fills the batch until it is due. Returns false at the end of the queue.
    async fn collect_batch(
        &self,
        queue: &mut mpsc::Receiver<PendingChange>,
        batch: &mut Vec<PendingChange>,
    ) -> bool {
        let mut due: Option<Instant> = match self.deferred.is_empty() {
            true => None,
            false => Some(Instant::now() + self.settings.outcome_delay),
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

    fn due(&self, item: &PendingChange) -> Instant {
        let now = Instant::now();
        match item.op.change {
            Change::Claim { .. } | Change::Look { .. } => {
                self.last_write.map_or(now, |s| now.max(s + self.settings.write_interval))
            }
            _ => now + self.settings.outcome_delay,
        }
    }

    /// Applies and writes a batch, or abandons it after the time limit.
    async fn flush(&mut self, batch: Vec<PendingChange>) {
        let end = Instant::now() + self.settings.write_limit;
        let mut ops: Vec<Op> = self.deferred.drain(..).collect();
        let old = ops.len();
        ops.extend(batch.iter().map(|i| i.op.clone()));
        add(&self.counters.batches, 1);
        add(&self.counters.changes, ops.len() as u64);
        let mut fresh = false;
        loop {
            match self.attempt(&ops, &mut fresh).await {
                Ok(Some(verdicts)) => return self.deliver(batch, verdicts.into_iter().skip(old)),
                Ok(None) => {}
                Err(e) => {
                    add(&self.counters.failed, 1);
                    log::debug!("claim shard {}: {e}", self.shard);
                    sleep(RETRY_PAUSE).await;
                }
            }
            if Instant::now() >= end {
                return self.abandon(ops, &batch);
            }
        }
    }

    /// Attempts to write the batch once. Returns `None` if the copy of the head was outdated, so
    /// that the batch must be applied again.
    async fn attempt(
        &mut self,
        ops: &[Op],
        fresh: &mut bool,
    ) -> Result<Option<Vec<Verdict>>, Error> {
        if self.view.is_none() {
            self.find_unreferenced().await?;
            let mut view = View::default();
            view.refresh(&self.store, self.shard).await?;
            self.view = Some(view);
            *fresh = true;
        }
        let view = self.view.as_mut().expect("read above");
        let now = (self.settings.clock)().as_millis() as u64;
        let mut step = head::apply(&view.head, &view.index, ops, now, &self.settings.limits);
        if !step.changed {
            // Nothing was written, so only a new read can show that the copy is not outdated.
            if !*fresh {
                *fresh = true;
                view.refresh(&self.store, self.shard).await?;
                return Ok(None);
            }
            return Ok(Some(step.verdicts));
        }
        let mut value = head::encode(&step.head);
        let mut sealed = None;
        if head::is_full(&step.head, value.len(), &self.settings.limits) {
            sealed = self.seal(&mut step.head).await?;
            value = head::encode(&step.head);
        }
        if value.len() > self.settings.limits.record {
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
                self.delete_unreferenced(step.dropped.into_iter().map(|s| s.name).collect());
                Ok(Some(step.verdicts))
            }
            Ok(Err(present)) => {
                add(&self.counters.overtaken, 1);
                *fresh = true;
                // If the update fails, the incomplete copy is dropped, since no batch may be
                // applied to it.
                let mut view = self.view.take().expect("read above");
                view.update(&self.store, self.shard, present).await?;
                self.view = Some(view);
                Ok(None)
            }
            Err(e) => {
                self.view = None;
                Err(e)
            }
        }
    }

    /// Writes the closed claims to a segment with a new name.
    async fn seal(
        &mut self,
        next: &mut head::Head,
    ) -> Result<Option<(String, head::Segment)>, Error> {
        self.sealed += 1;
        let name = format!("{:016x}-{}", self.incarnation, self.sealed);
        let Some(segment) = head::seal(next, name.clone()) else { return Ok(None) };
        self.unreferenced.push(name.clone());
        let key = shard::segment_key(self.shard, &name);
        let value = head::encode(&segment);
        match self.store.swap(Purpose::Claim, key.clone(), 0, value).await? {
            Ok(_) => {
                add(&self.counters.sealed, 1);
                Ok(Some((name, segment)))
            }
            Err(_) => Err(malformed("segment name taken")),
        }
    }

    /// Lists once the segments in the store, to find those that no head references because their
    /// writer failed before it wrote the head. They are deleted after this writer's next write of
    /// the head. A writer that was about to reference one of them had read an earlier head, so its
    /// own write fails from then on.
    async fn find_unreferenced(&mut self) -> Result<(), Error> {
        if self.listed {
            return Ok(());
        }
        let prefix = shard::segment_key(self.shard, "");
        let call = Call::List { prefix: prefix.clone() };
        if let StoreResponse::Keys(keys) = self.store.call(Purpose::Claim, call).await? {
            let names = keys.iter().filter_map(|k| k.strip_prefix(&prefix));
            self.unreferenced.extend(names.map(str::to_owned));
        }
        self.listed = true;
        Ok(())
    }

    /// Deletes segments that the head does not reference. Called right after a write of the head,
    /// since from then on no earlier write with an unknown result can reference them.
    fn delete_unreferenced(&mut self, mut names: Vec<String>) {
        let view = self.view.as_ref().expect("a head was written");
        names.append(&mut self.unreferenced);
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

    /// Refuses the batch's claims, and keeps the outcomes for a later batch. A claim of this
    /// instance is replaced by the change that frees it.
    fn abandon(&mut self, mut ops: Vec<Op>, batch: &[PendingChange]) {
        add(&self.counters.abandoned, 1);
        self.view = None;
        let own = ops.len() - batch.len();
        let fresh = ops.split_off(own);
        ops.into_iter().for_each(|op| self.defer(op));
        for (mut op, item) in fresh.into_iter().zip(batch) {
            match op.change {
                Change::Look { .. } => continue,
                Change::Claim { .. } if item.forwarded => continue,
                Change::Claim { .. } => op.change = Change::Free,
                _ => {}
            }
            self.defer(op);
        }
    }

    /// Keeps an outcome for a later batch.
    fn defer(&mut self, op: Op) {
        if self.deferred.len() == MAX_DEFERRED {
            add(&self.counters.dropped, 1);
            log::warn!("claim shard {}: an outcome was dropped, its claim stays open", self.shard);
            return;
        }
        self.deferred.push_back(op);
    }

    /// Delivers verdicts, and frees claims whose requester stopped waiting.
    fn deliver(&mut self, batch: Vec<PendingChange>, verdicts: impl Iterator<Item = Verdict>) {
        for (item, verdict) in batch.into_iter().zip(verdicts) {
            let forwarded = item.forwarded;
            if let Some(op) = deliver_verdict(item, verdict).filter(|_| !forwarded) {
                self.defer(op);
            }
        }
    }
}

async fn delete(store: &Store, key: String) {
    let Ok(Some(record)) = store.get(Purpose::Claim, key.clone()).await else { return };
    let call = Call::Swap { key, expect: record.revision, value: None, lease: None };
    if let Err(e) = store.call(Purpose::Claim, call).await {
        log::debug!("an unreferenced segment was not deleted: {e}");
    }
}

/// Delivers a verdict. If it is a successful claim whose requester stopped waiting, returns the
/// change that frees the claim.
pub(crate) fn deliver_verdict(item: PendingChange, verdict: Verdict) -> Option<Op> {
    let won = verdict == Verdict::Won;
    let sent = item.reply?.send(verdict).is_ok();
    (won && !sent).then_some(Op { change: Change::Free, ..item.op })
}

fn malformed(cause: &str) -> Error {
    Error::Malformed { step: "write claims", peer: "store".into(), cause: cause.into() }
}
