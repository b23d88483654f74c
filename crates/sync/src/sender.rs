//! Sends messages to other instances.

use {
    crate::{message::Message, secret::SharedKeys},
    agate_wire::{Context, SealError, seal},
    std::{net::SocketAddr, sync::Arc},
    tokio::net::UdpSocket,
};

/// Whether datagrams to an address are sent.
pub type ReachFn = dyn Fn(SocketAddr) -> bool + Send + Sync;

/// Sends authenticated datagrams from the address of an instance.
#[derive(Clone)]
pub struct Sender {
    socket: Arc<UdpSocket>,
    keys: Arc<SharedKeys>,
    reaches: Arc<ReachFn>,
}

impl Sender {
    pub(crate) fn new(
        socket: Arc<UdpSocket>,
        keys: Arc<SharedKeys>,
        reaches: Arc<ReachFn>,
    ) -> Self {
        Self { socket, keys, reaches }
    }

    /// Sends a message. If it does not fit into a datagram, the smallest loads are dropped: an
    /// instance without responses would read everything from the store.
    pub async fn send(&self, message: &Message, to: SocketAddr) {
        if !(self.reaches)(to) {
            return;
        }
        let Some(keys) = self.keys.load() else { return };
        let mut sealed = seal(&keys, message, Context::Datagram(to));
        if matches!(sealed, Err(SealError::Large { .. })) {
            let mut shorter = message.clone();
            while matches!(sealed, Err(SealError::Large { .. })) && shorter.shorten() {
                sealed = seal(&keys, &shorter, Context::Datagram(to));
            }
        }
        match sealed {
            Ok(bytes) => {
                if let Err(e) = self.socket.send_to(&bytes, to).await {
                    log::debug!("failed to send to the instance at {to}: {e}");
                }
            }
            Err(e) => {
                log::warn!(event = "message_unsent", cause:% = e; "failed to seal a message")
            }
        }
    }
}
