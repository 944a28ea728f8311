//! The hand-over to a new process through the real program.

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
use sandgw::handover::{FIRST_PROTOCOL_VERSION, Message, MessageDecoder, VERSION_MISMATCH, encode};

struct Fleet {
    _endpoint: Endpoint,
    _discovery: Discovery,
    folder: tempfile::TempDir,
    relay: Relay,
}

impl Fleet {
    /// A relay that may be handed over.
    fn start() -> Fleet {
        Self::start_more("")
    }

    fn start_more(more: &str) -> Fleet {
        let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
        discovery.set("s-1", &endpoint.address, "Ready", 0);
        let folder = tempfile::tempdir().unwrap();
        let more = format!("[relay]\nhandover = {:?}\n{more}", folder.path());
        let relay = Relay::start_more(&discovery, 1024, &[host()], 0, &more);
        let fleet = Fleet { _endpoint: endpoint, _discovery: discovery, folder, relay };
        until("it can be found", || fleet.path().exists());
        fleet
    }

    fn path(&self) -> PathBuf {
        self.folder.path().join("sandgw-handover")
    }

    /// A process that asks for the relay, with a life of its own.
    fn successor(&self, name: &str) -> Asker {
        let mut asker =
            Asker { stream: UnixStream::connect(self.path()).unwrap(), frames: MessageDecoder::default() };
        asker.stream.set_read_timeout(Some(LONG)).unwrap();
        asker.say(&Message::Hello { version: FIRST_PROTOCOL_VERSION, relay_name: name.into() });
        asker
    }

    /// One that has all. It is refused for as long as the one before is not known to have gone.
    fn whole(&self) -> Asker {
        let start = Instant::now();
        loop {
            let mut asker = self.successor("n0");
            let heard = asker.hear_until(|m| matches!(m, Message::SnapshotComplete | Message::Refused(_)));
            if heard.last() == Some(&Message::SnapshotComplete) {
                return asker;
            }
            assert!(start.elapsed() < LONG, "{heard:?}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn serves(&self) -> bool {
        let mut client = self.relay.client();
        client.0.get_ref().set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        client.open("").line() == "UP 1"
    }
}

struct Asker {
    stream: UnixStream,
    frames: MessageDecoder,
}

impl Asker {
    fn say(&mut self, message: &Message) {
        self.stream.write_all(&encode(message)).unwrap();
    }

    fn hear(&mut self) -> Option<Message> {
        loop {
            if let Some(message) = self.frames.next_message().unwrap() {
                return Some(message);
            }
            let mut bytes = [0; 4096];
            let n = self.stream.read(&mut bytes).unwrap_or(0);
            if n == 0 {
                return None;
            }
            self.frames.feed(&bytes[..n]);
        }
    }

    fn hear_until(&mut self, last: fn(&Message) -> bool) -> Vec<Message> {
        let mut heard = Vec::new();
        while !heard.last().is_some_and(last) {
            heard.push(self.hear().expect("the link breaks"));
        }
        heard
    }
}

fn stand(relay: &Relay) -> Client {
    let mut client = relay.client();
    assert_eq!(client.open("").line(), "UP 1");
    client
}

/// Clients come all the time: each is answered, by one process or the other, and who stands goes on.
#[test]
fn a_new_process_takes_the_relay_under_load() {
    let fleet = Fleet::start();
    // More than pass at a time, each in the middle of a line.
    let mut held: Vec<_> = (0..100).map(|_| stand(&fleet.relay)).collect();
    for client in &mut held {
        client.send("st");
    }
    let done = AtomicBool::new(false);
    assert_eq!(fleet.relay.status(), "done active, 100 standing");
    let new = thread::scope(|scope| {
        let load = (0..4).map(|_| {
            scope.spawn(|| {
                let mut answers = Vec::new();
                while !done.load(Ordering::Relaxed) {
                    answers.push(fleet.relay.client().open("").line());
                }
                answers
            })
        });
        let load: Vec<_> = load.collect();
        let new = fleet.relay.beside();
        until("the new process serves", || new.status().starts_with("done active"));
        assert_eq!(fleet.relay.status(), "error handed over: a new process serves in this one's place");
        fleet.relay.terminate();
        thread::sleep(Duration::from_millis(300));
        done.store(true, Ordering::Relaxed);
        let answers: Vec<_> = load.into_iter().flat_map(|l| l.join().unwrap()).collect();
        let wrong: Vec<_> = answers.iter().filter(|a| *a != "UP 1").collect();
        assert!(wrong.is_empty() && answers.len() > 50, "{wrong:?} of {}", answers.len());
        new
    });
    // Who stands follows, and the old one ends once it has nothing; its RTMP listener is the new one's too.
    until("the old process ends", || fleet.relay.has_ended());
    for client in &mut held {
        assert_eq!(client.send("ill\r\n").line(), "still");
    }
    assert_eq!(new.status(), "done active, 100 standing");
    drop(connect(&new.rtmp));
    assert!(stand(&new).send("on\r\n").line() == "on" && new.status().starts_with("done active"));
    // And so on: the next version finds this one.
    until("it says so", || new.log().contains("the predecessor process has ended"));
    let third = new.beside();
    until("the third serves", || third.status().starts_with("done active"));
    assert!(stand(&third).send("on\r\n").line() == "on");
    assert_eq!(held[99].send("on\r\n").line(), "on", "it stays until its process is told to end");
    new.terminate();
    until("the second ends", || new.has_ended());
    assert_eq!(held[0].send("on\r\n").line(), "on");
    // They are as good as any: their endpoint's end reaches them.
    assert_eq!(held[0].send("bye\r\n").line(), "BYE");
    assert_eq!(held[0].line(), "(end)");
}

/// What was known of clients comes along: a connection that arrives mid-flow finds its endpoint.
#[test]
fn clients_places_and_standby_are_handed_over() {
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
    assert!(at.iter().any(|up| *up != at[0]), "all are at one streamer: {at:?}");
    until("it can be found", || folder.path().join("sandgw-handover").exists());
    old.call(b"standby\n");
    let new = old.beside();
    until("the new process serves", || new.status().starts_with("done standby"));
    assert_eq!(new.client().send("PING\r\n").line(), "STANDBY");
    assert_eq!(new.call(b"active\n"), "done active, 0 standing");
    old.terminate();
    until("all have followed", || new.status() == "done active, 40 standing");
    drop(before);
    let again: Vec<_> = (0..40).map(|key| ask(&new, key, ",mid=1").0).collect();
    assert_eq!(again, at);
}

/// Each step is cut once: the running process goes on, and can be handed over after that.
#[test]
fn whoever_fails_on_the_way_leaves_the_running_process_serving() {
    let fleet = Fleet::start();
    let mut held = stand(&fleet.relay);
    assert_eq!(std::fs::metadata(fleet.path()).unwrap().permissions().mode() & 0o777, 0o600);
    // Nothing is said, or nonsense.
    drop(UnixStream::connect(fleet.path()).unwrap());
    UnixStream::connect(fleet.path()).unwrap().write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    assert!(fleet.serves());
    // Another relay, and one of a form that nobody has; a later one is met in the first.
    let refused = |m: Option<Message>| matches!(m, Some(Message::Refused(_)));
    assert!(refused(fleet.successor("n7").hear()));
    let mut other =
        Asker { stream: UnixStream::connect(fleet.path()).unwrap(), frames: MessageDecoder::default() };
    other.say(&Message::Hello { version: FIRST_PROTOCOL_VERSION - 1, relay_name: "n0".into() });
    assert!(refused(other.hear()));
    let mut other =
        Asker { stream: UnixStream::connect(fleet.path()).unwrap(), frames: MessageDecoder::default() };
    other.say(&Message::Hello { version: FIRST_PROTOCOL_VERSION + 8, relay_name: "n0".into() });
    assert!(matches!(other.hear(), Some(Message::EndpointList { .. })));
    drop(other);
    // Gone while it is told.
    drop(fleet.successor("n0"));
    assert!(fleet.serves());
    // Gone when it has all; the relay has never stopped.
    let asker = fleet.whole();
    assert!(fleet.serves());
    // Another one meanwhile is told so, and a real process says why it does not start.
    assert!(refused(fleet.successor("n0").hear()));
    let second = fleet.relay.beside();
    until("the second gives up", || second.has_ended());
    assert!(second.log().contains("another process is taking over"), "{}", second.log());
    drop(asker);
    // Gone, or stalled, when it has asked for the relay and not claimed it: taken back.
    for stalls in [false, true] {
        let mut asker = fleet.whole();
        asker.say(&Message::TakeoverRequest);
        asker.hear_until(|m| matches!(m, Message::AcceptingStopped { .. }));
        assert!(!fleet.serves(), "it has yielded");
        if !stalls {
            drop(asker);
            until("it serves again", || fleet.serves());
            continue;
        }
        until("it serves again", || fleet.serves());
        // The claim comes too late: it is never granted.
        let _ = asker.stream.write_all(&encode(&Message::OwnershipClaim));
        assert_eq!(asker.hear(), None);
    }
    // Killed once the relay was its own, and the running process not told to end: taken back.
    let mut asker = fleet.whole();
    asker.say(&Message::TakeoverRequest);
    asker.hear_until(|m| matches!(m, Message::AcceptingStopped { .. }));
    asker.say(&Message::OwnershipClaim);
    asker.hear_until(|m| *m == Message::OwnershipGranted);
    assert!(!fleet.serves() && fleet.relay.status().starts_with("error handed over"));
    drop(asker);
    until("it serves again", || fleet.serves());
    assert!(fleet.relay.status().starts_with("done active"));
    // None of it touched who stood, and a real successor still can.
    assert_eq!(held.send("still\r\n").line(), "still");
    let new = fleet.relay.beside();
    until("the new process serves", || new.status().starts_with("done active"));
    assert!(fleet.serves());
}

/// SIGTERM while nobody has taken over yet: the present ways stay, and a new process may still come.
#[test]
fn told_to_end_first_it_serves_on_and_hands_over_later() {
    let fleet = Fleet::start();
    let mut asker = fleet.whole();
    fleet.relay.terminate();
    until("it is heard", || fleet.relay.log().contains("SIGTERM"));
    asker.say(&Message::TakeoverRequest);
    asker.hear_until(|m| matches!(m, Message::AcceptingStopped { .. }));
    drop(asker);
    until("it serves again", || fleet.serves());
    let new = fleet.relay.beside();
    until("the new process serves", || new.status().starts_with("done active"));
    until("the old process ends", || fleet.relay.has_ended());
    assert!(fleet.serves());
}

/// What may stand in the folder instead of a running process.
#[test]
fn a_stale_or_strange_socket_is_no_trap() {
    let fleet = Fleet::start();
    let path = fleet.path();
    // Killed outright: its socket stays, and nobody answers.
    fleet.relay.signal("KILL");
    until("it is gone", || fleet.relay.has_ended());
    assert!(path.exists());
    let next = fleet.relay.beside();
    until("it starts as ever", || next.status().starts_with("done active"));
    next.signal("KILL");
    until("it is gone", || next.has_ended());
    // Somebody who does not answer, and somebody who always breaks off: a reason, and no relay.
    std::fs::remove_file(&path).unwrap();
    let silent = UnixListener::bind(&path).unwrap();
    let new = fleet.relay.beside();
    until("it is not ready", || new.status().starts_with("error not ready"));
    until("it gives up", || new.has_ended());
    assert!(new.log().contains("does not answer"), "{}", new.log());
    drop(silent);
    std::fs::remove_file(&path).unwrap();
    let breaks = UnixListener::bind(&path).unwrap();
    let closer = thread::spawn(move || breaks.incoming().take(3).for_each(drop));
    let new = fleet.relay.beside();
    until("it gives up", || new.has_ended());
    closer.join().unwrap();
    assert!(new.log().contains("breaks off"), "{}", new.log());
    // No socket at all: it is left alone, and the relay serves.
    std::fs::remove_file(&path).unwrap();
    std::fs::write(&path, "mine").unwrap();
    let new = fleet.relay.beside();
    until("it starts", || new.status().starts_with("done active"));
    until("it says so", || new.log().contains("is not a socket"));
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "mine");
}

/// The platform holds the clients' socket: who connects before anybody listens is served, and none of the
/// two binds.
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
    until("it can be found", || folder.path().join("sandgw-handover").exists());
    let (mut new, own) = start(&ops[1], &listener, "7");
    let log = || std::fs::read_to_string(own.path().join("log")).unwrap();
    until("it serves", || log().contains("this process serves"));
    assert_eq!(open().line(), "UP 1");
    assert_eq!(early.send("still\r\n").line(), "still");
    // What is no such socket is said, and nothing else is served in its stead.
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

/// Descriptors count for both together: what the old process holds the new one does not give out.
#[test]
fn both_processes_share_one_limit_of_descriptors() {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let folder = tempfile::tempdir().unwrap();
    let more = format!("[relay]\nhandover = {:?}\n", folder.path());
    let old = Relay::start_more(&discovery, 200, &[host()], 0, &more);
    until("it can be found", || folder.path().join("sandgw-handover").exists());
    let held: Vec<_> = (0..50).map(|_| stand(&old)).collect();
    let new = old.beside();
    until("the new process serves", || new.status().starts_with("done active"));
    let start = Instant::now();
    let placed = |relay: &Relay| {
        let mut clients: Vec<_> = (0..60).map(|_| relay.client()).collect();
        let answers: Vec<_> = clients.iter_mut().map(|c| c.open("").line()).collect();
        answers.iter().filter(|a| *a == "UP 1").count()
    };
    let beside = placed(&new);
    assert!((1..20).contains(&beside), "{beside} placed beside 50 of the old process");
    old.terminate();
    until("the old process ends", || old.has_ended());
    assert!((1..=20).contains(&placed(&new)), "the flows that followed count here");
    drop(held);
    until("there is room again", || placed(&new) >= 50);
    assert!(start.elapsed() < LONG);
}

/// The new process dies after the old one was told to end: connections not passed yet go on where they are,
/// and nothing is accepted there again.
#[test]
fn who_dies_while_flows_pass_takes_only_those_along() {
    let fleet = Fleet::start();
    let mut held: Vec<_> = (0..100).map(|_| stand(&fleet.relay)).collect();
    let mut asker = fleet.whole();
    asker.say(&Message::TakeoverRequest);
    asker.hear_until(|m| matches!(m, Message::AcceptingStopped { .. }));
    asker.say(&Message::OwnershipClaim);
    asker.hear_until(|m| *m == Message::OwnershipGranted);
    fleet.relay.terminate();
    asker.hear_until(|m| matches!(m, Message::Connection { .. }));
    drop(asker);
    until("it is heard", || fleet.relay.log().contains("hand-over: "));
    let goes_on = |client: &mut Client| {
        let _ = client.0.get_mut().write_all(b"still\r\n");
        client.line() == "still"
    };
    let left = held.iter_mut().filter_map(|c| goes_on(c).then_some(())).count();
    assert!((1..100).contains(&left), "{left} go on");
    assert!(!fleet.serves());
    drop(held);
    until("it ends", || fleet.relay.has_ended());
}

/// Both ends of a connection: the relay's and the other side's.
fn pair() -> (TcpStream, Client) {
    let listener = TcpListener::bind((host(), 0)).unwrap();
    let other = connect(&listener.local_addr().unwrap().to_string());
    let own = listener.accept().unwrap().0;
    own.set_nonblocking(true).unwrap();
    (own, Client(BufReader::new(other)))
}

/// A running process as the next one sees it, which hands it the relay and stays.
fn hands_over(listener: &UnixListener) -> UnixStream {
    let stream = accepted(|| listener.set_nonblocking(true).and_then(|()| listener.accept()));
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut asker = Asker { stream, frames: MessageDecoder::default() };
    asker.hear_until(|m| matches!(m, Message::Hello { .. }));
    asker.say(&Message::SnapshotComplete);
    asker.hear_until(|m| *m == Message::TakeoverRequest);
    asker.say(&Message::AcceptingStopped { descriptors: 0, standby: None, slow_start_pause: 0.0 });
    asker.hear_until(|m| *m == Message::OwnershipClaim);
    asker.say(&Message::OwnershipGranted);
    asker.stream
}

/// A standing connection's message.
fn passed(id: &str, pending_to_endpoint: Vec<u8>) -> Vec<u8> {
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

fn send_with(link: &UnixStream, bytes: &[u8], sockets: [TcpStream; 2]) {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let both = sockets.each_ref().map(AsFd::as_fd);
    assert!(control.push(SendAncillaryMessage::ScmRights(&both)));
    let sent = sendmsg(link, &[IoSlice::new(bytes)], &mut control, SendFlags::empty());
    assert_eq!(sent, Ok(bytes.len()));
}

/// The new process has no descriptor left for a connection's sockets: that connection is lost. It was not:
/// what its message left unsaid was read together with the next connection and its sockets, which the first
/// took for its own.
#[test]
fn a_flow_whose_sockets_found_no_room_takes_nobody_elses() {
    let (endpoint, discovery) = (Endpoint::lines("UP 1\r\n"), Discovery::start());
    discovery.set("s-1", &endpoint.address, "Ready", 0);
    let folder = tempfile::tempdir().unwrap();
    let listener = UnixListener::bind(folder.path().join("sandgw-handover")).unwrap();
    let link = thread::spawn(move || hands_over(&listener));
    let more = format!("[relay]\nhandover = {:?}\n", folder.path());
    let new = Relay::start_more(&discovery, 1024, &[host()], 0, &more);
    let mut link = link.join().unwrap();
    // The first connection's message is longer than what is read at once, and its sockets come with its
    // first bytes.
    let [(client, mut first), (to_endpoint, mut at_first)] = [pair(), pair()];
    let message = passed("1", b"first\r\n".repeat(700));
    new.limit_descriptors(3);
    send_with(&link, &message[..3000], [client, to_endpoint]);
    assert!(first.line().starts_with('(') && at_first.line().starts_with('('), "its sockets were dropped");
    new.limit_descriptors(1024);
    let [(client, mut second), (to_endpoint, mut at_second)] = [pair(), pair()];
    new.freeze();
    link.write_all(&message[3000..]).unwrap();
    send_with(&link, &passed("2", Vec::new()), [client, to_endpoint]);
    new.signal("CONT");
    second.send("second\r\n");
    assert_eq!(at_second.line(), "second");
    at_second.send("to the second\r\n");
    assert_eq!(second.line(), "to the second");
    assert!(new.log().contains("a connection is lost: it came without its sockets"), "{}", new.log());
    assert_eq!(new.status(), "done active, 1 standing");
}

/// Two processes hand over in the newest form that both speak; who speaks the first only is asked again in
/// that.
#[test]
fn a_hand_over_is_in_the_newest_form_that_both_speak() {
    let fleet = Fleet::start_more("[forms]\n");
    let mut asker =
        Asker { stream: UnixStream::connect(fleet.path()).unwrap(), frames: MessageDecoder::default() };
    asker.say(&Message::Hello { version: 9, relay_name: "n0".into() });
    let Some(Message::VersionAgreement { version: 2, advertisement: word, .. }) = asker.hear() else {
        panic!("not in form 2")
    };
    assert!(word.starts_with("3121"), "{word}");
    drop(asker);
    // Who asks in form 1 hears nothing that form 1 has not.
    let start = Instant::now();
    let asker = loop {
        // Until the link of before is let go, others are turned away.
        let mut asker = fleet.successor("n0");
        let heard = asker.hear_until(|m| matches!(m, Message::SnapshotComplete | Message::Refused(_)));
        assert!(!heard.iter().any(|m| matches!(m, Message::VersionAgreement { .. })));
        if heard.last() == Some(&Message::SnapshotComplete) {
            break asker;
        }
        assert!(start.elapsed() < LONG, "{heard:?}");
        thread::sleep(Duration::from_millis(10));
    };
    drop(asker);
    let offered = || std::fs::metadata(fleet.path()).and_then(|m| m.modified()).ok();
    let before = offered();
    let next = fleet.relay.beside();
    until("it serves", || next.log().contains("this process serves"));
    assert!(next.log().contains("hand-over: protocol version 2"), "{}", next.log());
    // It says so a moment before it can be asked itself: a path taken away until then would be taken back.
    until("it offers", || offered().is_some_and(|at| Some(at) != before));
    // A running process of before refuses all forms but its own.
    std::fs::remove_file(fleet.path()).unwrap();
    let before = UnixListener::bind(fleet.path()).unwrap();
    let new = fleet.relay.beside();
    for (form, why) in [(2, VERSION_MISMATCH), (FIRST_PROTOCOL_VERSION, "enough")] {
        let stream = accepted(|| before.set_nonblocking(true).and_then(|()| before.accept()));
        stream.set_nonblocking(false).unwrap();
        let mut asker = Asker { stream, frames: MessageDecoder::default() };
        assert_eq!(asker.hear(), Some(Message::Hello { version: form, relay_name: "n0".into() }));
        asker.say(&Message::Refused(why.into()));
    }
    until("it gives up", || new.has_ended());
    assert!(new.log().contains("refuses: enough"), "{}", new.log());
}
