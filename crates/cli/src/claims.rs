//! Forwards claims of idempotency keys: batches of changes go to the instance that owns their
//! shard.
//!
//! Every instance computes the owner from its own view of the members. If a batch gets no response,
//! the sender's own writer handles it with the same tokens. Disagreement about the owner or a lost
//! owner therefore costs extra writes but never a second execution.

use {
    crate::mesh::Mesh,
    agate_idempotency::{
        ClaimCoordinator,
        entry::{Op, Verdict},
        forward::Forward,
        owner::{self, ShardId},
    },
    agate_wire::{Answer, Name},
    futures_util::FutureExt,
    std::sync::{Arc, Weak},
};

/// Topic of a batch of changes for the owner of their shard.
pub(crate) const TOPIC: &str = "claims";
/// Maximum number of changes in one message.
const MAX_OPS: usize = 256;

/// Returns the callback that sends batches to the owner of their shard among the live instances of
/// `mesh`.
pub(crate) fn forward(own: &str, mesh: &Arc<Mesh>) -> Forward {
    let (own, mesh): (Name, _) = (own.into(), Arc::downgrade(mesh));
    Arc::new(move |shard, ops| send(own.clone(), mesh.clone(), shard, ops).boxed())
}

async fn send(own: Name, mesh: Weak<Mesh>, shard: ShardId, ops: Vec<Op>) -> Option<Vec<Verdict>> {
    let mesh = mesh.upgrade()?;
    let live = mesh.live();
    let members = live.iter().map(|m| &*m.name).chain([&*own]);
    let owner = owner::owner(shard, members)?;
    if *owner == *own {
        return None;
    }
    mesh.ask(owner, TOPIC, &(shard, ops)).await
}

/// Handles a batch that another instance forwarded.
pub(crate) async fn serve(
    once: Option<ClaimCoordinator>,
    batch: Option<(ShardId, Vec<Op>)>,
) -> Answer {
    let Some(once) = once else { return Answer::Absent };
    match batch {
        Some((shard, ops)) if ops.len() <= MAX_OPS => {
            let verdicts = once.serve(shard, ops).await;
            verdicts.map_or(Answer::Absent, |v| Answer::Bytes(crate::mesh::encode(&v)))
        }
        _ => Answer::Refused,
    }
}
