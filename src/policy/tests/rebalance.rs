//! Tests: clients that are moved off endpoints that carry too much.

use super::super::api::*;
use super::super::load_balancer::LoadBalancer;
use super::world::*;

/// Moves of a balancer that holds 40 connections on the first of four servers, once it is told what so many
/// hold there; with the third in this state, after a set-up that took so long.
fn moves(told: u16, third: EndpointState, took: Millis) -> usize {
    let many = Settings { relay_count: 100, local_index: 7, peer_messages: true, ..settings() };
    let (mut load_balancer, mut out) = (LoadBalancer::new(many, 1, START), Actions::new());
    let list =
        |state| (0..4).map(|i| entry(i, if i == 2 { state } else { EndpointState::Ready }, 0.0)).collect();
    let full = |state| Event::List { kind: ListKind::Full, endpoints: list(state) };
    load_balancer.handle(START, full(EndpointState::Ready), &mut out);
    let request = |id| Request {
        id: RequestId(id),
        class: Some(ClassId(0)),
        client: None,
        group: None,
        deadline: START + 3000.0,
        setup_time_used: 0.0,
        load: None,
        mid_flow: false,
        is_returning: false,
        drained_by_endpoint: false,
    };
    for id in 0..40 {
        load_balancer.handle(
            START,
            Event::ExistingConnection { request: request(id), endpoint: endpoint(0) },
            &mut out,
        );
    }
    load_balancer.handle(START, Event::Request(request(50)), &mut out);
    let (request, attempt) = (RequestId(50), AttemptId(0));
    load_balancer.handle(START + took, Event::Established { request, attempt, elapsed: took }, &mut out);
    load_balancer.handle(START + 5000.0, full(third), &mut out);
    out.clear();
    let tag = |i: usize| crate::policy::hashing::endpoint_tag(&endpoint(i).0);
    let rows = (0..4).map(|i| (tag(i), if i == 0 { told } else { told / 5 })).collect();
    let piece = ClusterMessage::ClusterLoads { total: u32::from(told) * 8 / 5, rows };
    let message = PeerMessage::Cluster(piece);
    load_balancer.handle(START + 6000.0, Event::PeerMessage { peer: 0, message }, &mut out);
    out.iter().filter(|action| matches!(action, Action::Migrate(_))).count()
}

#[test]
fn clients_of_a_server_that_carries_too_much_are_moved_in_part() {
    let moved = moves(4000, EndpointState::Ready, 10.0);
    assert!((1..20).contains(&moved), "{moved} of 40");
}

/// Where a store behind all servers was slow, moved clients waited for it with all others.
#[test]
fn nobody_is_moved_behind_a_queue_or_beside_a_drain_or_by_the_word_of_a_few() {
    assert_eq!(moves(4000, EndpointState::Ready, 200.0), 0, "set-ups meet a queue");
    assert_eq!(moves(4000, EndpointState::Draining, 10.0), 0, "a server drains");
    assert_eq!(moves(200, EndpointState::Ready, 10.0), 0, "a collector that has just started");
}
