//! Sends the own usage counts to the coordinators.

use {
    crate::{
        message::{Message, Usage},
        runner::SyncLoop,
    },
    agate_view::peers::Peer,
};

/// Usage rows in one message; they fit into a datagram.
const CHUNK_ROWS: usize = 40;

/// Which version of the own usage was sent to one coordinator, and which it acknowledged.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsagePush {
    /// Number of the usage round.
    pub round: u64,
    /// Version that was sent.
    pub version: u64,
    /// Version that was acknowledged.
    pub acknowledged: u64,
}

impl SyncLoop {
    /// Sends the counts that a coordinator has not acknowledged.
    pub(crate) async fn push_usage(&mut self) {
        let (version, windows) = (self.callbacks.usage)();
        let coordinators = self.coordinators();
        self.pushes.retain(|name, _| coordinators.iter().any(|p| p.name == *name));
        for peer in coordinators.iter().filter(|p| p.name != self.own.name) {
            self.round += 1;
            let round = self.round;
            let push = self.pushes.entry(peer.name.clone()).or_default();
            if push.acknowledged >= version {
                continue;
            }
            (push.round, push.version) = (round, version);
            let mut parts = 0;
            for (window, rows) in &windows {
                for chunk in rows.chunks(CHUNK_ROWS) {
                    parts += 1;
                    let (from, rows) = (self.incarnation.clone(), chunk.to_vec());
                    let usage = Usage { from, round, window: *window, rows };
                    self.sender.send(&Message::Usage(usage), peer.address).await;
                }
            }
            let from = self.incarnation.clone();
            self.sender.send(&Message::UsageEnd { round, parts, from }, peer.address).await;
        }
        self.report_acknowledged(version, &coordinators);
    }

    /// Reports which version of the own usage is stored on other instances: the one that the lease
    /// holder has, or the one that every coordinator has while the holder is unknown.
    fn report_acknowledged(&self, version: u64, coordinators: &[Peer]) {
        let others = coordinators.iter().filter(|p| p.name != self.own.name);
        let copied =
            others.filter_map(|p| self.pushes.get(&p.name)).map(|push| push.acknowledged).max();
        (self.callbacks.on_usage_copied)(copied.unwrap_or_default());
        let acknowledged = |name: &str| match name == self.own.name {
            true => version,
            false => self.pushes.get(name).map_or(0, |push| push.acknowledged),
        };
        if let Some(holder) =
            self.holder.as_deref().filter(|h| coordinators.iter().any(|p| p.name == *h))
        {
            return (self.callbacks.on_usage_held)(acknowledged(holder));
        }
        // Without listed instances there are no coordinators and nothing was sent.
        if let Some(least) = coordinators.iter().map(|p| acknowledged(&p.name)).min() {
            (self.callbacks.on_usage_held)(least);
        }
    }
}
