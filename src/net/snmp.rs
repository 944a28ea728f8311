//! Drives the SNMP agent's datagrams.

use std::rc::Rc;

use log::debug;
use tokio::net::UdpSocket;

use super::Shared;
use super::accept::while_accepting;
use crate::snmp;

/// Longest question; a manager's are far shorter.
const QUESTION: usize = 4096;

/// Answers for as long as the program runs.
pub async fn answer(shared: Rc<Shared>, socket: UdpSocket) {
    let mut buffer = vec![0; QUESTION];
    let mut gate = shared.accepting.subscribe();
    loop {
        let received = while_accepting(&mut gate, socket.recv_from(&mut buffer)).await;
        let Some(received) = received else { continue };
        match received {
            Ok((length, from)) => {
                let written = shared.store_writer.as_ref().map(|k| k.written()).unwrap_or_default();
                let view = snmp::view(&shared.relay.borrow(), written);
                let config = shared.config.borrow();
                let Some(agent) = &config.snmp else { return };
                if let Some(answer) = snmp::answer(&buffer[..length], &agent.community, &view) {
                    // An answer that is lost is asked for again.
                    let _ = socket.try_send_to(&answer, from);
                }
            }
            Err(e) => debug!("SNMP: {e}"),
        }
    }
}
