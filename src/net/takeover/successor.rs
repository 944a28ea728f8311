//! The successor's side of a hand-over: receives the running process's state, takes the relay over, and
//! adopts the connections of the running process.

use std::io;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use sandgw_affinity::Record;
use sandgw_cluster::drain_gossip::DiscoveryAnswer;
use serde_json::Value;
use tokio::net::{TcpStream, UnixStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::link::Link;
use super::{SOCKET_NAME, newest_version};
use crate::discovery::ListError;
use crate::handover::{
    CONNECTION_IDS_VERSION, FIRST_PROTOCOL_VERSION, Message, SuccessorAction, SuccessorProcess,
    VERSION_MISMATCH,
};
use crate::listener::TransferredProtocol;
use crate::listener::line::LineProtocol;
use crate::net::connection::{self, AdoptedConnection};
use crate::net::shared::{InheritableSocket, Shared};
use crate::net::{duration_from_millis, schema_version};
use crate::policy::api::{ListKind, Millis};
use crate::policy::learned_state::LearnedState;
use crate::relay::TransferredConnection;

/// How often the snapshot is requested at the most where the running process breaks the link.
const MAX_SNAPSHOT_REQUESTS: u32 = 3;
/// How long the running process is left to serve while nothing confirms this process's endpoint list. The
/// running process waits for twice as long.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// The running process, which has sent its state and still serves.
pub struct Predecessor {
    link: Link,
    state: SuccessorProcess,
}

/// Why the relay could not be taken over from the running process.
pub enum TakeoverFailure {
    /// The link broke.
    LinkBroken(io::Error),
    /// The running process refused, did not answer in time, or sent data that can't be used.
    Refused(io::Error),
}

fn refused(reason: impl ToString) -> TakeoverFailure {
    TakeoverFailure::Refused(io::Error::other(format!("hand-over: {}", reason.to_string())))
}

/// A message from the running process, and the action that follows it.
struct ReceivedMessage {
    message: Message,
    action: SuccessorAction,
}

/// The part of the endpoint list that the running process has sent so far.
struct ReceivedList {
    /// The list's revision, where this process uses the same discovery service.
    revision: Option<u64>,
    entries: Vec<Value>,
}

/// An established connection, as described by a message.
struct ReceivedConnection {
    connection: TransferredConnection,
    protocol: TransferredProtocol,
    from_client: Vec<u8>,
    from_upstream: Vec<u8>,
}

impl Predecessor {
    fn new(stream: UnixStream) -> Self {
        Predecessor { link: Link::new(stream), state: SuccessorProcess::default() }
    }

    async fn next(&mut self) -> Result<ReceivedMessage, TakeoverFailure> {
        let received = match self.state.message_timeout_ms() {
            Some(timeout_ms) => timeout(duration_from_millis(timeout_ms), self.link.next()).await,
            None => Ok(self.link.next().await),
        };
        let received = received.map_err(|_| refused("the running process does not answer"))?;
        let message = received.map_err(TakeoverFailure::LinkBroken)?;
        match self.state.handle_message(&message) {
            SuccessorAction::Fail(reason) => Err(refused(reason)),
            action => Ok(ReceivedMessage { message, action }),
        }
    }

    async fn send(&mut self, message: &Message) -> Result<(), TakeoverFailure> {
        self.link.send(message).await.map_err(TakeoverFailure::LinkBroken)
    }
}

/// Requests the running process's state and sockets; `None` where no process runs.
///
/// # Errors
/// The running process refuses, does not answer in time, sends data that can't be used, or breaks the link
/// `MAX_SNAPSHOT_REQUESTS` times, or its socket can't be connected to.
pub async fn request_snapshot(
    shared: &Rc<Shared>,
    folder: &Path,
    inherited: &mut Vec<InheritableSocket>,
) -> io::Result<Option<Predecessor>> {
    let mut version = newest_version(shared).max(CONNECTION_IDS_VERSION);
    for _ in 0..MAX_SNAPSHOT_REQUESTS {
        let stream = match UnixStream::connect(folder.join(SOCKET_NAME)).await {
            Ok(stream) => stream,
            Err(e) => {
                use io::ErrorKind::{ConnectionRefused, NotFound};
                // No process has ever run here, or the last process has ended without removing its socket.
                let is_absent = matches!(e.kind(), ConnectionRefused | NotFound);
                return if is_absent { Ok(None) } else { Err(e) };
            }
        };
        let mut predecessor = Predecessor::new(stream);
        match receive_snapshot(shared, &mut predecessor, inherited, version).await {
            Ok(()) => return Ok(Some(predecessor)),
            // The running process predates protocol versions: the snapshot is requested again in the only
            // version that it supports.
            Err(TakeoverFailure::Refused(e))
                if version > FIRST_PROTOCOL_VERSION && e.to_string().ends_with(VERSION_MISMATCH) =>
            {
                version = FIRST_PROTOCOL_VERSION
            }
            Err(TakeoverFailure::Refused(e)) => return Err(e),
            Err(TakeoverFailure::LinkBroken(e)) => {
                warn!("hand-over: the running process broke the link: {e}");
            }
        }
    }
    Err(io::Error::other("hand-over: the running process breaks the link repeatedly"))
}

async fn receive_snapshot(
    shared: &Rc<Shared>,
    predecessor: &mut Predecessor,
    inherited: &mut Vec<InheritableSocket>,
    version: u32,
) -> Result<(), TakeoverFailure> {
    let relay_name = shared.config.borrow().name.clone();
    predecessor.send(&Message::Hello { version, relay_name }).await?;
    let mut list: Option<ReceivedList> = None;
    loop {
        let ReceivedMessage { message, action } = predecessor.next().await?;
        match message {
            Message::EndpointList { discovery, revision, entries } => {
                let is_same_discovery = discovery == shared.config.borrow().discovery.to_string();
                let parsed = entries.iter().map(|entry| serde_json::from_str(entry));
                let parsed = parsed.collect::<Result<Vec<Value>, _>>().map_err(refused)?;
                let revision = revision.filter(|_| is_same_discovery);
                let list = list.get_or_insert(ReceivedList { revision, entries: Vec::new() });
                list.entries.extend(parsed);
            }
            Message::VersionAgreement { version, listened_ms, advertisement } => {
                info!("hand-over: protocol version {version}");
                schema_version::resume(shared, listened_ms, &advertisement).map_err(refused)?;
            }
            Message::AffinityRecords(records) => restore_affinity(shared, records),
            Message::ConnectionIds(hashes) => add_connection_ids(shared, hashes),
            Message::ListeningSockets(keys) => {
                let sockets = keys.into_iter().zip(predecessor.link.take_sockets());
                inherited.extend(sockets.map(|(key, socket)| InheritableSocket { key, socket }));
            }
            // The endpoint list is applied first, since the learned state refers to its endpoints.
            Message::LearnedState(learned) => {
                apply_list(shared, list.take()).map_err(refused)?;
                shared.with_core(|relay, now| relay.import_learned_state(now, learned));
            }
            _ => {}
        }
        if action == SuccessorAction::RequestTakeover {
            return apply_list(shared, list.take()).map_err(refused);
        }
    }
}

/// Applies the running process's endpoint list, so that discovery need not send the whole list again. A list
/// that discovery has already confirmed to this process is at least as new, and stays.
fn apply_list(shared: &Rc<Shared>, list: Option<ReceivedList>) -> Result<(), ListError> {
    let Some(ReceivedList { revision, entries }) = list else { return Ok(()) };
    if shared.has_discovery_answered.get() {
        return Ok(());
    }
    let entries = shared.endpoint_list.borrow_mut().import(revision, entries)?;
    shared.with_core(|relay, now| match revision {
        Some(revision) => {
            let answer = DiscoveryAnswer { revision, requested_at: now, is_full: true };
            // When discovery confirmed the list is unknown, so the list has no lease before the first answer.
            relay.apply_discovery_answer(now, answer, entries);
        }
        None => relay.apply_list(now, ListKind::Full, entries),
    });
    shared.list_requested.notify_one();
    Ok(())
}

fn restore_affinity(shared: &Rc<Shared>, records: Vec<Record>) {
    shared.with_core(|relay, now| relay.restore_affinity(now, records.into_iter()));
}

fn add_connection_ids(shared: &Shared, hashes: Vec<u64>) {
    shared.line_rules.ids().borrow_mut().add_finished(hashes);
}

/// Takes the relay over once this process has an endpoint list that it may use. When this succeeds, the running
/// process has stopped accepting clients for good.
///
/// # Errors
/// The link broke, or the running process refuses, does not answer in time, or sends data that can't be used,
/// or nothing has confirmed the endpoint list in time.
pub async fn take_over(shared: &Rc<Shared>, predecessor: &mut Predecessor) -> Result<(), TakeoverFailure> {
    tokio::select! {
        biased;
        () = wait_for_confirmed_list(shared) => {}
        // The running process sends nothing before the request, so this shows that it has ended.
        ended = predecessor.link.next() => {
            ended.map_err(TakeoverFailure::LinkBroken)?;
            return Err(refused("the running process sent a message out of turn"));
        }
        () = sleep(LIST_TIMEOUT) => {
            return Err(refused("discovery has not confirmed the list; the running process goes on serving"));
        }
    }
    predecessor.send(&Message::TakeoverRequest).await?;
    loop {
        let ReceivedMessage { message, action } = predecessor.next().await?;
        match message {
            Message::AffinityRecords(records) => restore_affinity(shared, records),
            Message::ConnectionIds(hashes) => add_connection_ids(shared, hashes),
            Message::AcceptingStopped { descriptors, standby, slow_start_pause } => {
                shared.admission.set_other_process_descriptors(descriptors as usize);
                continue_pauses(shared, standby, slow_start_pause);
            }
            _ => {}
        }
        match action {
            SuccessorAction::ClaimOwnership => predecessor.send(&Message::OwnershipClaim).await?,
            SuccessorAction::Serve => return Ok(()),
            _ => {}
        }
    }
}

/// Waits until the endpoint list of this process is confirmed: the running process serves meanwhile.
async fn wait_for_confirmed_list(shared: &Rc<Shared>) {
    while !shared.relay.borrow().is_list_confirmed() {
        shared.list_confirmed.notified().await;
    }
}

/// Continues the slow-start pause of the running process, and its standby, which has lasted for
/// `standby_elapsed`.
fn continue_pauses(shared: &Rc<Shared>, standby_elapsed: Option<Millis>, slow_start_pause: Millis) {
    shared.with_core(|relay, now| {
        relay.import_learned_state(now, LearnedState::with_slow_start_pause(slow_start_pause));
        if let Some(elapsed) = standby_elapsed.filter(|elapsed| *elapsed >= 0.0) {
            relay.enter_standby(now - elapsed);
        }
    });
}

/// Receives connections, affinity changes and descriptor counts from the predecessor process until that
/// process has ended.
pub async fn follow_predecessor(shared: Rc<Shared>, mut predecessor: Predecessor) {
    info!("hand-over: this process serves");
    shared.is_predecessor_running.set(true);
    while let Ok(ReceivedMessage { message, .. }) = predecessor.next().await {
        match message {
            Message::DescriptorsInUse { descriptors } => {
                shared.admission.set_other_process_descriptors(descriptors as usize)
            }
            Message::AffinityRecords(records) => restore_affinity(&shared, records),
            Message::ConnectionIds(hashes) => add_connection_ids(&shared, hashes),
            Message::Connection { connection, protocol, pending_to_endpoint, pending_to_client } => {
                let received = ReceivedConnection {
                    connection: *connection,
                    protocol: *protocol,
                    from_client: pending_to_endpoint,
                    from_upstream: pending_to_client,
                };
                if let Err(e) = adopt(&shared, predecessor.link.take_sockets(), received) {
                    warn!("hand-over: a connection is lost: {e}");
                }
            }
            _ => {}
        }
    }
    info!("hand-over: the predecessor process has ended");
    shared.admission.set_other_process_descriptors(0);
    shared.is_predecessor_running.set(false);
}

/// Adopts an established connection of the predecessor process.
fn adopt(shared: &Rc<Shared>, sockets: Vec<OwnedFd>, received: ReceivedConnection) -> io::Result<()> {
    let mut sockets = sockets.into_iter();
    let (Some(client), Some(upstream)) = (sockets.next(), sockets.next()) else {
        return Err(io::Error::other("it came without its sockets"));
    };
    let client = TcpStream::from_std(client.into())?;
    let upstream = TcpStream::from_std(upstream.into())?;
    let now = shared.clock.now();
    let adopted = AdoptedConnection {
        connection: received.connection,
        protocol: LineProtocol::resume(shared.line_rules.clone(), now, received.protocol),
        client,
        upstream,
        from_client: received.from_client,
        from_upstream: received.from_upstream,
    };
    spawn_local(connection::adopt(shared.clone(), adopted, shared.admission.adopt()));
    Ok(())
}
