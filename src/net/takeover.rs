//! Drives the hand-over between two processes of a relay: a Unix socket in a folder that both know.

use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::{FileTypeExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use log::{error, info, warn};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use sandgw_affinity::Record;
use sandgw_cluster::drain_gossip::DiscoveryAnswer;
use serde_json::Value;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{Shared, connection, span};
use crate::discovery::ListError;
use crate::handover::{
    FIRST_PROTOCOL_VERSION, MAX_LIST_ENTRIES_PER_MESSAGE, MAX_PASSED_SOCKETS, MAX_RECORDS_PER_MESSAGE,
    MAX_TRANSFERS_AT_A_TIME, Message, MessageDecoder, PredecessorAction, PredecessorProcess, SuccessorAction,
    SuccessorProcess, VERSION_MISMATCH, encode, negotiate_version,
};
use crate::listener::TransferredProtocol;
use crate::listener::line::LineProtocol;
use crate::policy::api::ListKind;
use crate::policy::learned_state::LearnedState;
use crate::relay::TransferredConnection;

/// The socket's name in the folder.
const NAME: &str = "sandgw-handover";
/// How often the old process tells what it holds.
const REPORT: Duration = Duration::from_millis(100);
/// How long the other process may take to read a message.
const SEND: Duration = Duration::from_secs(2);
/// How often the relay is asked for, where the running process breaks the link.
const TRIES: u32 = 3;

/// A connection to the other process.
struct Link {
    stream: UnixStream,
    frames: MessageDecoder,
    /// How many bytes were read.
    read: u64,
    /// Descriptors that came, each with how many bytes were read by then, until the message is whole that they came
    /// with: a read ends behind the first bytes of that one.
    sockets: VecDeque<(u64, OwnedFd)>,
    /// Those that came with the latest message. They may be fewer than it names: where there is no room for one, the
    /// system drops it.
    beside: Vec<OwnedFd>,
}

impl Link {
    fn new(stream: UnixStream) -> Self {
        Link {
            stream,
            frames: MessageDecoder::default(),
            read: 0,
            sockets: VecDeque::new(),
            beside: Vec::new(),
        }
    }

    /// The next message. It loses nothing when dropped on the way.
    async fn next(&mut self) -> io::Result<Message> {
        loop {
            let message = self.frames.next_message().map_err(|e| io::Error::other(e.to_string()))?;
            if let Some(message) = message {
                let end = self.read - self.frames.buffered_bytes() as u64;
                let own = self.sockets.iter().take_while(|(at, _)| *at <= end).count();
                self.beside = self.sockets.drain(..own).map(|(_, socket)| socket).collect();
                return Ok(message);
            }
            self.stream.readable().await?;
            let mut bytes = [0; 4096];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_SOCKETS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let read = self.stream.try_io(Interest::READABLE, || {
                let mut parts = [IoSliceMut::new(&mut bytes)];
                Ok(recvmsg(&self.stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes)
            });
            let read = match read {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => read,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Err(e),
            };
            self.read += read as u64;
            for part in control.drain() {
                if let RecvAncillaryMessage::ScmRights(sockets) = part {
                    self.sockets.extend(sockets.map(|socket| (self.read, socket)));
                }
            }
            self.sockets.truncate(2 * MAX_PASSED_SOCKETS);
            self.frames.feed(&bytes[..read]);
        }
    }

    /// The descriptors that came with the latest message.
    fn take(&mut self) -> Vec<OwnedFd> {
        std::mem::take(&mut self.beside)
    }

    async fn send(&mut self, message: &Message, sockets: &[BorrowedFd<'_>]) -> io::Result<()> {
        let bytes = encode(message);
        let sent = async {
            let mut first = 0;
            while first == 0 {
                self.stream.writable().await?;
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_SOCKETS))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !sockets.is_empty() && !control.push(SendAncillaryMessage::ScmRights(sockets)) {
                    return Err(io::Error::other("too many sockets"));
                }
                let written = self.stream.try_io(Interest::WRITABLE, || {
                    let parts = [IoSlice::new(&bytes)];
                    Ok(sendmsg(&self.stream, &parts, &mut control, SendFlags::NOSIGNAL)?)
                });
                match written {
                    Ok(n) => first = n,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e),
                }
            }
            self.stream.write_all(&bytes[first..]).await
        };
        timeout(SEND, sent).await?
    }
}

/// Sockets that were handed over, by key and address.
pub type Handed = Vec<(String, OwnedFd)>;

// --- the new process ---

/// The running process, which has told all that it has and still serves.
pub struct Predecessor {
    link: Link,
    step: SuccessorProcess,
}

/// Why the relay was not had from the running process.
pub enum Failed {
    /// The link broke.
    Broken(io::Error),
    /// It is said why.
    Refused(io::Error),
}

fn refused(why: impl ToString) -> Failed {
    Failed::Refused(io::Error::other(format!("hand-over: {}", why.to_string())))
}

impl Predecessor {
    async fn next(&mut self) -> Result<(Message, SuccessorAction), Failed> {
        let message = match self.step.message_timeout_ms() {
            Some(patience) => timeout(span(patience), self.link.next()).await,
            None => Ok(self.link.next().await),
        };
        let message = message.map_err(|_| refused("the running process does not answer"))?;
        let message = message.map_err(Failed::Broken)?;
        match self.step.handle_message(&message) {
            SuccessorAction::Fail(why) => Err(refused(why)),
            step => Ok((message, step)),
        }
    }
}

/// Asks the running process for all that it has; nothing where there is none.
pub async fn ask(shared: &Rc<Shared>, folder: &Path, handed: &mut Handed) -> io::Result<Option<Predecessor>> {
    let mut form = newest(shared);
    for _ in 0..TRIES {
        let stream = match UnixStream::connect(folder.join(NAME)).await {
            Ok(stream) => stream,
            Err(e) => {
                use io::ErrorKind::{ConnectionRefused, NotFound};
                // Nobody was there, or who was has ended without a word.
                let alone = matches!(e.kind(), ConnectionRefused | NotFound);
                return if alone { Ok(None) } else { Err(e) };
            }
        };
        let mut old = Predecessor { link: Link::new(stream), step: SuccessorProcess::default() };
        match absorb(shared, &mut old, handed, form).await {
            Ok(()) => return Ok(Some(old)),
            // A process of before there were forms: once more in the one that it speaks.
            Err(Failed::Refused(e))
                if form > FIRST_PROTOCOL_VERSION && e.to_string().ends_with(VERSION_MISMATCH) =>
            {
                form = FIRST_PROTOCOL_VERSION
            }
            Err(Failed::Refused(e)) => return Err(e),
            Err(Failed::Broken(e)) => warn!("hand-over: the running process has broken off: {e}"),
        }
    }
    Err(io::Error::other("hand-over: the running process breaks off again and again"))
}

/// The newest form of messages that this process speaks.
fn newest(shared: &Shared) -> u32 {
    shared
        .post
        .as_ref()
        .map_or(FIRST_PROTOCOL_VERSION, |post| post.borrow().ladder.range().newest().number().into())
}

async fn absorb(
    shared: &Rc<Shared>,
    old: &mut Predecessor,
    handed: &mut Handed,
    form: u32,
) -> Result<(), Failed> {
    let name = shared.config.borrow().name.clone();
    old.link.send(&Message::Hello { version: form, relay_name: name }, &[]).await.map_err(Failed::Broken)?;
    let mut list: Option<(Option<u64>, Vec<Value>)> = None;
    loop {
        let (message, step) = old.next().await?;
        match message {
            Message::EndpointList { discovery, revision, entries: members } => {
                let same = discovery == shared.config.borrow().discovery.to_string();
                let read = members.iter().map(|m| serde_json::from_str(m));
                let read = read.collect::<Result<Vec<Value>, _>>().map_err(refused)?;
                let list = list.get_or_insert((revision.filter(|_| same), Vec::new()));
                list.1.extend(read);
            }
            Message::VersionAgreement { version: form, listened, advertisement: word } => {
                info!("hand-over: in form {form}");
                super::schema_version::resume(shared, listened, &word).map_err(refused)?;
            }
            Message::AffinityRecords(records) => restore(shared, records),
            Message::ListeningSockets(keys) => {
                handed.extend(keys.into_iter().zip(old.link.take()));
            }
            // The list comes first: what was learned is of its endpoints.
            Message::LearnedState(piece) => {
                known(shared, list.take()).map_err(refused)?;
                shared.core(|relay, now| relay.import_learned_state(now, piece));
            }
            _ => {}
        }
        if step == SuccessorAction::RequestTakeover {
            return known(shared, list.take()).map_err(refused);
        }
    }
}

/// Takes the list as the running process holds it. Nobody is asked for it again, nor for clients and groups.
fn known(shared: &Rc<Shared>, list: Option<(Option<u64>, Vec<Value>)>) -> Result<(), ListError> {
    let Some((revision, members)) = list else { return Ok(()) };
    let entries = shared.endpoint_list.borrow_mut().handed(revision, members)?;
    shared.core(|relay, now| match revision {
        Some(revision) => relay.apply_discovery_answer(
            now,
            DiscoveryAnswer { revision, requested_at: now, is_full: true },
            entries,
        ),
        None => relay.apply_list(now, ListKind::Full, entries),
    });
    shared.watch.notify_one();
    Ok(())
}

fn restore(shared: &Rc<Shared>, records: Vec<Record>) {
    shared.core(|relay, now| relay.restore_affinity(now, records.into_iter()));
}

/// Takes the relay over: when this returns, the running process has stopped accepting for good.
pub async fn take(shared: &Rc<Shared>, old: &mut Predecessor) -> Result<(), Failed> {
    old.link.send(&Message::TakeoverRequest, &[]).await.map_err(Failed::Broken)?;
    loop {
        let (message, step) = old.next().await?;
        match message {
            Message::AffinityRecords(records) => restore(shared, records),
            Message::AcceptingStopped { descriptors, standby, slow_start_pause: cold_in } => {
                shared.admission.set_others(descriptors as usize);
                shared.core(|relay, now| {
                    relay.import_learned_state(now, LearnedState::pause(cold_in));
                    if let Some(span) = standby.filter(|span| *span >= 0.0) {
                        relay.enter_standby(now - span);
                    }
                });
            }
            _ => {}
        }
        match step {
            SuccessorAction::ClaimOwnership => {
                old.link.send(&Message::OwnershipClaim, &[]).await.map_err(Failed::Broken)?;
            }
            SuccessorAction::Serve => return Ok(()),
            _ => {}
        }
    }
}

/// Hears what the old process still holds, until it has ended.
pub async fn follow(shared: Rc<Shared>, mut old: Predecessor) {
    info!("hand-over: this process serves");
    shared.predecessor.set(true);
    while let Ok((message, _)) = old.next().await {
        match message {
            Message::DescriptorsInUse { descriptors } => shared.admission.set_others(descriptors as usize),
            Message::AffinityRecords(records) => restore(&shared, records),
            Message::Connection { connection, protocol, up, down } => {
                let passed = adopt(&shared, old.link.take(), *connection, *protocol, (up, down));
                if let Err(e) = passed {
                    warn!("hand-over: a flow is lost: {e}");
                }
            }
            _ => {}
        }
    }
    info!("hand-over: the process before has ended");
    shared.admission.set_others(0);
    shared.predecessor.set(false);
}

/// Goes on with a standing connection of the process before.
fn adopt(
    shared: &Rc<Shared>,
    sockets: Vec<OwnedFd>,
    connection: TransferredConnection,
    protocol: TransferredProtocol,
    (up, down): (Vec<u8>, Vec<u8>),
) -> io::Result<()> {
    let stream = |socket: OwnedFd| TcpStream::from_std(socket.into());
    let mut sockets = sockets.into_iter();
    let (Some(client), Some(endpoint)) = (sockets.next(), sockets.next()) else {
        return Err(io::Error::other("it came without its sockets"));
    };
    let (client, endpoint) = (stream(client)?, stream(endpoint)?);
    let protocol = LineProtocol::adopt(shared.rules.clone(), shared.clock.now(), protocol);
    let passed = connection::AdoptedConnection {
        connection,
        protocol,
        client,
        upstream: endpoint,
        from_client: up,
        from_upstream: down,
    };
    tokio::task::spawn_local(connection::adopt(shared.clone(), passed, shared.admission.adopt()));
    Ok(())
}

// --- the old process ---

/// Hands the relay to the next process that asks for it, for as long as the program runs.
pub async fn offer(shared: Rc<Shared>, folder: PathBuf) {
    let path = folder.join(NAME);
    loop {
        let listener = match bind(&path) {
            Ok(listener) => listener,
            Err(e) => {
                // The relay serves all the same; a new version can only be had by a restart.
                return error!("hand-over: {}: {e}; it is off", path.display());
            }
        };
        let owner = std::fs::metadata(&path).map(|m| m.uid());
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(super::ACCEPT_PAUSE).await;
                continue;
            };
            let known = stream.peer_cred().is_ok_and(|peer| owner.as_ref().is_ok_and(|o| peer.uid() == *o));
            if !known {
                warn!("hand-over: refused to another user's process");
                continue;
            }
            let mut elder = PredecessorProcess::default();
            let ended = {
                let mut hand = std::pin::pin!(hand(&shared, &mut elder, Link::new(stream)));
                loop {
                    tokio::select! {
                        ended = &mut hand => break ended,
                        Ok((other, _)) = listener.accept() => {
                            tokio::task::spawn_local(turn_away(Link::new(other)));
                        }
                    }
                }
            };
            if let Err(e) = ended {
                warn!("hand-over: {e}");
            }
            if elder.resumes_accepting(shared.terminated.get()) {
                warn!("hand-over: it has failed, this process goes on");
                shared.relay.borrow_mut().resume_serving();
                shared.gate.send_replace(true);
            }
            if elder == PredecessorProcess::HandedOver {
                // The path was the other's.
                break;
            }
        }
        if shared.relay.borrow().is_handed_over() {
            // Nobody takes what stands: it is moved where it would be lost.
            shared.core(|relay, now| relay.enter_standby(now));
            return ending(&shared).await;
        }
    }
}

/// Waits until nothing is left of a process that has no successor to tell of it any more.
async fn ending(shared: &Rc<Shared>) {
    // A connection that is told to pass now stays: there is no way any more.
    drop(shared.passing.1.borrow_mut().take());
    while !is_over(shared) {
        tokio::time::sleep(REPORT).await;
    }
    shared.over.notify_one();
}

fn is_over(shared: &Shared) -> bool {
    shared.terminated.get() && shared.relay.borrow().is_empty() && shared.admission.is_empty()
}

fn bind(path: &Path) -> io::Result<UnixListener> {
    match std::fs::symlink_metadata(path) {
        Ok(old) if old.file_type().is_socket() => std::fs::remove_file(path)?,
        Ok(_) => return Err(io::Error::other("is there, and no socket")),
        Err(_) => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// Takes the connections that pass while there is somebody to take them; gives their way back when dropped.
struct Passing<'a>(&'a Shared, Option<mpsc::UnboundedReceiver<super::Passing>>);

impl Passing<'_> {
    async fn next(&mut self) -> Option<super::Passing> {
        self.1.as_mut()?.recv().await
    }

    fn is_empty(&self) -> bool {
        self.1.as_ref().is_none_or(|connections| connections.is_empty())
    }
}

impl Drop for Passing<'_> {
    fn drop(&mut self) {
        // What was on its way has nowhere to go: its client is better cut off than left waiting.
        while self.1.as_mut().is_some_and(|connections| connections.try_recv().is_ok()) {}
        *self.0.passing.1.borrow_mut() = self.1.take();
    }
}

/// One hand-over; it returns when the new process is gone or is given up.
async fn hand(shared: &Rc<Shared>, elder: &mut PredecessorProcess, mut link: Link) -> io::Result<()> {
    let name = shared.config.borrow().name.clone();
    let mut told = 0;
    let mut passing = Passing(shared, shared.passing.1.borrow_mut().take());
    let mut interval = tokio::time::interval(REPORT);
    loop {
        let message = match elder.message_timeout_ms() {
            Some(patience) => timeout(span(patience), link.next()).await??,
            None => tokio::select! {
                message = link.next() => message?,
                Some((connection, sockets)) = passing.next() => {
                    link.send(&connection, &sockets.each_ref().map(AsFd::as_fd)).await?;
                    continue;
                }
                _ = interval.tick() => {
                    report(shared, &mut link, &mut told).await?;
                    if shared.terminated.get() {
                        shared.core(|relay, _| relay.transfer_connections(MAX_TRANSFERS_AT_A_TIME));
                    }
                    if passing.is_empty() && is_over(shared) {
                        info!("hand-over: nothing is left here, ending");
                        shared.over.notify_one();
                    }
                    continue;
                }
            },
        };
        match elder.handle_message(&message, &name) {
            PredecessorAction::SendSnapshot if shared.predecessor.get() => {
                return refuse(&mut link, "the process before has not ended").await;
            }
            PredecessorAction::SendSnapshot => {
                let form = negotiate_version(&message, newest(shared));
                if let Some((listened, word)) =
                    super::schema_version::word(shared).filter(|_| form > FIRST_PROTOCOL_VERSION)
                {
                    link.send(
                        &Message::VersionAgreement { version: form, listened, advertisement: word },
                        &[],
                    )
                    .await?;
                }
                snapshot(shared, &mut link).await?;
            }
            PredecessorAction::StopAccepting => {
                info!("hand-over: a new process takes the relay");
                shared.gate.send_replace(false);
                changes(shared, &mut link).await?;
                let (standby, cold_in) = {
                    let (now, relay) = (shared.clock.now(), shared.relay.borrow());
                    (relay.standby_elapsed(now), relay.slow_start_pause(now))
                };
                let descriptors = shared.admission.held() as u32;
                link.send(
                    &Message::AcceptingStopped { descriptors, standby, slow_start_pause: cold_in },
                    &[],
                )
                .await?;
            }
            PredecessorAction::GrantOwnership => {
                shared.core(|relay, now| relay.hand_over(now));
                link.send(&Message::OwnershipGranted, &[]).await?;
                info!("hand-over: done; this process finishes what it has");
            }
            PredecessorAction::Refuse(reason) => return refuse(&mut link, &reason.to_string()).await,
        }
    }
}

/// Closed before it is read, what it says would be lost with the answer.
async fn turn_away(mut link: Link) {
    let _ = timeout(SEND, link.next()).await;
    let _ = refuse(&mut link, "another process is taking over").await;
}

async fn refuse(link: &mut Link, why: &str) -> io::Result<()> {
    link.send(&Message::Refused(why.into()), &[]).await?;
    Err(io::Error::other(format!("refused: {why}")))
}

/// All that this process has, in pieces; it serves on meanwhile.
async fn snapshot(shared: &Rc<Shared>, link: &mut Link) -> io::Result<()> {
    let discovery = shared.config.borrow().discovery.to_string();
    let (revision, members) = {
        let list = shared.endpoint_list.borrow();
        let (revision, members) = list.held();
        (revision, members.map(Value::to_string).collect::<Vec<_>>())
    };
    if shared.relay.borrow().has_endpoint_list() {
        for members in members.chunks(MAX_LIST_ENTRIES_PER_MESSAGE) {
            let (discovery, members) = (discovery.clone(), members.to_vec());
            link.send(&Message::EndpointList { discovery, revision, entries: members }, &[]).await?;
        }
    }
    let carried = shared.relay.borrow().export_learned_state(shared.clock.now());
    for piece in carried {
        link.send(&Message::LearnedState(piece), &[]).await?;
    }
    shared.relay.borrow_mut().track_affinity_changes();
    while let Some(records) = next_changes(shared) {
        link.send(&Message::AffinityRecords(records), &[]).await?;
    }
    let (keys, sockets): (Vec<_>, Vec<OwnedFd>) = {
        let kept = shared.sockets.borrow();
        let again = kept.iter().map(|(key, socket)| Ok((key.clone(), socket.try_clone()?)));
        again.collect::<io::Result<Vec<_>>>()?.into_iter().unzip()
    };
    let sockets: Vec<_> = sockets.iter().map(AsFd::as_fd).collect();
    link.send(&Message::ListeningSockets(keys), &sockets).await?;
    link.send(&Message::SnapshotComplete, &[]).await
}

/// Clients and groups that have changed since the last call; nothing once that is all.
fn next_changes(shared: &Shared) -> Option<Vec<Record>> {
    let changes =
        shared.relay.borrow_mut().take_affinity_changes(shared.clock.now(), MAX_RECORDS_PER_MESSAGE);
    Some(changes.updated).filter(|set| !set.is_empty())
}

/// Where clients came to stand since. Groups are left out: told twice, their load would count twice.
async fn changes(shared: &Rc<Shared>, link: &mut Link) -> io::Result<()> {
    while let Some(mut records) = next_changes(shared) {
        records.retain(|r| matches!(r, Record::Session { .. }));
        if !records.is_empty() {
            link.send(&Message::AffinityRecords(records), &[]).await?;
        }
    }
    Ok(())
}

async fn report(shared: &Rc<Shared>, link: &mut Link, told: &mut usize) -> io::Result<()> {
    changes(shared, link).await?;
    let descriptors = shared.admission.held();
    if std::mem::replace(told, descriptors) != descriptors {
        link.send(&Message::DescriptorsInUse { descriptors: descriptors as u32 }, &[]).await?;
    }
    Ok(())
}
