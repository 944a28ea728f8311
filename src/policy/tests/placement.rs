//! Tests: where requests go in the ordinary course of events.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::super::api::*;
use super::world::*;

#[test]
fn balancers_place_a_key_alike_whatever_the_order_of_their_lists() {
    let mut list = ready(9);
    let mut one = World::new(settings(), &list);
    list.reverse();
    list.push(list[0].clone());
    let mut other = World::new(settings(), &list);
    for id in 0..200 {
        let client = format!("c{id}");
        one.ask(id, Some(0), None, &client, 2000.0);
        other.ask(id, Some(0), None, &client, 2000.0);
        assert_eq!(one.sends(id), other.sends(id));
        // Without load there is no exception, and a group decides in place of the client.
        one.end(RequestId(id), Outcome::Ok);
        other.end(RequestId(id), Outcome::Ok);
    }
    let used: BTreeSet<_> = (0..200).flat_map(|id| one.sends(id)).collect();
    assert_eq!(used.len(), 9);
    for id in 200..220 {
        one.ask(id, Some(0), Some("form"), &format!("c{id}"), 2000.0);
        one.end(RequestId(id), Outcome::Ok);
    }
    let used: BTreeSet<_> = (200..220).flat_map(|id| one.sends(id)).collect();
    assert_eq!(used.len(), 1);
}

#[test]
fn an_empty_list_holds_requests_and_refuses_them_in_time() {
    let mut world = World::new(settings(), &[]);
    world.ask(1, Some(4), Some("g"), "c", 700.0);
    world.ask(2, None, None, "c", 300.0);
    world.finish();
    assert!(world.log.iter().any(|a| matches!(a, Action::Reject { request: RequestId(1), .. })));
    assert!(world.sends(1).is_empty());
}

/// The table went on with the sizes of processes that had gone.
#[test]
fn a_server_that_comes_back_larger_gets_a_larger_share() {
    let mut world = World::new(settings(), &ready(4));
    let back = EndpointEntry { weight: 3.0, ..entry(0, EndpointState::Ready, world.now) };
    world.ask(1, Some(0), None, "c", 2000.0);
    world.end(RequestId(1), Outcome::Ok);
    world.give_list(ListKind::Delta, &[back]);
    world.now += world.settings.warm_up_time;
    for id in 1000..1400 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
        world.end(RequestId(id), Outcome::Ok);
    }
    let share = (1000..1400).filter(|id| world.sends(*id)[0] == endpoint(0)).count();
    assert!((180..=220).contains(&share), "{share} of 400 go to half of the capacity");
}

#[test]
fn a_mid_flow_arrival_goes_to_the_server_of_its_key() {
    let mut one = World::new(settings(), &ready(9));
    let mut other = World::new(settings(), &ready(9));
    one.ask(1, Some(0), Some("form"), "c", 2000.0);
    let holder = one.sends(1)[0].clone();
    other.ask(1, Some(0), Some("form"), "c", 2000.0);
    other.establish(RequestId(1), 5.0);
    // The holder is slow and at its cap by now; the open connection is still found there.
    other.handle(Event::Measured { request: RequestId(1), measurement: Measurement::MessageDelay(500.0) });
    other.arrive(Request {
        id: RequestId(2),
        class: Some(ClassId(0)),
        client: Some(Key(Arc::from("c"))),
        group: Some(Key(Arc::from("form"))),
        deadline: other.now + 900.0,
        setup_time_used: 0.0,
        drained_by_endpoint: true,
        load: None,
        mid_flow: true,
        is_returning: false,
    });
    assert_eq!(other.sends(2), [holder]);
}

/// Groups were sent back to a failing server by every balancer that had not met it: a client that comes again
/// draws anew, unless own connections show that no server was at fault, or that too many are slow.
#[test]
fn a_client_that_comes_again_draws_among_the_servers_of_its_walk() {
    let comes_again = |world: &mut World, ids: std::ops::Range<u64>, mid_flow: bool| {
        let mut used = BTreeSet::new();
        for id in ids {
            world.arrive(Request {
                id: RequestId(id),
                class: Some(ClassId(0)),
                client: Some(Key(Arc::from("c"))),
                group: Some(Key(Arc::from("g"))),
                deadline: world.now + 2000.0,
                setup_time_used: 0.0,
                drained_by_endpoint: true,
                load: None,
                mid_flow,
                is_returning: true,
            });
            used.extend(world.sends(id));
            if !world.sends(id).is_empty() {
                world.end(RequestId(id), Outcome::Ok);
            }
        }
        used.len()
    };
    let mut world = World::new(settings(), &ready(9));
    assert!((2..=9).contains(&comes_again(&mut world, 100..140, false)));
    // Packets of a connection that stands are looked for at the server of its key.
    assert_eq!(comes_again(&mut world, 200..240, true), 1);
    // A storm: clients leave of themselves, and no server is at fault.
    for id in 0..4 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
        world.end(RequestId(id), Outcome::Cancelled);
    }
    assert_eq!(comes_again(&mut world, 300..340, false), 1);
    // Too many own servers are slow: copies of the group would cost more than they gain.
    let mut world = World::new(settings(), &ready(9));
    for id in 0..60 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
        world.establish(RequestId(id), 5.0);
    }
    (0..60).for_each(|id| {
        world
            .handle(Event::Measured { request: RequestId(id), measurement: Measurement::MessageDelay(30.0) });
    });
    (0..20).for_each(|id| world.end(RequestId(id), Outcome::Ok));
    assert!(comes_again(&mut world, 100..140, false) <= 1);
}
