//! Floors: on logs that are written here, and on a run of clients before a stand-in that starves some of them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sandgw_test_cluster::invariants::judge;
use sandgw_test_cluster::load_clients::{ClientProtocol, Clients, Plan};
use sandgw_test_cluster::log::{Event, What};
use sandgw_test_cluster::service_levels::{FloorError, Part, QuotaManager, Share};
use sandgw_test_cluster::settings::Rules;
use sandgw_test_cluster::{Log, host};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;

const CLASSES: [&str; 2] = ["stream", "query"];
const TENANTS: [&str; 3] = ["acme", "luna", "nova"];
/// Clients of a log, one every 10 ms.
const CLIENTS: u64 = 180;

fn arrived(at: f64, client: u64) -> Event {
    let class = CLASSES[client as usize % 2].into();
    let tenant = TENANTS[client as usize / 2 % 3].into();
    Event { at, what: What::Arrived { client, class, tenant } }
}

fn done(at: f64, client: u64, served: bool) -> Event {
    let Event { what: What::Arrived { class, tenant, .. }, .. } = arrived(at, client) else { unreachable!() };
    Event { at, what: What::Done { client, class, tenant, served } }
}

/// A log in which all arrive and these are served, a second after they came.
fn log(served: impl Fn(u64) -> bool) -> Vec<Event> {
    let all = (0..CLIENTS).map(|n| (1000.0 + 10.0 * n as f64, n));
    let mut events: Vec<_> =
        all.flat_map(|(at, n)| [arrived(at, n), done(at + 1000.0, n, served(n))]).collect();
    events.sort_by(|a, b| a.at.total_cmp(&b.at));
    events
}

fn starved(held: Result<(), FloorError>) -> Vec<Part> {
    match held {
        Err(FloorError::Starved { parts, .. }) => parts.into_iter().map(|(part, _)| part).collect(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_floor_holds_where_every_part_is_served_so_much() {
    // Every tenth is not served: of each class one in ten, or none.
    let shares = QuotaManager::of(&log(|n| n % 10 != 0));
    assert_eq!(shares.by.len(), 3 + CLASSES.len() + TENANTS.len());
    let asked = |part: &Part| shares.by[part].asked;
    assert!((1..=3).all(|n| asked(&Part::Third(n)) == CLIENTS / 3), "{shares}");
    assert_eq!(asked(&Part::Class("query".into())), CLIENTS / 2);
    assert_eq!(asked(&Part::Tenant("nova".into())), CLIENTS / 3);
    assert_eq!(shares.hold(0.8), Ok(()));
    assert_eq!(starved(shares.hold(0.81)), [Part::Class("stream".into())]);
    // No floor is no number.
    assert!(shares.hold(f64::NAN).is_err());
}

#[test]
fn the_part_that_is_starved_is_named_and_no_other() {
    let third = |n: u64| (n * 3 / CLIENTS) as usize + 1;
    let is = |part: &Part, n: u64| {
        let Event { what: What::Arrived { class, tenant, .. }, .. } = arrived(0.0, n) else { unreachable!() };
        match part {
            Part::Third(of) => third(n) == *of,
            Part::Class(of) => class == *of,
            Part::Tenant(of) => tenant == *of,
        }
    };
    let all = (1..=3).map(Part::Third);
    let all = all.chain(CLASSES.map(|name| Part::Class(name.into())));
    for part in all.chain(TENANTS.map(|name| Part::Tenant(name.into()))) {
        // One in five of it is served, and all others.
        let events = log(|n| !is(&part, n) || n / 6 % 5 == 0);
        let verdict = judge(&events, &Rules::default(), &HashMap::new());
        let held = verdict.shares.hold(1.0 / 3.0);
        let (error, text) = (held.clone().unwrap_err(), verdict.to_string());
        assert_eq!(starved(held), std::slice::from_ref(&part), "{verdict}");
        let share = verdict.shares.by[&part];
        assert!(error.to_string().contains(&format!("{part} {share}")), "{error}");
        assert!(text.contains(&format!("{part}: {share}")) && error.help().len() > 20, "{text}");
        assert!(verdict.shares.hold(0.2).is_ok(), "{verdict}");
    }
}

#[test]
fn a_client_counts_where_it_arrived_once_and_not_as_served_until_it_is() {
    // What came in the last third and has no end in the log.
    let mut events = log(|_| true);
    events.retain(|e| !matches!(e.what, What::Done { client, .. } if client >= 120));
    // One that is done twice, and one that nobody saw come.
    events.extend([done(9000.0, 0, true), done(9000.0, CLIENTS, true)]);
    let shares = QuotaManager::of(&events);
    assert_eq!(starved(shares.hold(0.5)), [Part::Third(3)]);
    assert_eq!(shares.by[&Part::Third(1)], Share { served: 60, asked: 60 });
    assert_eq!(shares.by[&Part::Class("stream".into())], Share { served: 60, asked: 90 });
}

#[test]
fn a_third_in_which_nobody_arrives_holds_no_floor() {
    let events: Vec<_> = [0.0, 10.0, 990.0, 1000.0].iter().zip(0..).map(|(at, n)| arrived(*at, n)).collect();
    let error = QuotaManager::of(&events).hold(0.0).unwrap_err();
    assert_eq!(error, FloorError::NotAsked(vec![Part::Third(2)]));
    assert!(error.to_string().contains("third 2") && error.help().len() > 20, "{error}");
}

/// Before a stand-in for a relay that turns away, by their first line and by how many came before, whom it is told to.
async fn run(refuses: impl Fn(usize, &str) -> bool + Send + Sync + 'static) -> QuotaManager {
    let listener = TcpListener::bind((host(), 0)).await.unwrap();
    let (at, came, refuses) =
        (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)), Arc::new(refuses));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (came, refuses) = (came.clone(), refuses.clone());
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                while stream.read_line(&mut line).await.is_ok_and(|n| n > 0) {
                    let answer = match line.split(' ').next().unwrap_or_default() {
                        "PING\r\n" => "PONG\r\n",
                        "OPEN" if refuses(came.fetch_add(1, Ordering::SeqCst), &line) => "BUSY 10\r\n",
                        "OPEN" => "UP s0/1\r\n",
                        _ => "BYE\r\n",
                    };
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                    line.clear();
                }
            });
        }
    });
    let (log, rules) = (Log::default(), Rules::default());
    let front = Arc::new(ClientProtocol::new(&[at], &log));
    assert!(front.until(1, 10_000.0).await);
    let plan = Plan {
        count: CLIENTS as usize,
        over_ms: 1000.0,
        classes: CLASSES.map(|name| (name.into(), 1.0)).into(),
        tenants: TENANTS.map(|name| (name.into(), 1.0)).into(),
        tries: 1,
        stay_ms: 10.0,
        ..Plan::default()
    };
    let results = Clients::arrive(plan, &front, &rules, &log).end(20_000.0).await;
    let shares = judge(&log.events(), &rules, &HashMap::new()).shares;
    let asked = |thirds: usize| shares.by[&Part::Third(thirds)].asked;
    assert_eq!((results.all.all(), asked(1) + asked(2) + asked(3)), (CLIENTS, CLIENTS));
    shares
}

#[tokio::test]
async fn clients_of_a_run_are_counted_in_their_third_class_and_tenant() {
    assert_eq!(run(|_, _| false).await.hold(1.0), Ok(()));
    let shares = run(|_, line| line.contains("c=query")).await;
    assert_eq!(starved(shares.hold(0.2)), [Part::Class("query".into())], "{shares}");
    let shares = run(|_, line| line.contains("t=luna")).await;
    assert_eq!(starved(shares.hold(0.2)), [Part::Tenant("luna".into())], "{shares}");
    let shares = run(|came, _| (50..130).contains(&came)).await;
    assert_eq!(starved(shares.hold(0.2)), [Part::Third(2)], "{shares}");
}
