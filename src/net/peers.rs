//! Drives the datagrams between relays.

use std::rc::Rc;

use log::warn;

use super::accept::while_accepting;
use super::{Shared, schema_version};
use crate::peers;
use crate::policy::api::PeerMessage;

impl Shared {
    /// Sends a message in the form that the relay reads.
    pub(super) fn send_to_peer(&self, peer: u32, message: &PeerMessage) {
        let text = peers::encode(message);
        let Some(post) = &self.peer_channel else { return self.send_text_to_peer(peer, &text) };
        let mut out = Vec::new();
        post.borrow_mut().send(self.clock.now(), peer, &text, &mut out);
        out.iter().for_each(|(peer, text)| self.send_text_to_peer(*peer, text));
    }

    /// Sends a datagram of text; one that cannot go now is lost, as any may be.
    pub(super) fn send_text_to_peer(&self, peer: u32, text: &str) {
        self.send_datagram_to_peer(peer, text.as_bytes());
    }

    /// Sends a datagram; the same holds.
    pub(super) fn send_datagram_to_peer(&self, peer: u32, datagram: &[u8]) {
        let Some(socket) = self.peers.get() else { return };
        if let Some(address) = self.config.borrow().peers.get(peer as usize)
            && let Err(e) = socket.try_send_to(datagram, *address)
        {
            warn!("telling relay {peer}: {e}");
        }
    }
}

/// Receives what other relays tell. A bad datagram, or one from elsewhere, is ignored.
pub async fn receive(shared: Rc<Shared>) {
    let Some(socket) = shared.peers.get() else { return };
    let mut gate = shared.accepting.subscribe();
    let mut buffer = [0; peers::BUFFER];
    loop {
        // What comes while another process serves is for that one.
        let received = while_accepting(&mut gate, socket.recv_from(&mut buffer)).await;
        let Some(received) = received else { continue };
        match received {
            Ok((length, from)) => {
                let peer = shared.config.borrow().peers.iter().position(|a| *a == from);
                if peer.is_some_and(|peer| shared.handle_maintenance_datagram(peer as u32, &buffer[..length]))
                {
                    continue;
                }
                if let Some((peer, text)) = peer.zip(std::str::from_utf8(&buffer[..length]).ok())
                    && let Some(message) = schema_version::read(&shared, peer as u32, text)
                {
                    shared.core(|relay, now| relay.receive_peer_message(now, peer as u32, message));
                }
            }
            // An error here is of an earlier send: its peer does not listen.
            Err(e) => log::debug!("receiving from relays: {e}"),
        }
    }
}
