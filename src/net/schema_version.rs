//! Drives the schema versions of shared state: sends version advertisements when they are due, migrates the
//! store's file to the cluster's version, and answers the operators' calls. `sandgw-schema-version` makes the
//! decisions.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use log::{debug, error, info, warn};
use sandgw_schema_version::version_advertisement::VersionAdvertisement;
use sandgw_schema_version::version_negotiator::{RelayPosition, VersionNegotiator};
use sandgw_schema_version::versioned_channel::{Datagram, VersionedChannel};
use sandgw_schema_version::{SchemaVersion, SchemaVersionError};
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout_at};

use super::{Clock, Shared, duration_from_millis};
use crate::config::Config;
use crate::peers;
use crate::policy::api::{Millis, PeerMessage, Settings};
use crate::relay::operator_calls::OperatorCallError;

/// How long a starting process waits for replies after each round of requests for the schema version at which
/// the cluster is finalized.
const REPLY_WAITS_MS: [Millis; 3] = [100.0, 100.0, 200.0];
/// Most relays that get a request for the finalized version in a round. Several are asked, spread over the
/// cluster, because relays with neighbouring indexes are often restarted together.
const MAX_QUERIED_RELAYS: u32 = 8;

/// Creates the channel that translates between messages and datagrams; `None` where the configuration has no
/// `[forms]`.
///
/// # Errors
/// The store is finalized at a version that this process does not support.
pub fn open_channel(
    config: &Config,
    finalized: SchemaVersion,
    clock: &Clock,
) -> io::Result<Option<RefCell<VersionedChannel>>> {
    let Some(supported) = config.schema_versions else { return Ok(None) };
    let position = relay_position(&config.settings);
    let negotiator = VersionNegotiator::new(supported, finalized, position, config.seed, clock.now());
    Ok(Some(RefCell::new(VersionedChannel::new(negotiator.map_err(startup_error)?))))
}

/// This relay's position in its cluster.
pub(super) fn relay_position(settings: &Settings) -> RelayPosition {
    RelayPosition { local_index: settings.local_index, relay_count: settings.relay_count }
}

fn startup_error(error: SchemaVersionError) -> io::Error {
    io::Error::other(format!("forms: {error}; {}", error.help()))
}

/// Decodes a relay's datagram, and replies to a request for an advertisement. Returns `None` where the
/// datagram holds no message.
pub(super) fn decode(shared: &Shared, peer: u32, text: &str) -> Option<PeerMessage> {
    let Some(channel) = &shared.peer_channel else { return peers::decode(text) };
    match receive(shared, channel, peer, text) {
        Ok(message) => message,
        Err(e @ SchemaVersionError::Finalized { .. }) => {
            // The cluster was finalized at a schema version that this process does not support. This happened
            // while this process ran, or this process reached no relay when it started. The error is logged
            // once only.
            if !shared.is_unreadable_version_logged.replace(true) {
                error!("forms: relay {peer}: {e}; {}", e.help());
            }
            None
        }
        Err(e) => {
            debug!("forms: relay {peer}: {e}");
            None
        }
    }
}

fn receive(
    shared: &Shared,
    channel: &RefCell<VersionedChannel>,
    peer: u32,
    text: &str,
) -> Result<Option<PeerMessage>, SchemaVersionError> {
    let now = shared.clock.now();
    let mut datagrams_out = Vec::new();
    let version_before = channel.borrow().negotiator.version(now);
    let received = channel.borrow_mut().receive(now, peer, text, &mut datagrams_out);
    send_all(shared, &datagrams_out);
    if channel.borrow().negotiator.version(now) != version_before {
        shared.version_changed.notify_one();
    }
    Ok(received?.text.as_deref().and_then(peers::decode))
}

fn send_all(shared: &Shared, datagrams: &[Datagram]) {
    datagrams.iter().for_each(|datagram| shared.send_text_to_peer(datagram.peer, &datagram.text));
}

/// Asks other relays for the schema version at which the cluster is finalized, before anything is served.
///
/// # Errors
/// The cluster is finalized at a version that this process does not support.
pub async fn query_finalized_version(shared: &Rc<Shared>) -> io::Result<()> {
    let (Some(channel), Some(socket)) = (&shared.peer_channel, shared.peer_socket.get()) else {
        return Ok(());
    };
    for wait in REPLY_WAITS_MS {
        request_advertisements(shared, channel);
        let deadline = Instant::now() + duration_from_millis(wait);
        receive_until(shared, channel, socket, deadline).await.map_err(startup_error)?;
    }
    Ok(())
}

fn request_advertisements(shared: &Shared, channel: &RefCell<VersionedChannel>) {
    let RelayPosition { local_index, relay_count } = relay_position(&shared.config.borrow().settings);
    let request = channel.borrow().negotiator.advertisement(shared.clock.now()).encode() + "|?";
    let step = ((relay_count - 1) / MAX_QUERIED_RELAYS).max(1);
    for nth in 0..MAX_QUERIED_RELAYS.min(relay_count - 1) {
        shared.send_text_to_peer((local_index + 1 + nth * step) % relay_count, &request);
    }
}

/// Handles relays' datagrams until the deadline. Returns early with the error where a datagram shows that the
/// cluster is finalized at a version that this process does not support.
async fn receive_until(
    shared: &Rc<Shared>,
    channel: &RefCell<VersionedChannel>,
    socket: &UdpSocket,
    deadline: Instant,
) -> Result<(), SchemaVersionError> {
    let mut buffer = [0; peers::RECEIVE_BUFFER_BYTES];
    while let Ok(received) = timeout_at(deadline, socket.recv_from(&mut buffer)).await {
        // The system reports the error of an earlier send here: the relay did not listen.
        let Ok((length, from)) = received else { continue };
        let peer = shared.config.borrow().peers.iter().position(|address| *address == from);
        let text = std::str::from_utf8(&buffer[..length]).ok();
        let Some((peer, text)) = peer.zip(text) else { continue };
        match receive(shared, channel, peer as u32, text) {
            Ok(Some(message)) => {
                shared.with_core(|relay, now| relay.receive_peer_message(now, peer as u32, message))
            }
            Err(e @ SchemaVersionError::Finalized { .. }) => return Err(e),
            _ => {}
        }
    }
    Ok(())
}

/// Sends version advertisements when they are due and migrates the store to the cluster's version, for as
/// long as the program runs.
pub async fn run(shared: Rc<Shared>) {
    let Some(channel) = &shared.peer_channel else { return };
    let mut applied = None;
    loop {
        let now = shared.clock.now();
        let mut datagrams_out = Vec::new();
        if *shared.accepting.borrow() {
            channel.borrow_mut().poll(now, &mut datagrams_out);
        }
        send_all(&shared, &datagrams_out);
        apply_version(&shared, channel, &mut applied, now);
        let wait = channel.borrow().next_poll_in_ms(now);
        tokio::select! {
            () = tokio::time::sleep(duration_from_millis(wait)) => {}
            () = shared.version_changed.notified() => {}
        }
    }
}

/// The cluster's schema version as it was last logged and passed to the store's writer.
#[derive(Clone, Copy, PartialEq, Eq)]
struct AppliedVersion {
    version: SchemaVersion,
    finalized: SchemaVersion,
    /// Whether the schema version is settled; during the quiet period the version is provisional.
    is_settled: bool,
}

impl AppliedVersion {
    fn of(negotiator: &VersionNegotiator, now: Millis) -> AppliedVersion {
        let is_settled = negotiator.oldest_sighting(now).is_some()
            || negotiator.remaining_quiet_ms(now) <= 0.0
            || negotiator.supported().newest() == SchemaVersion::FIRST;
        AppliedVersion { version: negotiator.version(now), finalized: negotiator.finalized(), is_settled }
    }
}

/// Logs the cluster's version when it has changed and, once the version is settled, orders the migration of
/// the store's file to it.
fn apply_version(
    shared: &Shared,
    channel: &RefCell<VersionedChannel>,
    applied: &mut Option<AppliedVersion>,
    now: Millis,
) {
    let current = AppliedVersion::of(&channel.borrow().negotiator, now);
    if applied.replace(current) == Some(current) {
        return;
    }
    let AppliedVersion { version, finalized, is_settled } = current;
    let supported = channel.borrow().negotiator.supported();
    if version == supported.newest() {
        info!("forms: the cluster writes form {version}; finalized is {finalized}");
    } else {
        info!(
            "forms: the cluster writes form {version}, this process reads {supported}; finalized is {finalized}"
        );
    }
    if let Some(writer) = shared.store_writer.as_ref().filter(|_| is_settled)
        && !writer.migrate(version.number().into(), finalized.number().into())
    {
        // The writer's queue is full: the migration is ordered again at the next poll.
        *applied = None;
    }
}

/// The state of the version negotiation that a hand-over passes to the successor process.
pub(super) struct TakeoverState {
    /// How long this process has listened for advertisements of older versions.
    pub listening_ms: Millis,
    /// The encoded version advertisement of this process.
    pub advertisement: String,
}

/// Returns the state for the successor process; `None` where the configuration turns schema versions off.
pub(super) fn takeover_state(shared: &Shared) -> Option<TakeoverState> {
    let now = shared.clock.now();
    let channel = shared.peer_channel.as_ref()?.borrow();
    Some(TakeoverState {
        listening_ms: channel.negotiator.listening_ms(now),
        advertisement: channel.negotiator.advertisement(now).encode(),
    })
}

/// Continues from the predecessor process's state.
///
/// # Errors
/// The predecessor's advertisement can't be read, or names a finalized version that this process does not
/// support.
pub(super) fn resume(shared: &Shared, listening_ms: Millis, advertisement: &str) -> io::Result<()> {
    let Some(channel) = &shared.peer_channel else { return Ok(()) };
    let decoded = VersionAdvertisement::decode(advertisement).map_err(startup_error)?;
    let now = shared.clock.now();
    channel.borrow_mut().negotiator.resume(now, listening_ms, &decoded.advertisement).map_err(startup_error)
}

/// Returns the reply to the operators' call `forms`.
///
/// # Errors
/// [`OperatorCallError::Unknown`] where the configuration turns schema versions off.
pub(super) fn status(shared: &Shared) -> Result<String, OperatorCallError> {
    let channel = shared.peer_channel.as_ref().ok_or(OperatorCallError::Unknown)?;
    Ok(crate::schema_status::status(&channel.borrow(), shared.clock.now()))
}

/// Handles the operators' call `finalize`: from then on, the cluster can't return to an older version.
///
/// # Errors
/// [`OperatorCallError::Unknown`] where the configuration turns schema versions off, and
/// [`OperatorCallError::SchemaVersion`] while a process of an older version may be alive.
pub(super) fn finalize(shared: &Shared) -> Result<String, OperatorCallError> {
    let channel = shared.peer_channel.as_ref().ok_or(OperatorCallError::Unknown)?;
    let finalized = channel.borrow_mut().negotiator.finalize(shared.clock.now());
    let version = finalized.map_err(OperatorCallError::SchemaVersion)?;
    warn!("operators: finalize was called: forms below {version} are no longer written");
    shared.version_changed.notify_one();
    Ok(format!("finalized {version}"))
}
