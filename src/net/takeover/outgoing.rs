//! One hand-over to a successor process: sends the relay's state, stops accepting, grants ownership, and
//! transfers connections until the successor's link or this process ends.

use std::io;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use sandgw_affinity::Record;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::{Interval, timeout};

use super::link::Link;
use super::newest_version;
use crate::handover::{
    FIRST_PROTOCOL_VERSION, MAX_IDS_PER_MESSAGE, MAX_LIST_ENTRIES_PER_MESSAGE, MAX_RECORDS_PER_MESSAGE,
    MAX_TRANSFERS_AT_A_TIME, Message, PredecessorAction, PredecessorProcess, negotiate_version,
};
use crate::net::shared::{InheritableSocket, OutgoingTransfer, Shared};
use crate::net::{duration_from_millis, schema_version};

/// How often the successor is sent affinity changes, connection ids and the descriptor count, and, after
/// SIGTERM, connections.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Whether this process was told to terminate and has nothing left to serve.
pub(super) fn is_finished(shared: &Shared) -> bool {
    shared.is_terminated.get() && shared.relay.borrow().is_empty() && shared.admission.is_empty()
}

/// Takes the receiving end of the transfer queue for the time of one hand-over, and puts it back when
/// dropped.
struct OutgoingTransfers<'a> {
    shared: &'a Shared,
    receiver: Option<mpsc::UnboundedReceiver<OutgoingTransfer>>,
}

impl<'a> OutgoingTransfers<'a> {
    fn new(shared: &'a Shared) -> Self {
        OutgoingTransfers { shared, receiver: shared.transfers.receiver.borrow_mut().take() }
    }

    async fn next(&mut self) -> Option<OutgoingTransfer> {
        self.receiver.as_mut()?.recv().await
    }

    fn is_empty(&self) -> bool {
        self.receiver.as_ref().is_none_or(|receiver| receiver.is_empty())
    }
}

impl Drop for OutgoingTransfers<'_> {
    fn drop(&mut self) {
        // The connections still in the queue have no successor to go to: they are closed, so that their
        // clients do not wait in vain.
        while self.receiver.as_mut().is_some_and(|receiver| receiver.try_recv().is_ok()) {}
        *self.shared.transfers.receiver.borrow_mut() = self.receiver.take();
    }
}

/// A hand-over to one successor.
pub(super) struct HandOver<'a> {
    shared: &'a Rc<Shared>,
    state: &'a mut PredecessorProcess,
    report_interval: Interval,
    // Declared before `link`, so that it is dropped first: waiting transfers are closed before the successor
    // sees the end of the link.
    transfers: OutgoingTransfers<'a>,
    link: Link,
    /// The number of descriptors in use that the successor was last sent.
    reported_descriptors: usize,
    /// Whether the successor reads the ids that clients of this process have used.
    sends_connection_ids: bool,
}

impl<'a> HandOver<'a> {
    pub(super) fn new(shared: &'a Rc<Shared>, state: &'a mut PredecessorProcess, link: Link) -> Self {
        HandOver {
            shared,
            state,
            report_interval: tokio::time::interval(REPORT_INTERVAL),
            transfers: OutgoingTransfers::new(shared),
            link,
            reported_descriptors: 0,
            sends_connection_ids: false,
        }
    }

    /// Runs the hand-over until the link to the successor ends, the successor misses a time limit, or the
    /// successor is refused.
    pub(super) async fn run(mut self) -> io::Result<()> {
        let relay_name = self.shared.config.borrow().name.clone();
        loop {
            let message = match self.state.message_timeout_ms() {
                Some(timeout_ms) => timeout(duration_from_millis(timeout_ms), self.link.next()).await??,
                None => tokio::select! {
                    message = self.link.next() => message?,
                    Some(transfer) = self.transfers.next() => {
                        self.send_transfer(transfer).await?;
                        continue;
                    }
                    _ = self.report_interval.tick() => {
                        self.handle_report_tick().await?;
                        continue;
                    }
                },
            };
            match self.state.handle_message(&message, &relay_name) {
                PredecessorAction::SendSnapshot => self.handle_hello(&message).await?,
                PredecessorAction::StopAccepting => self.stop_accepting().await?,
                PredecessorAction::GrantOwnership => self.grant_ownership().await?,
                PredecessorAction::Refuse(reason) => {
                    return refuse(&mut self.link, &reason.to_string()).await;
                }
            }
        }
    }

    async fn send_transfer(&mut self, transfer: OutgoingTransfer) -> io::Result<()> {
        let sockets = transfer.sockets.each_ref().map(AsFd::as_fd);
        self.link.send_with_sockets(&transfer.message, &sockets).await
    }

    /// Sends changes to the successor and, after SIGTERM, transfers connections.
    async fn handle_report_tick(&mut self) -> io::Result<()> {
        self.send_affinity_changes().await?;
        self.send_connection_ids().await?;
        self.report_descriptors().await?;
        if self.shared.is_terminated.get() {
            self.shared.with_core(|relay, now| relay.transfer_connections(now, MAX_TRANSFERS_AT_A_TIME));
        }
        if self.transfers.is_empty() && is_finished(self.shared) {
            info!("hand-over: no connection is left in this process; it ends");
            self.shared.hand_over_finished.notify_one();
        }
        Ok(())
    }

    async fn report_descriptors(&mut self) -> io::Result<()> {
        let descriptors = self.shared.admission.descriptors_in_use();
        if std::mem::replace(&mut self.reported_descriptors, descriptors) != descriptors {
            self.link.send(&Message::DescriptorsInUse { descriptors: descriptors as u32 }).await?;
        }
        Ok(())
    }

    /// Agrees on a protocol version and sends the snapshot, while this process continues to serve.
    async fn handle_hello(&mut self, hello: &Message) -> io::Result<()> {
        if self.shared.is_predecessor_running.get() {
            return refuse(&mut self.link, "the process before has not ended").await;
        }
        let version = negotiate_version(hello, newest_version(self.shared));
        let state = schema_version::takeover_state(self.shared).filter(|_| version > FIRST_PROTOCOL_VERSION);
        if let Some(state) = state {
            let (listened_ms, advertisement) = (state.listening_ms, state.advertisement);
            self.link.send(&Message::VersionAgreement { version, listened_ms, advertisement }).await?;
        }
        self.send_endpoint_list().await?;
        self.send_learned_state().await?;
        self.send_affinity().await?;
        self.sends_connection_ids = hello.accepts_connection_ids();
        self.shared.line_rules.ids().borrow_mut().track_hashes();
        self.send_connection_ids().await?;
        self.send_listening_sockets().await?;
        self.link.send(&Message::SnapshotComplete).await
    }

    async fn send_endpoint_list(&mut self) -> io::Result<()> {
        let discovery = self.shared.config.borrow().discovery.to_string();
        let (revision, entries) = {
            let list = self.shared.endpoint_list.borrow();
            let (revision, entries) = list.revision_and_entries();
            (revision, entries.map(Value::to_string).collect::<Vec<_>>())
        };
        if self.shared.relay.borrow().has_endpoint_list() {
            for entries in entries.chunks(MAX_LIST_ENTRIES_PER_MESSAGE) {
                let discovery = discovery.clone();
                let entries = entries.to_vec();
                self.link.send(&Message::EndpointList { discovery, revision, entries }).await?;
            }
        }
        Ok(())
    }

    async fn send_learned_state(&mut self) -> io::Result<()> {
        let exported = self.shared.relay.borrow().export_learned_state(self.shared.clock.now());
        for learned in exported {
            self.link.send(&Message::LearnedState(learned)).await?;
        }
        Ok(())
    }

    async fn send_affinity(&mut self) -> io::Result<()> {
        self.shared.relay.borrow_mut().track_affinity_changes();
        while let Some(records) = next_affinity_changes(self.shared) {
            self.link.send(&Message::AffinityRecords(records)).await?;
        }
        Ok(())
    }

    /// Sends the ids that clients have used since the last call, so that none runs again at the successor.
    async fn send_connection_ids(&mut self) -> io::Result<()> {
        loop {
            let hashes = self.shared.line_rules.ids().borrow_mut().take_hashes(MAX_IDS_PER_MESSAGE);
            if hashes.is_empty() {
                return Ok(());
            }
            if self.sends_connection_ids {
                self.link.send(&Message::ConnectionIds(hashes)).await?;
            }
        }
    }

    async fn send_listening_sockets(&mut self) -> io::Result<()> {
        let sockets = self.duplicate_listening_sockets()?;
        let keys = sockets.iter().map(|inheritable| inheritable.key.clone()).collect();
        let descriptors: Vec<_> = sockets.iter().map(|inheritable| inheritable.socket.as_fd()).collect();
        self.link.send_with_sockets(&Message::ListeningSockets(keys), &descriptors).await
    }

    fn duplicate_listening_sockets(&self) -> io::Result<Vec<InheritableSocket>> {
        let sockets = self.shared.inheritable_sockets.borrow();
        let duplicates = sockets.iter().map(|inheritable| {
            let socket = inheritable.socket.try_clone()?;
            Ok(InheritableSocket { key: inheritable.key.clone(), socket })
        });
        duplicates.collect()
    }

    /// Stops accepting clients, and sends the changes since the snapshot.
    async fn stop_accepting(&mut self) -> io::Result<()> {
        info!("hand-over: a new process takes the relay over");
        self.shared.accepting.send_replace(false);
        self.send_affinity_changes().await?;
        self.send_connection_ids().await?;
        let now = self.shared.clock.now();
        let standby = self.shared.relay.borrow().standby_elapsed(now);
        let slow_start_pause = self.shared.relay.borrow().slow_start_pause(now);
        let descriptors = self.shared.admission.descriptors_in_use() as u32;
        self.link.send(&Message::AcceptingStopped { descriptors, standby, slow_start_pause }).await
    }

    async fn grant_ownership(&mut self) -> io::Result<()> {
        self.shared.with_core(|relay, _| relay.hand_over());
        self.link.send(&Message::OwnershipGranted).await?;
        info!("hand-over: done; this process serves its remaining connections");
        Ok(())
    }

    /// Sends the sessions that have changed since the last message. Groups are left out: a group that is sent
    /// twice would count its load twice.
    async fn send_affinity_changes(&mut self) -> io::Result<()> {
        while let Some(mut records) = next_affinity_changes(self.shared) {
            records.retain(|record| matches!(record, Record::Session { .. }));
            if !records.is_empty() {
                self.link.send(&Message::AffinityRecords(records)).await?;
            }
        }
        Ok(())
    }
}

/// Takes the next batch of affinity records that have changed; `None` where no changes are left.
fn next_affinity_changes(shared: &Shared) -> Option<Vec<Record>> {
    let now = shared.clock.now();
    let changes = shared.relay.borrow_mut().take_affinity_changes(now, MAX_RECORDS_PER_MESSAGE);
    Some(changes.updated).filter(|records| !records.is_empty())
}

/// Sends the reason of the refusal to the successor, and returns it as the error that ends the hand-over.
pub(super) async fn refuse(link: &mut Link, reason: &str) -> io::Result<()> {
    link.send(&Message::Refused(reason.into())).await?;
    Err(io::Error::other(format!("refused: {reason}")))
}
