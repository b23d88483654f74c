//! Sends messages to other instances.

use {
    crate::{message::Message, secret::SharedKeys},
    agate_wire::{Context, SealError, seal},
    std::{net::SocketAddr, sync::Arc},
    tokio::net::UdpSocket,
};

/// Sends authenticated datagrams from the address of an instance.
#[derive(Clone)]
pub struct Sender {
    socket: Arc<UdpSocket>,
    keys: Arc<SharedKeys>,
}

impl Sender {
    pub(crate) fn new(socket: Arc<UdpSocket>, keys: Arc<SharedKeys>) -> Self {
        Self { socket, keys }
    }

    /// Sends a message. If it does not fit into a datagram, the smallest loads are dropped: an
    /// instance without responses would read everything from the store.
    pub async fn send(&self, message: &Message, to: SocketAddr) {
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
