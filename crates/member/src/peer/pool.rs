//! Connections that are kept for the next request to the same peer.
//!
//! Their number is bounded for each peer and over all peers, and each is dropped after a time
//! without use. Generic over the connection and pure in time, so that the bounds can be tested.

use {
    agate_core::Mono,
    indexmap::IndexMap,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// Bounds of the kept connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most idle connections to one peer.
    pub each: usize,
    /// Most idle connections to all peers together.
    pub all: usize,
    /// Longest idle time; shorter than the server's, so that it is rarely the server that closes.
    pub idle: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { each: 8, all: 256, idle: Duration::from_secs(10) }
    }
}

#[derive(Debug)]
struct Kept<T> {
    link: T,
    since: Mono,
}

/// Idle connections, those of a peer in the order in which they were last used.
#[derive(Debug)]
pub struct Pool<T> {
    bounds: Bounds,
    peers: IndexMap<SocketAddr, VecDeque<Kept<T>>>,
    count: usize,
}

impl<T> Pool<T> {
    /// Opens an empty pool.
    pub fn open(bounds: Bounds) -> Self {
        Self { bounds, peers: IndexMap::new(), count: 0 }
    }

    /// Takes the connection to `peer` that was used last.
    pub fn take(&mut self, peer: SocketAddr, now: Mono) -> Option<T> {
        self.sweep(now);
        let links = self.peers.get_mut(&peer)?;
        let kept = links.pop_back()?;
        self.count -= 1;
        if links.is_empty() {
            self.peers.swap_remove(&peer);
        }
        Some(kept.link)
    }

    /// Keeps a connection after a whole exchange; the one that was idle longest gives way.
    pub fn put(&mut self, peer: SocketAddr, link: T, now: Mono) {
        self.sweep(now);
        if self.bounds.each == 0 || self.bounds.all == 0 {
            return;
        }
        let links = self.peers.entry(peer).or_default();
        links.push_back(Kept { link, since: now });
        self.count += 1;
        if links.len() > self.bounds.each {
            links.pop_front();
            self.count -= 1;
        }
        if self.count > self.bounds.all {
            self.drop_oldest();
        }
    }

    /// Drops all connections to `peer`; returns their number.
    pub fn purge(&mut self, peer: SocketAddr) -> usize {
        let dropped = self.peers.swap_remove(&peer).map_or(0, |links| links.len());
        self.count -= dropped;
        dropped
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Drops what has been idle for too long.
    fn sweep(&mut self, now: Mono) {
        let idle = self.bounds.idle;
        self.peers.retain(|_, links| {
            links.retain(|kept| now.saturating_sub(kept.since) < idle);
            !links.is_empty()
        });
        self.count = self.peers.values().map(VecDeque::len).sum();
    }

    fn drop_oldest(&mut self) {
        let oldest = |links: &VecDeque<Kept<T>>| links.front().map(|kept| kept.since);
        let Some((&peer, _)) = self.peers.iter().min_by_key(|(_, links)| oldest(links)) else {
            return;
        };
        let links = &mut self.peers[&peer];
        links.pop_front();
        self.count -= 1;
        if links.is_empty() {
            self.peers.swap_remove(&peer);
        }
    }
}
