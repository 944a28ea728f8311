//! Sends and receives the datagrams between relays.

use std::rc::Rc;

use log::{debug, warn};

use super::accept::while_accepting;
use super::{Shared, schema_version};
use crate::peers;
use crate::policy::api::PeerMessage;

impl Shared {
    /// Sends a cluster message to a peer, in a schema version that the peer reads.
    pub(super) fn send_to_peer(&self, peer: u32, message: &PeerMessage) {
        let text = peers::encode(message);
        let Some(channel) = &self.peer_channel else { return self.send_text_to_peer(peer, &text) };
        let mut datagrams = Vec::new();
        channel.borrow_mut().send(self.clock.now(), peer, &text, &mut datagrams);
        datagrams.iter().for_each(|datagram| self.send_text_to_peer(datagram.peer, &datagram.text));
    }

    /// Sends a datagram of text. Where the socket can't take the datagram now, it is lost, as any datagram
    /// may be.
    pub(super) fn send_text_to_peer(&self, peer: u32, text: &str) {
        self.send_datagram_to_peer(peer, text.as_bytes());
    }

    /// Sends a datagram of bytes, which may be lost.
    pub(super) fn send_datagram_to_peer(&self, peer: u32, datagram: &[u8]) {
        let Some(socket) = self.peer_socket.get() else { return };
        if let Some(address) = self.config.borrow().peers.get(peer as usize)
            && let Err(e) = socket.try_send_to(datagram, *address)
        {
            warn!("sending a datagram to relay {peer} failed: {e}");
        }
    }

    /// Handles a datagram from another relay. A datagram that holds no valid message is ignored.
    fn handle_datagram(self: &Rc<Self>, peer: u32, datagram: &[u8]) {
        if self.handle_maintenance_datagram(peer, datagram) {
            return;
        }
        if let Ok(text) = std::str::from_utf8(datagram)
            && let Some(message) = schema_version::decode(self, peer, text)
        {
            self.with_core(|relay, now| relay.receive_peer_message(now, peer, message));
        }
    }
}

/// Receives other relays' datagrams while this process accepts clients. Datagrams from addresses that are no
/// peer's are ignored.
pub async fn receive(shared: Rc<Shared>) {
    let Some(socket) = shared.peer_socket.get() else { return };
    let mut accepting = shared.accepting.subscribe();
    let mut buffer = [0; peers::RECEIVE_BUFFER_BYTES];
    loop {
        // While another process of this relay serves, datagrams are left for that process to receive.
        let received = while_accepting(&mut accepting, socket.recv_from(&mut buffer)).await;
        let Some(received) = received else { continue };
        match received {
            Ok((length, from)) => {
                let peer = shared.config.borrow().peers.iter().position(|address| *address == from);
                if let Some(peer) = peer {
                    shared.handle_datagram(peer as u32, &buffer[..length]);
                }
            }
            // The system reports the error of an earlier send here: the peer did not listen.
            Err(e) => debug!("receiving a datagram from a relay failed: {e}"),
        }
    }
}
