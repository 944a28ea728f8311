//! Receives and answers SNMP requests while this process accepts clients.

use std::rc::Rc;

use log::debug;
use tokio::net::UdpSocket;

use super::Shared;
use super::accept::while_accepting;
use crate::snmp;

/// Longest SNMP request that is read. Managers send far shorter ones.
const MAX_REQUEST_BYTES: usize = 4096;

/// Answers SNMP requests for as long as the program runs.
pub async fn answer(shared: Rc<Shared>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_REQUEST_BYTES];
    let mut accepting = shared.accepting.subscribe();
    loop {
        let received = while_accepting(&mut accepting, socket.recv_from(&mut buffer)).await;
        let Some(received) = received else { continue };
        match received {
            Ok((length, from)) => {
                let writer_stats =
                    shared.store_writer.as_ref().map(|writer| writer.stats()).unwrap_or_default();
                let view = snmp::view(&shared.relay.borrow(), writer_stats);
                let config = shared.config.borrow();
                let Some(agent) = &config.snmp else { return };
                if let Some(response) = snmp::answer(&buffer[..length], &agent.community, &view) {
                    // A response that can't be sent now is lost, and the manager repeats its request.
                    let _ = socket.try_send_to(&response, from);
                }
            }
            Err(e) => debug!("SNMP: receiving a request failed: {e}"),
        }
    }
}
