//! Pool of idle connections for later requests to the same peer.
//!
//! The number of connections is limited for each peer and in total, and a connection is dropped
//! after a time without use. The pool is generic over the connection and takes the time as a
//! parameter, so that the limits can be tested.

use {
    agate_core::Mono,
    indexmap::IndexMap,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// Limits of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Maximum number of idle connections to one peer.
    pub per_peer: usize,
    /// Maximum number of idle connections in total.
    pub total: usize,
    /// Time after which an idle connection is dropped. It is shorter than the server's, so that the
    /// server rarely closes first.
    pub idle: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self { per_peer: 8, total: 256, idle: Duration::from_secs(10) }
    }
}

#[derive(Debug)]
struct IdleConnection<T> {
    connection: T,
    since: Mono,
}

/// Idle connections. Those of a peer are in the order of their last use.
#[derive(Debug)]
pub struct Pool<T> {
    limits: PoolLimits,
    peers: IndexMap<SocketAddr, VecDeque<IdleConnection<T>>>,
    count: usize,
}

impl<T> Pool<T> {
    /// Returns an empty pool.
    pub fn open(limits: PoolLimits) -> Self {
        Self { limits, peers: IndexMap::new(), count: 0 }
    }

    /// Removes and returns the connection to `peer` that was used last.
    pub fn take(&mut self, peer: SocketAddr, now: Mono) -> Option<T> {
        self.drop_expired(now);
        let connections = self.peers.get_mut(&peer)?;
        let entry = connections.pop_back()?;
        self.count -= 1;
        if connections.is_empty() {
            self.peers.swap_remove(&peer);
        }
        Some(entry.connection)
    }

    /// Adds a connection after a complete exchange. If a limit is exceeded, the connection that was
    /// idle longest is dropped.
    pub fn put(&mut self, peer: SocketAddr, connection: T, now: Mono) {
        self.drop_expired(now);
        if self.limits.per_peer == 0 || self.limits.total == 0 {
            return;
        }
        let connections = self.peers.entry(peer).or_default();
        connections.push_back(IdleConnection { connection, since: now });
        self.count += 1;
        if connections.len() > self.limits.per_peer {
            connections.pop_front();
            self.count -= 1;
        }
        if self.count > self.limits.total {
            self.drop_oldest();
        }
    }

    /// Drops all connections to `peer` and returns their number.
    pub fn purge(&mut self, peer: SocketAddr) -> usize {
        let dropped = self.peers.swap_remove(&peer).map_or(0, |connections| connections.len());
        self.count -= dropped;
        dropped
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Drops connections that exceed the idle time.
    fn drop_expired(&mut self, now: Mono) {
        let idle = self.limits.idle;
        self.peers.retain(|_, connections| {
            connections.retain(|entry| now.saturating_sub(entry.since) < idle);
            !connections.is_empty()
        });
        self.count = self.peers.values().map(VecDeque::len).sum();
    }

    fn drop_oldest(&mut self) {
        let oldest = |c: &VecDeque<IdleConnection<T>>| c.front().map(|entry| entry.since);
        let Some((&peer, _)) = self.peers.iter().min_by_key(|(_, connections)| oldest(connections))
        else {
            return;
        };
        let connections = &mut self.peers[&peer];
        connections.pop_front();
        self.count -= 1;
        if connections.is_empty() {
            self.peers.swap_remove(&peer);
        }
    }
}
