//! Service levels: on logs that are written here, and on a run of clients before a stand-in that starves
//! some of them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sandgw_test_cluster::invariants::check_invariants;
use sandgw_test_cluster::load_clients::{HealthChecker, LoadClients, LoadPlan, Weighted};
use sandgw_test_cluster::log::{Event, EventKind};
use sandgw_test_cluster::service_levels::{Segment, ServedCount, ServiceLevelError, ServiceLevels};
use sandgw_test_cluster::settings::RuleSettings;
use sandgw_test_cluster::{Log, loopback_host};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;

const CLASSES: [&str; 2] = ["stream", "query"];
const TENANTS: [&str; 3] = ["acme", "luna", "nova"];
/// Clients of a log, one every 10 ms.
const CLIENTS: u64 = 180;

fn arrived(at_ms: f64, client: u64) -> Event {
    let class = CLASSES[client as usize % 2].into();
    let tenant = TENANTS[client as usize / 2 % 3].into();
    Event { at_ms, kind: EventKind::ClientArrived { client, class, tenant } }
}

fn done(at_ms: f64, client: u64, served: bool) -> Event {
    let Event { kind: EventKind::ClientArrived { class, tenant, .. }, .. } = arrived(at_ms, client) else {
        unreachable!()
    };
    Event { at_ms, kind: EventKind::ClientFinished { client, class, tenant, served } }
}

/// A log in which all arrive and these are served, a second after they came.
fn log(served: impl Fn(u64) -> bool) -> Vec<Event> {
    let all = (0..CLIENTS).map(|n| (1000.0 + 10.0 * n as f64, n));
    let mut events: Vec<_> =
        all.flat_map(|(at, n)| [arrived(at, n), done(at + 1000.0, n, served(n))]).collect();
    events.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    events
}

fn starved(held: Result<(), ServiceLevelError>) -> Vec<Segment> {
    match held {
        Err(ServiceLevelError::BelowMinimum { segments, .. }) => {
            segments.into_iter().map(|below| below.segment).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_floor_holds_where_every_part_is_served_so_much() {
    // Every tenth is not served: of each class one in ten, or none.
    let shares = ServiceLevels::from_events(&log(|n| n % 10 != 0));
    assert_eq!(shares.counts.len(), 3 + CLASSES.len() + TENANTS.len());
    let arrivals_of = |part: &Segment| shares.counts[part].arrived;
    assert!((1..=3).all(|n| arrivals_of(&Segment::Third(n)) == CLIENTS / 3), "{shares}");
    assert_eq!(arrivals_of(&Segment::Class("query".into())), CLIENTS / 2);
    assert_eq!(arrivals_of(&Segment::Tenant("nova".into())), CLIENTS / 3);
    assert_eq!(shares.check_minimum(0.8), Ok(()));
    assert_eq!(starved(shares.check_minimum(0.81)), [Segment::Class("stream".into())]);
    // No floor is no number.
    assert!(shares.check_minimum(f64::NAN).is_err());
}

#[test]
fn the_part_that_is_starved_is_named_and_no_other() {
    let third = |n: u64| (n * 3 / CLIENTS) as usize + 1;
    let is = |part: &Segment, n: u64| {
        let Event { kind: EventKind::ClientArrived { class, tenant, .. }, .. } = arrived(0.0, n) else {
            unreachable!()
        };
        match part {
            Segment::Third(of) => third(n) == *of,
            Segment::Class(of) => class == *of,
            Segment::Tenant(of) => tenant == *of,
        }
    };
    let all = (1..=3).map(Segment::Third);
    let all = all.chain(CLASSES.map(|name| Segment::Class(name.into())));
    for part in all.chain(TENANTS.map(|name| Segment::Tenant(name.into()))) {
        // One in five of it is served, and all others.
        let events = log(|n| !is(&part, n) || n / 6 % 5 == 0);
        let verdict = check_invariants(&events, &RuleSettings::default(), &HashMap::new());
        let held = verdict.service_levels.check_minimum(1.0 / 3.0);
        let (error, text) = (held.clone().unwrap_err(), verdict.to_string());
        assert_eq!(starved(held), std::slice::from_ref(&part), "{verdict}");
        let share = verdict.service_levels.counts[&part];
        assert!(error.to_string().contains(&format!("{part} {share}")), "{error}");
        assert!(text.contains(&format!("{part}: {share}")) && error.help().len() > 20, "{text}");
        assert!(verdict.service_levels.check_minimum(0.2).is_ok(), "{verdict}");
    }
}

#[test]
fn a_client_counts_where_it_arrived_once_and_not_as_served_until_it_is() {
    // What came in the last third and has no end in the log.
    let mut events = log(|_| true);
    events.retain(|e| !matches!(e.kind, EventKind::ClientFinished { client, .. } if client >= 120));
    // One that is done twice, and one that nobody saw come.
    events.extend([done(9000.0, 0, true), done(9000.0, CLIENTS, true)]);
    let shares = ServiceLevels::from_events(&events);
    assert_eq!(starved(shares.check_minimum(0.5)), [Segment::Third(3)]);
    assert_eq!(shares.counts[&Segment::Third(1)], ServedCount { served: 60, arrived: 60 });
    assert_eq!(shares.counts[&Segment::Class("stream".into())], ServedCount { served: 60, arrived: 90 });
}

#[test]
fn a_third_in_which_nobody_arrives_holds_no_floor() {
    let events: Vec<_> = [0.0, 10.0, 990.0, 1000.0].iter().zip(0..).map(|(at, n)| arrived(*at, n)).collect();
    let error = ServiceLevels::from_events(&events).check_minimum(0.0).unwrap_err();
    assert_eq!(error, ServiceLevelError::NoArrivals(vec![Segment::Third(2)]));
    assert!(error.to_string().contains("third 2") && error.help().len() > 20, "{error}");
}

/// Before a stand-in for a relay that turns away, by their first line and by how many came before, whom it
/// is told to.
async fn run(refuses: impl Fn(usize, &str) -> bool + Send + Sync + 'static) -> ServiceLevels {
    let listener = TcpListener::bind((loopback_host(), 0)).await.unwrap();
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
    let (log, rules) = (Log::default(), RuleSettings::default());
    let health = Arc::new(HealthChecker::new(&[at], &log));
    assert!(health.wait_for(1, 10_000.0).await);
    let plan = LoadPlan {
        count: CLIENTS as usize,
        over_ms: 1000.0,
        classes: CLASSES.map(|name| Weighted::new(name, 1.0)).into(),
        tenants: TENANTS.map(|name| Weighted::new(name, 1.0)).into(),
        max_tries: 1,
        stay_ms: 10.0,
        ..LoadPlan::default()
    };
    let results = LoadClients::start(plan, &health, &rules, &log).finish(20_000.0).await;
    let shares = check_invariants(&log.events(), &rules, &HashMap::new()).service_levels;
    let arrivals_of = |thirds: usize| shares.counts[&Segment::Third(thirds)].arrived;
    assert_eq!((results.all.total(), arrivals_of(1) + arrivals_of(2) + arrivals_of(3)), (CLIENTS, CLIENTS));
    shares
}

#[tokio::test]
async fn clients_of_a_run_are_counted_in_their_third_class_and_tenant() {
    assert_eq!(run(|_, _| false).await.check_minimum(1.0), Ok(()));
    let shares = run(|_, line| line.contains("c=query")).await;
    assert_eq!(starved(shares.check_minimum(0.2)), [Segment::Class("query".into())], "{shares}");
    let shares = run(|_, line| line.contains("t=luna")).await;
    assert_eq!(starved(shares.check_minimum(0.2)), [Segment::Tenant("luna".into())], "{shares}");
    let shares = run(|came, _| (50..130).contains(&came)).await;
    assert_eq!(starved(shares.check_minimum(0.2)), [Segment::Third(2)], "{shares}");
}
