//! The stand-ins themselves: a queue with a cost, a list that changes, links with faults, and the store.

use std::net::SocketAddr;
use std::time::Duration;

use sandgw_test_cluster::fault_proxy::{DatagramMesh, DelayRange, LinkFaults, LinkMode, TcpLink};
use sandgw_test_cluster::fault_schedule::AnswerDelay;
use sandgw_test_cluster::log::{Event, EventKind};
use sandgw_test_cluster::settings::RuleSettings;
use sandgw_test_cluster::stub_discovery::{
    BodyStyle, ChunkPacing, EndpointEntry, EndpointPhase, ServiceModel, StubDiscovery, Truncation,
};
use sandgw_test_cluster::stub_endpoints::{EndpointModel, StubEndpoints};
use sandgw_test_cluster::{ClusterConfig, Log, TestCluster, duration, loopback_host};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// Longer than anything waited for; only a failing test gets there.
const LONG: Duration = Duration::from_secs(10);

async fn call(at: SocketAddr, query: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(at).await else { return "refused".into() };
    let text = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n");
    let _ = stream.write_all(text.as_bytes()).await;
    let mut answer = String::new();
    match timeout(LONG, stream.read_to_string(&mut answer)).await {
        Ok(Ok(_)) => answer,
        Ok(Err(e)) => format!("{answer}({:?})", e.kind()),
        Err(_) => "(silent)".into(),
    }
}

fn entry(id: &str, phase: EndpointPhase) -> EndpointEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    EndpointEntry { id: id.into(), address, zone: "a".into(), phase, size: 1.0, started_unix_ms: 0 }
}

#[tokio::test]
async fn discovery_takes_calls_in_turn_and_fails_late_ones_at_the_same_cost() {
    let log = Log::default();
    let service = ServiceModel { call_cost_ms: 600.0, queue_timeout_ms: 2700.0, ..ServiceModel::default() };
    let discovery = StubDiscovery::start(8, service, &log).await.unwrap();
    discovery.publish(entry("s1", EndpointPhase::Ready));
    let mut calls = tokio::task::JoinSet::new();
    (0..8).for_each(|n| drop(calls.spawn(call_owned(discovery.address(n), "?after=1&wait_ms=0"))));
    let answers = calls.join_all().await;
    let good = answers.iter().filter(|a| a.starts_with("HTTP/1.1 200")).count();
    // The first five wait 0 to 2.4 s for their turn; three fail and keep it busy all the same.
    assert_eq!((good, answers.iter().filter(|a| a.starts_with("HTTP/1.1 503")).count()), (5, 3));
    assert_eq!(log.count(|w| matches!(w, EventKind::DiscoveryAnswered { .. })), 5);
    // A watch that goes on at once is free, also where the first of these is not.
    discovery.update(|s| s.call_cost_ms = 1.0);
    for _ in 0..5 {
        assert!(call(discovery.address(0), "?after=1&wait_ms=0").await.contains("200 OK"));
    }
    assert!(log.count(|w| matches!(w, EventKind::DiscoveryCalled { queued: false, .. })) > 0);
}

async fn call_owned(at: SocketAddr, query: &'static str) -> String {
    call(at, query).await
}

#[tokio::test]
async fn a_watch_hears_of_changes_and_lists_come_as_they_are_told_to() {
    let log = Log::default();
    let discovery = StubDiscovery::start(1, ServiceModel::default(), &log).await.unwrap();
    let at = discovery.address(0);
    ["s1", "s2"].iter().for_each(|id| discovery.publish(entry(id, EndpointPhase::Ready)));
    let watch = tokio::spawn(call_owned(at, "?after=2&wait_ms=8000"));
    tokio::time::sleep(duration(100.0)).await;
    discovery.set_phase("s1", EndpointPhase::Gone);
    let answer = watch.await.unwrap();
    assert!(
        answer.contains("Gone") && answer.contains("\"complete\":false") && !answer.contains("s2"),
        "{answer}"
    );
    let style = BodyStyle {
        indented: true,
        chunks: Some(ChunkPacing { bytes: 40, pause_ms: 1.0 }),
        truncation: None,
    };
    discovery.update(|s| s.body_style = style);
    let whole = call(at, "").await;
    assert!(whole.contains("\"revision\": 3") && !whole.contains("s1") && whole.contains("s2"), "{whole}");
    discovery.update(|s| s.body_style = BodyStyle { truncation: Some(Truncation::Closed(20)), ..style });
    let cut = call(at, "").await;
    assert!(cut.contains("200 OK") && !cut.contains("s2"), "{cut}");
    discovery.update(|s| (s.down, s.body_style) = (true, BodyStyle::default()));
    assert!(!call(at, "").await.contains("HTTP"));
    discovery.update(|s| s.down = false);
    assert!(call(at, "").await.contains("s2"));
    // A watch that is out when all fall silent is not answered, and a new one is.
    let silent = tokio::spawn(call_owned(at, "?after=3&wait_ms=100"));
    tokio::time::sleep(duration(50.0)).await;
    discovery.silence_watches();
    assert!(call(at, "?after=3&wait_ms=100").await.contains("200 OK"));
    tokio::time::sleep(duration(500.0)).await;
    assert!(!silent.is_finished());
}

#[tokio::test]
async fn a_rig_notes_that_its_own_thread_stood_still() {
    // No relay is started.
    let cluster = TestCluster::new(ClusterConfig::new("none", 1, 1)).await.unwrap();
    tokio::time::sleep(duration(100.0)).await;
    std::thread::sleep(Duration::from_millis(400));
    let noted = |e: &Event| matches!(e.kind, EventKind::ClusterStalled { stall_ms } if stall_ms >= 300.0);
    assert!(cluster.log.wait_until(10_000.0, |events| events.iter().any(noted)).await);
}

#[tokio::test]
async fn each_pair_has_a_link_of_its_own_each_way() {
    let log = Log::default();
    let sockets = [
        UdpSocket::bind((loopback_host(), 0)).await.unwrap(),
        UdpSocket::bind((loopback_host(), 0)).await.unwrap(),
    ];
    let own = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    let mesh = DatagramMesh::new(own, 1, &log).await.unwrap();
    let peers = mesh.addresses().to_vec();
    let mut buffer = [0; 300];
    sockets[0].send_to(b"1s a", peers[1]).await.unwrap();
    let (n, from) = timeout(LONG, sockets[1].recv_from(&mut buffer)).await.unwrap().unwrap();
    assert_eq!((&buffer[..n], from), (&b"1s a"[..], peers[0]));
    mesh.set(0, 1, LinkFaults { blocked: true, ..LinkFaults::default() });
    mesh.set(
        1,
        0,
        LinkFaults {
            duplicate_fraction: 1.0,
            delay: DelayRange { min_ms: 50.0, max_ms: 60.0 },
            ..LinkFaults::default()
        },
    );
    sockets[0].send_to(b"1s b", peers[1]).await.unwrap();
    let sent = log.now();
    sockets[1].send_to(b"1t c", peers[0]).await.unwrap();
    for _ in 0..2 {
        let (n, from) = timeout(LONG, sockets[0].recv_from(&mut buffer)).await.unwrap().unwrap();
        assert_eq!((&buffer[..n], from), (&b"1t c"[..], peers[1]));
        assert!(log.now() - sent >= 49.0);
    }
    assert!(timeout(duration(200.0), sockets[1].recv_from(&mut buffer)).await.is_err());
    let counts = mesh.counts();
    assert_eq!((counts.sent, counts.by_kind["1s"], counts.by_kind["1t"]), (vec![2, 1], 2, 1));
}

#[tokio::test]
async fn a_tcp_link_refuses_stalls_resets_and_lets_none_come_up() {
    let server = TcpListener::bind((loopback_host(), 0)).await.unwrap();
    let link = TcpLink::new(server.local_addr().unwrap()).await.unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = server.accept().await {
            let _ = stream.write_all(&[7; 100]).await;
        }
    });
    let read = || async {
        let connected = timeout(duration(1000.0), TcpStream::connect(link.address())).await;
        let Ok(Ok(mut stream)) = connected else { return (0, connected.is_err()) };
        let mut all = Vec::new();
        let ended = timeout(duration(500.0), stream.read_to_end(&mut all)).await;
        (all.len(), ended.is_err())
    };
    let set = async |passage| {
        link.set(passage);
        tokio::time::sleep(duration(100.0)).await;
    };
    assert_eq!(read().await, (100, false));
    set(LinkMode::StallAfter(30)).await;
    assert_eq!(read().await, (30, true));
    set(LinkMode::ResetAfter(30)).await;
    assert_eq!(read().await, (30, false));
    set(LinkMode::Silent).await;
    assert_eq!(read().await, (0, true));
    set(LinkMode::Refuse).await;
    assert_eq!(read().await, (0, false));
    set(LinkMode::NeverEstablish).await;
    assert_eq!(read().await, (0, true));
    set(LinkMode::Forward).await;
    assert_eq!(read().await, (100, false));
}

#[tokio::test]
async fn a_cold_streamer_falls_over_by_its_budget_and_the_store_takes_turns() {
    let log = Log::default();
    let endpoints = StubEndpoints::new(&RuleSettings::default(), Some(1000.0), &log);
    let model = |id: &str| EndpointModel {
        id: id.into(),
        zone: "a".into(),
        size: 1.0,
        setups_per_s: 10.0,
        max_connections: 1000,
    };
    let warm = endpoints.add(model("warm"), false).await.unwrap();
    let cold = endpoints.add(model("cold"), true).await.unwrap();
    let mut kept = Vec::new();
    for n in 0..60 {
        for (at, side) in [(warm, 1), (cold, 2)] {
            if let Ok(mut stream) = TcpStream::connect(at).await {
                let line = format!("OPEN {:016x} k{n} c=stream,t=a,d=2000\r\n", side * 1000 + n);
                let _ = stream.write_all(line.as_bytes()).await;
                kept.push(stream);
            }
        }
    }
    assert!(
        log.wait_until(5000.0, |all| all
            .iter()
            .any(|e| e.kind == EventKind::EndpointOverloaded("cold".into())))
            .await
    );
    assert!(!endpoints.is_running("cold") && endpoints.is_running("warm"));
    let all_up = |connections: usize| connections == 60;
    let up = async {
        while !all_up(endpoints.connection_counts()["warm"]) {
            tokio::time::sleep(duration(20.0)).await;
        }
    };
    assert!(timeout(LONG, up).await.is_ok(), "{:?}", endpoints.connection_counts());
    // 9.3 in a second, with 2 roots and 2 more, are 17: the one after it is too many.
    let came =
        log.count(|w| matches!(w, EventKind::AttemptReceived { endpoint, .. } if &**endpoint == "cold"));
    assert!((17..=19).contains(&came), "{came}");
    // It comes back where it was.
    endpoints.restart("cold", false).await.unwrap();
    assert!(TcpStream::connect(cold).await.is_ok());
}

#[tokio::test]
async fn a_slow_discovery_delays_calls_and_only_if_told_so_the_watches_that_continue_another() {
    let log = Log::default();
    let model = ServiceModel { answer_delay_ms: 300.0, ..ServiceModel::default() };
    let discovery = StubDiscovery::start(1, model, &log).await.unwrap();
    discovery.publish(entry("s-1", EndpointPhase::Ready));
    let address = discovery.address(0);
    let delayed = duration(300.0);
    let time = async |query: &str| {
        let start = std::time::Instant::now();
        assert!(call(address, query).await.contains("s-1") || query.contains("after=1"));
        start.elapsed()
    };
    assert!(time("").await >= delayed);
    assert!(time("?after=0&wait_ms=0").await >= delayed, "a watch begins");
    assert!(time("?after=0&wait_ms=1").await < delayed, "it continues");
    discovery.set_answer_delay(AnswerDelay { delay_ms: 300.0, delays_continued_watches: true });
    assert!(time("?after=0&wait_ms=1").await >= delayed);
}
