//! Tests of the hand-over to a successor process, with the real program.

mod common;

use std::io::{BufReader, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use command_fds::{CommandFdExt, FdMapping};
use common::*;
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use sandgw::handover::{
    CONNECTION_IDS_VERSION, FIRST_PROTOCOL_VERSION, Message, MessageDecoder, VERSION_MISMATCH, encode,
};

struct TestCluster {
    _endpoint: Endpoint,
    _discovery: Discovery,
    folder: tempfile::TempDir,
    relay: Relay,
}

impl TestCluster {
    /// Starts a relay with the hand-over configured.
    fn start() -> TestCluster {
        Self::start_with("")
    }

    fn start_with(more: &str) -> TestCluster {
        let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
        discovery.set("s-1", &endpoint.address, "Ready", 0);
        let folder = tempfile::tempdir().unwrap();
        let more = format!("[relay]\nhandover = {:?}\n{more}", folder.path());
        let relay = Relay::start_more(&discovery, 1024, &[host()], 0, &more);
        let cluster = TestCluster { _endpoint: endpoint, _discovery: discovery, folder, relay };
        until("the hand-over socket exists", || cluster.path().exists());
        cluster
    }

    fn path(&self) -> PathBuf {
        self.folder.path().join("sandgw-handover")
    }

    /// Connects to the hand-over socket as a successor process does that the test plays.
    fn successor(&self, name: &str) -> HandOverPeer {
        let mut peer = HandOverPeer {
            stream: UnixStream::connect(self.path()).unwrap(),
            decoder: MessageDecoder::default(),
        };
        peer.stream.set_read_timeout(Some(LONG)).unwrap();
        peer.send_message(&Message::Hello { version: FIRST_PROTOCOL_VERSION, relay_name: name.into() });
        peer
    }

    /// Connects as a successor and receives the whole snapshot. The relay refuses a successor until it has
    /// noticed that the previous one has disconnected.
    fn successor_with_snapshot(&self) -> HandOverPeer {
        let start = Instant::now();
        loop {
            let mut peer = self.successor("n0");
            let received =
                peer.receive_until(|m| matches!(m, Message::SnapshotComplete | Message::Refused(_)));
            if received.last() == Some(&Message::SnapshotComplete) {
                return peer;
            }
            assert!(start.elapsed() < LONG, "{received:?}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn serves(&self) -> bool {
        let mut client = self.relay.client();
        client.0.get_ref().set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        client.open("").line() == "UP 1"
    }
}

struct HandOverPeer {
    stream: UnixStream,
    decoder: MessageDecoder,
}

impl HandOverPeer {
    fn send_message(&mut self, message: &Message) {
        self.stream.write_all(&encode(message)).unwrap();
    }

    fn receive(&mut self) -> Option<Message> {
        loop {
            if let Some(message) = self.decoder.next_message().unwrap() {
                return Some(message);
            }
            let mut bytes = [0; 4096];
            let n = self.stream.read(&mut bytes).unwrap_or(0);
            if n == 0 {
                return None;
            }
            self.decoder.feed(&bytes[..n]);
        }
    }

    fn receive_until(&mut self, last: fn(&Message) -> bool) -> Vec<Message> {
        let mut received = Vec::new();
        while !received.last().is_some_and(last) {
            received.push(self.receive().expect("the hand-over connection was closed"));
        }
        received
    }
}

fn establish(relay: &Relay) -> Client {
    let mut client = relay.client();
    assert_eq!(client.open("").line(), "UP 1");
    client
}

/// Clients keep arriving during the hand-over: each is answered by one of the two processes, and established
/// connections continue.
#[test]
fn a_new_process_takes_the_relay_under_load() {
    let cluster = TestCluster::start();
    // More connections than are passed at a time, each in the middle of a line.
    let mut held: Vec<_> = (0..100).map(|_| establish(&cluster.relay)).collect();
    for client in &mut held {
        client.send("st");
    }
    let done = AtomicBool::new(false);
    assert_eq!(cluster.relay.status(), "done active, 100 standing");
    let new = thread::scope(|scope| {
        let load = (0..4).map(|_| {
            scope.spawn(|| {
                let mut answers = Vec::new();
                while !done.load(Ordering::Relaxed) {
                    answers.push(cluster.relay.client().open("").line());
                }
                answers
            })
        });
        let load: Vec<_> = load.collect();
        let new = cluster.relay.beside();
        until("the new process serves", || new.status().starts_with("done active"));
        assert_eq!(cluster.relay.status(), "error handed over: a new process serves in this one's place");
        cluster.relay.terminate();
        thread::sleep(Duration::from_millis(300));
        done.store(true, Ordering::Relaxed);
        let answers: Vec<_> = load.into_iter().flat_map(|l| l.join().unwrap()).collect();
        let wrong: Vec<_> = answers.iter().filter(|a| *a != "UP 1").collect();
        assert!(wrong.is_empty() && answers.len() > 50, "{wrong:?} of {}", answers.len());
        new
    });
    // Established connections follow, and the old process ends once it has none. The new process has taken
    // over the RTMP listener as well.
    until("the old process ends", || cluster.relay.has_ended());
    for client in &mut held {
        assert_eq!(client.send("ill\r\n").line(), "still");
    }
    assert_eq!(new.status(), "done active, 100 standing");
    drop(connect(&new.rtmp));
    assert!(establish(&new).send("on\r\n").line() == "on" && new.status().starts_with("done active"));
    // A third process can take over from the second in turn.
    until("the predecessor's end is logged", || new.log().contains("the predecessor process has ended"));
    let third = new.beside();
    until("the third process serves", || third.status().starts_with("done active"));
    assert!(establish(&third).send("on\r\n").line() == "on");
    assert_eq!(
        held[99].send("on\r\n").line(),
        "on",
        "the connection stays until its process receives SIGTERM"
    );
    new.terminate();
    until("the second process ends", || new.has_ended());
    assert_eq!(held[0].send("on\r\n").line(), "on");
    // A connection that was passed on still receives the end of its endpoint.
    assert_eq!(held[0].send("bye\r\n").line(), "BYE");
    assert_eq!(held[0].line(), "(end)");
}

/// The sticky endpoints of clients are handed over: a connection that arrives mid-flow reaches its endpoint.
#[test]
fn sticky_endpoints_and_standby_are_handed_over() {
    let endpoints = ["UP 0\r\n", "UP 1\r\n", "UP 2\r\n", "UP 3\r\n"].map(Endpoint::lines);
    let discovery = Discovery::start();
    for (i, s) in endpoints.iter().enumerate() {
        discovery.set(&format!("s-{i}"), &s.address, "Ready", 0);
    }
    let folder = tempfile::tempdir().unwrap();
    let more = format!("[relay]\nhandover = {:?}\n", folder.path());
    let old = Relay::start_more(&discovery, 1024, &[host()], 0, &more);
    let ask = |relay: &Relay, key: usize, more: &str| {
        let mut client = relay.client();
        let id = more.len();
        let up = client.send(&format!("OPEN {id}x{key} {key} c=subtitle-stream,t=acme,d=2000,g=1{more}\r\n"));
        (up.line(), client)
    };
    let before: Vec<_> = (0..40).map(|key| ask(&old, key, ",again=1")).collect();
    let at: Vec<_> = before.iter().map(|(up, _)| up.clone()).collect();
    assert!(at.iter().any(|up| *up != at[0]), "all clients were placed at the same endpoint: {at:?}");
    until("the hand-over socket exists", || folder.path().join("sandgw-handover").exists());
    old.call(b"standby\n");
    let new = old.beside();
    until("the new process serves", || new.status().starts_with("done standby"));
    assert_eq!(new.client().send("PING\r\n").line(), "STANDBY");
    assert_eq!(new.call(b"active\n"), "done active, 0 standing");
    old.terminate();
    until("all connections have been passed on", || new.status() == "done active, 40 standing");
    drop(before);
    let again: Vec<_> = (0..40).map(|key| ask(&new, key, ",mid=1").0).collect();
    assert_eq!(again, at);
}

/// The hand-over is interrupted once at each step: the running process continues to serve, and a later
/// hand-over succeeds.
#[test]
fn a_successor_that_fails_at_any_step_leaves_the_running_process_serving() {
    let cluster = TestCluster::start();
    let mut held = establish(&cluster.relay);
    assert_eq!(std::fs::metadata(cluster.path()).unwrap().permissions().mode() & 0o777, 0o600);
    // A successor that sends nothing, and a client of another protocol.
    drop(UnixStream::connect(cluster.path()).unwrap());
    UnixStream::connect(cluster.path()).unwrap().write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(cluster.serves());
    // A successor of another name and one below the first protocol version are refused; with one of a later
    // version the relay speaks the first.
    let refused = |m: Option<Message>| matches!(m, Some(Message::Refused(_)));
    assert!(refused(cluster.successor("n7").receive()));
    let mut other = HandOverPeer {
        stream: UnixStream::connect(cluster.path()).unwrap(),
        decoder: MessageDecoder::default(),
    };
    other.send_message(&Message::Hello { version: FIRST_PROTOCOL_VERSION - 1, relay_name: "n0".into() });
    assert!(refused(other.receive()));
    let mut other = HandOverPeer {
        stream: UnixStream::connect(cluster.path()).unwrap(),
        decoder: MessageDecoder::default(),
    };
    other.send_message(&Message::Hello { version: FIRST_PROTOCOL_VERSION + 8, relay_name: "n0".into() });
    assert!(matches!(other.receive(), Some(Message::EndpointList { .. })));
    drop(other);
    // The successor disconnects while it receives the snapshot.
    drop(cluster.successor("n0"));
    assert!(cluster.serves());
    // The successor disconnects once it has the whole snapshot; the relay serves throughout.
    let peer = cluster.successor_with_snapshot();
    assert!(cluster.serves());
    // A second successor is refused meanwhile, and a real process logs why it does not start.
    assert!(refused(cluster.successor("n0").receive()));
    let second = cluster.relay.beside();
    until("the second process gives up", || second.has_ended());
    assert!(second.log().contains("another process is taking over"), "{}", second.log());
    drop(peer);
    // The successor disconnects or stalls between its takeover request and its claim: the running process
    // takes the relay back.
    for successor_stalls in [false, true] {
        let mut peer = cluster.successor_with_snapshot();
        peer.send_message(&Message::TakeoverRequest);
        peer.receive_until(|m| matches!(m, Message::AcceptingStopped { .. }));
        assert!(!cluster.serves(), "the relay still accepts after the takeover request");
        if !successor_stalls {
            drop(peer);
            until("the relay serves again", || cluster.serves());
            continue;
        }
        until("the relay serves again", || cluster.serves());
        // The claim comes too late and is never granted.
        let _ = peer.stream.write_all(&encode(&Message::OwnershipClaim));
        assert_eq!(peer.receive(), None);
    }
    // The successor dies once it owns the relay, before the running process receives SIGTERM: the running
    // process takes the relay back.
    let mut peer = cluster.successor_with_snapshot();
    peer.send_message(&Message::TakeoverRequest);
    peer.receive_until(|m| matches!(m, Message::AcceptingStopped { .. }));
    peer.send_message(&Message::OwnershipClaim);
    peer.receive_until(|m| *m == Message::OwnershipGranted);
    assert!(!cluster.serves() && cluster.relay.status().starts_with("error handed over"));
    drop(peer);
    until("the relay serves again", || cluster.serves());
    assert!(cluster.relay.status().starts_with("done active"));
    // The established connection was not affected, and a real successor can still take over.
    assert_eq!(held.send("still\r\n").line(), "still");
    let new = cluster.relay.beside();
    until("the new process serves", || new.status().starts_with("done active"));
    assert!(cluster.serves());
}

/// SIGTERM before any process has taken over: the relay continues to serve, and a new process can still take
/// over.
#[test]
fn a_relay_that_receives_sigterm_first_serves_on_and_hands_over_later() {
    let cluster = TestCluster::start();
    let mut peer = cluster.successor_with_snapshot();
    cluster.relay.terminate();
    until("the relay logs SIGTERM", || cluster.relay.log().contains("SIGTERM"));
    peer.send_message(&Message::TakeoverRequest);
    peer.receive_until(|m| matches!(m, Message::AcceptingStopped { .. }));
    drop(peer);
    until("the relay serves again", || cluster.serves());
    let new = cluster.relay.beside();
    until("the new process serves", || new.status().starts_with("done active"));
    until("the old process ends", || cluster.relay.has_ended());
    assert!(cluster.serves());
}

/// A new process starts, or ends with a reason, whatever it finds at the path of the hand-over socket.
#[test]
fn a_start_serves_or_ends_with_a_reason_whatever_is_at_the_socket_path() {
    let cluster = TestCluster::start();
    let path = cluster.path();
    // After SIGKILL the socket file remains, and nothing listens on it.
    cluster.relay.signal("KILL");
    until("the process has ended", || cluster.relay.has_ended());
    assert!(path.exists());
    let next = cluster.relay.beside();
    until("the next process serves", || next.status().starts_with("done active"));
    next.signal("KILL");
    until("the process has ended", || next.has_ended());
    // Where the listener never answers, or always closes the connection, the process logs a reason and ends.
    std::fs::remove_file(&path).unwrap();
    let silent = UnixListener::bind(&path).unwrap();
    let new = cluster.relay.beside();
    until("the new process reports that it is not ready", || new.status().starts_with("error not ready"));
    until("the new process gives up", || new.has_ended());
    assert!(new.log().contains("does not answer"), "{}", new.log());
    drop(silent);
    std::fs::remove_file(&path).unwrap();
    let breaks = UnixListener::bind(&path).unwrap();
    let closer = thread::spawn(move || breaks.incoming().take(3).for_each(drop));
    let new = cluster.relay.beside();
    until("the new process gives up", || new.has_ended());
    closer.join().unwrap();
    assert!(new.log().contains("breaks the link repeatedly"), "{}", new.log());
    // A file that is no socket is left alone, and the relay serves.
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "mine").unwrap();
    let new = cluster.relay.beside();
    until("the new process serves", || new.status().starts_with("done active"));
    until("the log names the file", || new.log().contains("is not a socket"));
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "mine");
}

/// The platform passes the clients' listening socket: a client that connects before a relay runs is served,
/// and neither process binds the address.
#[test]
fn a_passed_socket_is_shared_by_both_processes() {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let folder = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind((host(), 8443)).unwrap();
    let line = listener.local_addr().unwrap().to_string();
    let start = |ops: &str, passed: &TcpListener, number: &str| {
        let own = tempfile::tempdir().unwrap();
        let text = format!(
            r#"{{"name":"n0","listen":"{line}","ops":"{ops}","discovery":"{}","known":{},"settings":{SETTINGS}}}"#,
            discovery.address,
            discovery.json(0)
        );
        std::fs::write(own.path().join("config.json"), text).unwrap();
        std::fs::write(own.path().join("app.toml"), "").unwrap();
        let mut command = command(own.path(), "true");
        command.env("PROXY_PASSED_SOCKET", number).env("TMPDIR", folder.path());
        let parent_fd = passed.try_clone().unwrap().into();
        command.fd_mappings(vec![FdMapping { parent_fd, child_fd: 7 }]).unwrap();
        (command.spawn().unwrap(), own)
    };
    let open = || {
        let mut client = Client(BufReader::new(connect(&line)));
        client.open("");
        client
    };
    let mut early = open();
    let ops = [host(), host()].map(|host| format!("{host}:8444"));
    let (mut old, _own) = start(&ops[0], &listener, "7");
    assert_eq!(early.line(), "UP 1");
    until("the hand-over socket exists", || folder.path().join("sandgw-handover").exists());
    let (mut new, own) = start(&ops[1], &listener, "7");
    let log = || std::fs::read_to_string(own.path().join("log")).unwrap();
    until("the new process serves", || log().contains("this process serves"));
    assert_eq!(open().line(), "UP 1");
    assert_eq!(early.send("still\r\n").line(), "still");
    // A descriptor that is no listening socket is logged, and the process ends instead of binding a socket of
    // its own.
    for (number, why) in [("9", "descriptor 9"), ("seven", "PROXY_PASSED_SOCKET"), ("0", "standard stream")] {
        let (mut child, own) = start(&ops[0], &listener, number);
        assert!(!child.wait().unwrap().success());
        let log = std::fs::read_to_string(own.path().join("log")).unwrap();
        assert!(log.contains(why), "{log}");
    }
    for child in [&mut old, &mut new] {
        child.kill().unwrap();
        child.wait().unwrap();
    }
}

/// The limit of descriptors holds for both processes together: the new process does not use those that the
/// old one still holds.
#[test]
fn both_processes_share_one_limit_of_descriptors() {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let folder = tempfile::tempdir().unwrap();
    let more = format!("[relay]\nhandover = {:?}\n", folder.path());
    let old = Relay::start_more(&discovery, 200, &[host()], 0, &more);
    until("the hand-over socket exists", || folder.path().join("sandgw-handover").exists());
    let held: Vec<_> = (0..50).map(|_| establish(&old)).collect();
    let new = old.beside();
    until("the new process serves", || new.status().starts_with("done active"));
    let start = Instant::now();
    let placed = |relay: &Relay| {
        let mut clients: Vec<_> = (0..60).map(|_| relay.client()).collect();
        let answers: Vec<_> = clients.iter_mut().map(|c| c.open("").line()).collect();
        answers.iter().filter(|a| *a == "UP 1").count()
    };
    let beside = placed(&new);
    assert!((1..20).contains(&beside), "{beside} connections placed beside 50 of the old process");
    old.terminate();
    until("the old process ends", || old.has_ended());
    assert!(
        (1..=20).contains(&placed(&new)),
        "the connections that were passed on do not count against the limit"
    );
    drop(held);
    until("the descriptors are free again", || placed(&new) >= 50);
    assert!(start.elapsed() < LONG);
}

/// The new process dies after the old one received SIGTERM: connections that were not yet passed on continue
/// at the old process, which accepts no new ones.
#[test]
fn a_successor_that_dies_while_connections_pass_loses_only_passed_ones() {
    let cluster = TestCluster::start();
    let mut held: Vec<_> = (0..100).map(|_| establish(&cluster.relay)).collect();
    let mut peer = cluster.successor_with_snapshot();
    peer.send_message(&Message::TakeoverRequest);
    peer.receive_until(|m| matches!(m, Message::AcceptingStopped { .. }));
    peer.send_message(&Message::OwnershipClaim);
    peer.receive_until(|m| *m == Message::OwnershipGranted);
    cluster.relay.terminate();
    peer.receive_until(|m| matches!(m, Message::Connection { .. }));
    drop(peer);
    until("the failed hand-over is logged", || cluster.relay.log().contains("hand-over: "));
    let continues = |client: &mut Client| {
        let _ = client.0.get_mut().write_all(b"still\r\n");
        client.line() == "still"
    };
    let left = held.iter_mut().filter_map(|c| continues(c).then_some(())).count();
    assert!((1..100).contains(&left), "{left} of 100 connections continue");
    assert!(!cluster.serves());
    drop(held);
    until("the old process ends", || cluster.relay.has_ended());
}

/// The two ends of a connection: the relay's socket, and the client's or endpoint's.
fn pair() -> (TcpStream, Client) {
    let listener = TcpListener::bind((host(), 0)).unwrap();
    let other = connect(&listener.local_addr().unwrap().to_string());
    let own = listener.accept().unwrap().0;
    own.set_nonblocking(true).unwrap();
    (own, Client(BufReader::new(other)))
}

/// Plays the running process: accepts a successor, grants it the relay, and returns the open hand-over
/// connection.
fn grant_ownership(listener: &UnixListener) -> UnixStream {
    let stream = accepted(|| listener.set_nonblocking(true).and_then(|()| listener.accept()));
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut peer = HandOverPeer { stream, decoder: MessageDecoder::default() };
    peer.receive_until(|m| matches!(m, Message::Hello { .. }));
    peer.send_message(&Message::SnapshotComplete);
    peer.receive_until(|m| *m == Message::TakeoverRequest);
    peer.send_message(&Message::AcceptingStopped { descriptors: 0, standby: None, slow_start_pause: 0.0 });
    peer.receive_until(|m| *m == Message::OwnershipClaim);
    peer.send_message(&Message::OwnershipGranted);
    peer.stream
}

/// The hand-over message of an established connection.
fn connection_message(id: &str, pending_to_endpoint: Vec<u8>) -> Vec<u8> {
    let connection = serde_json::json!({"class": "subtitle-stream", "endpoint": "s-1", "client": id, "group": null,
        "load": null, "drained_by_endpoint": true, "reroutable": true});
    let protocol = serde_json::json!({"id": id, "key": id, "line_prefix": [], "line_bytes": 0,
        "announced_completion": null, "unanswered_ms": null});
    let (connection, protocol) =
        (serde_json::from_value(connection).unwrap(), serde_json::from_value(protocol).unwrap());
    encode(&Message::Connection {
        connection: Box::new(connection),
        protocol: Box::new(protocol),
        pending_to_endpoint,
        pending_to_client: Vec::new(),
    })
}

fn send_with_sockets(link: &UnixStream, bytes: &[u8], sockets: [TcpStream; 2]) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let both = sockets.each_ref().map(AsFd::as_fd);
    assert!(control.push(SendAncillaryMessage::ScmRights(&both)));
    let sent = sendmsg(link, &[IoSlice::new(bytes)], &mut control, SendFlags::empty());
    assert_eq!(sent, Ok(bytes.len()));
}

/// Guards against a connection that takes the sockets of the next. Where the new process has no descriptor
/// left for a connection's sockets, that connection must be lost; instead, the rest of its message was read
/// together with the next connection's, whose sockets the first connection then took.
#[test]
fn a_connection_without_descriptors_does_not_take_the_sockets_of_the_next() {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let folder = tempfile::tempdir().unwrap();
    let listener = UnixListener::bind(folder.path().join("sandgw-handover")).unwrap();
    let link = thread::spawn(move || grant_ownership(&listener));
    let more = format!("[relay]\nhandover = {:?}\n", folder.path());
    let new = Relay::start_more(&discovery, 1024, &[host()], 0, &more);
    let mut link = link.join().unwrap();
    // The first connection's message is longer than one read, and its sockets come with its first bytes.
    let [(client, mut first), (to_endpoint, mut at_first)] = [pair(), pair()];
    let message = connection_message("1", b"first\r\n".repeat(700));
    new.limit_descriptors(3);
    send_with_sockets(&link, &message[..3000], [client, to_endpoint]);
    assert!(
        first.line().starts_with('(') && at_first.line().starts_with('('),
        "the sockets of the first connection were not closed"
    );
    new.limit_descriptors(1024);
    let [(client, mut second), (to_endpoint, mut at_second)] = [pair(), pair()];
    new.freeze();
    link.write_all(&message[3000..]).unwrap();
    send_with_sockets(&link, &connection_message("2", Vec::new()), [client, to_endpoint]);
    new.signal("CONT");
    second.send("second\r\n");
    assert_eq!(at_second.line(), "second");
    at_second.send("to the second\r\n");
    assert_eq!(second.line(), "to the second");
    assert!(new.log().contains("a connection is lost: it came without its sockets"), "{}", new.log());
    assert_eq!(new.status(), "done active, 1 standing");
}

/// Two processes use the newest protocol version that both speak; a process that speaks the first only is
/// asked again in that.
#[test]
fn a_hand_over_uses_the_newest_protocol_version_of_both() {
    let cluster = TestCluster::start_with("[forms]\n");
    let mut peer = HandOverPeer {
        stream: UnixStream::connect(cluster.path()).unwrap(),
        decoder: MessageDecoder::default(),
    };
    peer.send_message(&Message::Hello { version: 9, relay_name: "n0".into() });
    let Some(Message::VersionAgreement { version: 2, advertisement: encoded, .. }) = peer.receive() else {
        panic!("the relay does not answer in protocol version 2")
    };
    assert!(encoded.starts_with("3121"), "{encoded}");
    drop(peer);
    // A successor that asks in version 1 receives only messages of version 1.
    let start = Instant::now();
    let peer = loop {
        // The relay refuses successors until it has closed the previous hand-over connection.
        let mut peer = cluster.successor("n0");
        let received = peer.receive_until(|m| matches!(m, Message::SnapshotComplete | Message::Refused(_)));
        assert!(!received.iter().any(|m| matches!(m, Message::VersionAgreement { .. })));
        if received.last() == Some(&Message::SnapshotComplete) {
            break peer;
        }
        assert!(start.elapsed() < LONG, "{received:?}");
        thread::sleep(Duration::from_millis(10));
    };
    drop(peer);
    let offered = || std::fs::metadata(cluster.path()).and_then(|m| m.modified()).ok();
    let before = offered();
    let next = cluster.relay.beside();
    until("the next process serves", || next.log().contains("this process serves"));
    assert!(next.log().contains("hand-over: protocol version 2"), "{}", next.log());
    // The log line comes just before the process binds its own hand-over socket, which would replace a socket
    // that the test bound earlier.
    until("the next process binds its hand-over socket", || offered().is_some_and(|at| Some(at) != before));
    // A running process of an older release refuses all versions but its own.
    std::fs::remove_file(cluster.path()).unwrap();
    let before = UnixListener::bind(cluster.path()).unwrap();
    let new = cluster.relay.beside();
    for (proposed, why) in [(CONNECTION_IDS_VERSION, VERSION_MISMATCH), (FIRST_PROTOCOL_VERSION, "enough")] {
        let stream = accepted(|| before.set_nonblocking(true).and_then(|()| before.accept()));
        stream.set_nonblocking(false).unwrap();
        let mut peer = HandOverPeer { stream, decoder: MessageDecoder::default() };
        assert_eq!(peer.receive(), Some(Message::Hello { version: proposed, relay_name: "n0".into() }));
        peer.send_message(&Message::Refused(why.into()));
    }
    until("the new process gives up", || new.has_ended());
    assert!(new.log().contains("refuses: enough"), "{}", new.log());
}

/// Guards against an id that runs twice, since it came again at the other process of an upgrade.
#[test]
fn an_id_that_clients_of_the_predecessor_have_used_is_rejected_by_the_successor() {
    let cluster = TestCluster::start();
    let request = |id: &str| format!("OPEN {id} 7f3a9c21e0b4d655 c=subtitle-stream,t=acme,d=2000\r\n");
    let answer = |id: &str| cluster.relay.client().send(&request(id)).line();
    let mut held = cluster.relay.client();
    assert_eq!(held.send(&request("held")).line(), "UP 1");
    assert_eq!(answer("left"), "UP 1");
    // The request of this client is complete only after the hand-over, at the predecessor.
    let mut late = cluster.relay.client();
    late.send("OPEN late");
    let new = cluster.relay.beside();
    until("the new process serves", || new.log().contains("this process serves"));
    for id in ["held", "left"] {
        assert_eq!(answer(id), "ERR", "{id}: {}", new.log());
    }
    let rest = &request("late")["OPEN late".len()..];
    assert_eq!(late.send(rest).line(), "UP 1");
    // The predecessor reports the ids of late requests ten times a second.
    thread::sleep(Duration::from_millis(500));
    assert_eq!(answer("late"), "ERR", "{}", new.log());
    cluster.relay.terminate();
    until("the connections are with the new process", || new.status() == "done active, 2 standing");
    assert_eq!(held.send("on\r\n").line(), "on");
    assert_eq!([answer("held"), answer("late")], ["ERR", "ERR"]);
}
