//! One task per claim shard that sends batches of changes to the shard's owner.
//!
//! A batch to which the owner does not respond goes to this instance's own writer with the same
//! tokens, so a change that reaches both writers takes effect once.

use {
    crate::{
        entry::{Op, Verdict},
        owner::ShardId,
        writer::{PendingChange, deliver_verdict},
    },
    futures_util::future::BoxFuture,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{Semaphore, mpsc},
        time::timeout,
    },
};

/// Most changes in one message.
const MAX_BATCH: usize = 256;
/// Most messages in in_flight to the owner of one shard.
const MAX_IN_FLIGHT: usize = 8;

/// Sends changes to a shard's owner. Returns one verdict for each change, or `None` if this
/// instance is the owner or the owner did not respond.
pub type Forward =
    Arc<dyn Fn(ShardId, Vec<Op>) -> BoxFuture<'static, Option<Vec<Verdict>>> + Send + Sync>;

pub(crate) struct Forwarder {
    pub shard: ShardId,
    pub forward: Forward,
    pub batch_delay: Duration,
    pub response_limit: Duration,
    pub writer: mpsc::Sender<PendingChange>,
}

impl Forwarder {
    /// Runs until every sender of `queue` is dropped.
    pub async fn run(self, mut queue: mpsc::Receiver<PendingChange>) {
        let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        loop {
            let mut batch = Vec::new();
            if queue.recv_many(&mut batch, MAX_BATCH).await == 0 {
                return;
            }
            tokio::time::sleep(self.batch_delay).await;
            while batch.len() < MAX_BATCH {
                let Ok(item) = queue.try_recv() else { break };
                batch.push(item);
            }
            let (barriers, batch): (Vec<_>, Vec<_>) =
                batch.into_iter().partition(PendingChange::is_barrier);
            if !batch.is_empty() {
                self.send(batch, &in_flight).await;
            }
            if !barriers.is_empty() {
                self.forward_barriers(barriers, &in_flight).await;
            }
        }
    }

    /// Sends a batch to the owner as soon as fewer than [`MAX_IN_FLIGHT`] messages are in in_flight.
    async fn send(&self, batch: Vec<PendingChange>, in_flight: &Arc<Semaphore>) {
        let permit = in_flight.clone().acquire_owned().await.expect("never closed");
        let sending = (self.forward)(self.shard, batch.iter().map(|i| i.op.clone()).collect());
        let (response_limit, writer) = (self.response_limit, self.writer.clone());
        tokio::spawn(async move {
            let response = timeout(response_limit, sending).await.ok().flatten();
            resolve_batch(batch, response, &writer).await;
            drop(permit);
        });
    }

    /// Forwards barriers to the writer after every earlier batch was decided or passed to the
    /// writer.
    async fn forward_barriers(&self, barriers: Vec<PendingChange>, in_flight: &Semaphore) {
        let all = in_flight.acquire_many(MAX_IN_FLIGHT as u32).await.expect("never closed");
        for barrier in barriers {
            let _ = self.writer.send(barrier).await;
        }
        drop(all);
    }
}

/// Delivers the owner's verdicts, or passes the batch to this instance's writer if there are none.
async fn resolve_batch(
    batch: Vec<PendingChange>,
    response: Option<Vec<Verdict>>,
    writer: &mpsc::Sender<PendingChange>,
) {
    let response = response.filter(|v| v.len() == batch.len());
    let Some(verdicts) = response else {
        for item in batch {
            if writer.send(item).await.is_err() {
                return;
            }
        }
        return;
    };
    for (item, verdict) in batch.into_iter().zip(verdicts) {
        if let Some(op) = deliver_verdict(item, verdict) {
            // If this fails, the claim stays open until it expires.
            let _ = writer.send(PendingChange { op, reply: None, forwarded: false }).await;
        }
    }
}
