//! Tests: endpoints that warm up.

use super::super::api::*;
use super::world::*;

/// Each of many balancers had a budget of less than one connection for each server that came back: a group of
/// servers that restarted together got next to nothing while the others jammed. One budget serves them all.
#[test]
fn servers_that_restart_together_are_filled_as_they_warm() {
    let mut worlds = fleet(240);
    for world in &mut worlds {
        let back: Vec<_> = (0..4).map(|i| entry(i, EndpointState::Ready, world.now)).collect();
        world.give_list(ListKind::Delta, &back);
    }
    // Half of all connections come again in the time that it takes to warm.
    let mut sent = [0; 2];
    for id in 1000..1120 {
        worlds.iter_mut().for_each(|w| w.now += 20_000.0 / 120.0);
        let world = &mut worlds[(id % 240) as usize];
        world.ask(id, Some(0), None, &format!("d{id}"), 2000.0);
        let cold = world.sends(id).iter().any(|s| (0..4).any(|i| *s == endpoint(i)));
        sent[usize::from(id >= 1060)] += usize::from(cold);
    }
    assert!(sent[0] <= 12 && (10..=30).contains(&sent[1]), "{sent:?} to servers that warm");
}

/// Each of many balancers might send a server that has just started one connection: together they pushed it
/// over. What a fleet sends it stays the same, however many balancers it is spread over.
#[test]
fn many_balancers_together_spare_a_cold_server() {
    for relay_count in [1u64, 4, 40, 240] {
        let mut worlds = fleet(relay_count as u32);
        // Server 0 restarts, and half as many connections more arrive in two seconds.
        for world in &mut worlds {
            let now = world.now;
            world.give_list(ListKind::Delta, &[entry(0, EndpointState::Ready, now)]);
        }
        let mut sent = 0;
        for id in 1000..1120 {
            worlds.iter_mut().for_each(|w| w.now += 16.0);
            let world = &mut worlds[(id % relay_count) as usize];
            world.ask(id, Some(0), None, &format!("d{id}"), 2000.0);
            sent += usize::from(world.sends(id).contains(&endpoint(0)));
        }
        // A warm server's part would be 12; it can do a tenth of that at first, and twice as much is borne.
        assert!(sent <= 3, "{sent} to a cold server by {relay_count} balancers");
    }
}

/// The same for a burst at the very start, when no balancer has sent it anything yet: of many, some have a
/// connection for it at once, and each alone would be within its pace.
#[test]
fn many_balancers_do_not_all_begin_with_a_cold_server_at_once() {
    let mut worlds = fleet(240);
    let mut sent = 0;
    for (local_index, world) in (0..).zip(&mut worlds) {
        let now = world.now;
        world.give_list(ListKind::Delta, &[entry(0, EndpointState::Ready, now)]);
        for id in 1000..1010 {
            world.ask(id, Some(0), None, &format!("d{local_index}-{id}"), 2000.0);
            sent += usize::from(world.sends(id).contains(&endpoint(0)));
        }
    }
    assert!(sent <= 3, "{sent} to a cold server in one moment");
}

/// The same for balancers that start anew beside a server that is still cold: what they have sent it before
/// is forgotten, and each took its point of the pause to have long passed.
#[test]
fn many_balancers_that_start_anew_do_not_all_begin_with_a_cold_server_at_once() {
    let mut list = ready(10);
    list[0] = entry(0, EndpointState::Ready, START - 15_000.0);
    let mut sent = 0;
    for local_index in 0..240 {
        let mut world = World::new(Settings { relay_count: 240, local_index, ..settings() }, &list);
        for id in 1000..1010 {
            world.ask(id, Some(0), None, &format!("d{local_index}-{id}"), 2000.0);
            sent += usize::from(world.sends(id).contains(&endpoint(0)));
        }
    }
    assert!(sent <= 3, "{sent} to a cold server in one moment");
}

/// The list is late: a server that refused connections and answers again has just started.
#[test]
fn a_server_that_comes_back_is_taken_as_cold_before_the_list_says_so() {
    let mut world = World::new(settings(), &ready(1));
    world.ask(1, Some(0), None, "c", 2500.0);
    world.end(RequestId(1), Outcome::ConnectFailed);
    world.pass(100.0);
    assert_eq!(world.sends(1).len(), 2);
    world.establish(RequestId(1), 5.0);
    world.give_list(ListKind::Delta, &[entry(0, EndpointState::Ready, 0.0)]);
    world.ask(2, Some(0), None, "c", 1000.0);
    world.ask(3, Some(0), None, "d", 1000.0);
    assert!(world.sends(2).is_empty() && world.sends(3).is_empty());
}

/// An endpoint whose clock is wrong, and with it its start, got nothing until that time had come.
#[test]
fn a_start_far_ahead_counts_as_one_of_now() {
    let ahead = entry(0, EndpointState::Ready, START + 3_600_000.0);
    let mut world = World::new(settings(), &[ahead]);
    for id in 0..100 {
        world.ask(id, Some(0), None, &format!("c{id}"), 2000.0);
    }
    world.pass(1_900.0);
    let sent = (0..100).filter(|id| !world.sends(*id).is_empty()).count();
    assert!((1..=3).contains(&sent), "{sent} of 100 sent to it, which is as good as cold");
}
