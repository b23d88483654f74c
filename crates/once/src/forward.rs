//! One task per claim shard that hands batches of changes to the shard's owner.
//!
//! A batch that the owner does not answer goes to this instance's own writer, with the same tokens,
//! so that a change which reached both is still one change.

use {
    crate::{
        entry::{Op, Verdict},
        owner::ShardId,
        writer::{Item, hand_over},
    },
    futures_util::future::BoxFuture,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Semaphore, mpsc},
        time::timeout,
    },
};

/// Changes that one message holds at most.
const MAX_BATCH: usize = 256;
/// Messages under way to one shard's owner.
const MAX_FLIGHT: usize = 8;

/// Sends changes to a shard's owner; `None` if this instance is the owner or the owner did not
/// answer. The answer holds one verdict for each change.
pub type Forward =
    Arc<dyn Fn(ShardId, Vec<Op>) -> BoxFuture<'static, Option<Vec<Verdict>>> + Send + Sync>;

pub(crate) struct Forwarder {
    pub shard: ShardId,
    pub forward: Forward,
    pub gather: Duration,
    pub patience: Duration,
    pub writer: mpsc::Sender<Item>,
}

impl Forwarder {
    /// Runs until every sender is gone.
    pub async fn run(self, mut queue: mpsc::Receiver<Item>) {
        let flight = Arc::new(Semaphore::new(MAX_FLIGHT));
        loop {
            let mut batch = Vec::new();
            if queue.recv_many(&mut batch, MAX_BATCH).await == 0 {
                return;
            }
            tokio::time::sleep(self.gather).await;
            while batch.len() < MAX_BATCH {
                let Ok(item) = queue.try_recv() else { break };
                batch.push(item);
            }
            let (barriers, batch): (Vec<_>, Vec<_>) = batch.into_iter().partition(Item::is_barrier);
            if !batch.is_empty() {
                self.send(batch, &flight).await;
            }
            if !barriers.is_empty() {
                self.pass(barriers, &flight).await;
            }
        }
    }

    /// Sends a batch to the owner, once there is room among those under way.
    async fn send(&self, batch: Vec<Item>, flight: &Arc<Semaphore>) {
        let permit = flight.clone().acquire_owned().await.expect("never closed");
        let sending = (self.forward)(self.shard, batch.iter().map(|i| i.op.clone()).collect());
        let (patience, writer) = (self.patience, self.writer.clone());
        tokio::spawn(async move {
            let answer = timeout(patience, sending).await.ok().flatten();
            hand_on(batch, answer, &writer).await;
            drop(permit);
        });
    }

    /// Passes barriers on after every batch before them was decided or handed to the writer.
    async fn pass(&self, barriers: Vec<Item>, flight: &Semaphore) {
        let all = flight.acquire_many(MAX_FLIGHT as u32).await.expect("never closed");
        for barrier in barriers {
            let _ = self.writer.send(barrier).await;
        }
        drop(all);
    }
}

/// Delivers the owner's verdicts, or gives the batch to the own writer.
async fn hand_on(batch: Vec<Item>, answer: Option<Vec<Verdict>>, writer: &mpsc::Sender<Item>) {
    let answer = answer.filter(|v| v.len() == batch.len());
    let Some(verdicts) = answer else {
        for item in batch {
            if writer.send(item).await.is_err() {
                return;
            }
        }
        return;
    };
    for (item, verdict) in batch.into_iter().zip(verdicts) {
        if let Some(op) = hand_over(item, verdict) {
            // Left undone, the claim stays open until it expires.
            let _ = writer.send(Item { op, reply: None, foreign: false }).await;
        }
    }
}
