//! Drives the SNMP agent's datagrams, while this process accepts.

use std::rc::Rc;

use log::debug;
use tokio::net::UdpSocket;

use super::Shared;
use super::accept::while_accepting;
use crate::snmp;

/// Longest request that is read; a manager's are far shorter.
const MAX_REQUEST_BYTES: usize = 4096;

/// Answers for as long as the program runs.
pub async fn answer(shared: Rc<Shared>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_REQUEST_BYTES];
    let mut accepting = shared.accepting.subscribe();
    loop {
        let received = while_accepting(&mut accepting, socket.recv_from(&mut buffer)).await;
        let Some(received) = received else { continue };
        match received {
            Ok((length, from)) => {
                let written = shared.store_writer.as_ref().map(|writer| writer.stats()).unwrap_or_default();
                let view = snmp::view(&shared.relay.borrow(), written);
                let config = shared.config.borrow();
                let Some(agent) = &config.snmp else { return };
                if let Some(response) = snmp::answer(&buffer[..length], &agent.community, &view) {
                    // A manager repeats a request whose response is lost.
                    let _ = socket.try_send_to(&response, from);
                }
            }
            Err(e) => debug!("SNMP: {e}"),
        }
    }
}
