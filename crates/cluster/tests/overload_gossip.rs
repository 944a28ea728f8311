//! Notices of late set-ups in a cluster of hundreds: how soon all relays know of a slow store, and how few
//! are misled by endpoints that are slow alone.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sandgw_affinity::codec::ClusterMessage;
use sandgw_cluster::ClusterPosition;
use sandgw_cluster::concurrency_limit::ConcurrencyLimit;
use sandgw_cluster::overload_gossip::OverloadGossip;

const RELAYS: u32 = 300;
const ENDPOINTS: u32 = 50;

struct Outcome {
    /// Relays that were warned of a common fault, and notices sent.
    warned: usize,
    notices: usize,
}

/// So many set-ups a second for two seconds, of which a share, drawn or by endpoint, comes late half a
/// second after.
fn play(rate: u32, late: impl Fn(u32, &mut StdRng) -> bool, loss: f64, seed: u64) -> Outcome {
    let mut dice = StdRng::seed_from_u64(seed);
    let mut gossips: Vec<OverloadGossip> =
        (0..RELAYS).map(|local_index| OverloadGossip::new(seed * 1000 + u64::from(local_index))).collect();
    let (mut warned, mut notices, mut out) = (vec![false; RELAYS as usize], 0, Vec::new());
    for n in 0..2 * rate {
        let now = f64::from(n) * 1000.0 / f64::from(rate);
        let (relay, endpoint) = (dice.random_range(0..RELAYS), dice.random_range(0..ENDPOINTS));
        if late(endpoint, &mut dice) {
            let position = ClusterPosition { local_index: relay, relay_count: RELAYS };
            gossips[relay as usize].report_late_setup(now, [endpoint as u8, 0], position, &mut out);
        }
        for sent in out.drain(..) {
            let ClusterMessage::OverloadNotice(tag) = sent.message else { panic!("{sent:?}") };
            notices += 1;
            assert!(notice_is_short(tag), "a notice is short");
            if !dice.random_bool(loss) {
                warned[sent.peer as usize] |= gossips[sent.peer as usize].receive_notice(now, tag);
            }
        }
    }
    Outcome { warned: warned.iter().filter(|w| **w).count(), notices }
}

fn notice_is_short(tag: [u8; 2]) -> bool {
    ClusterMessage::OverloadNotice(tag).encode().is_some_and(|text| text.len() <= 8)
}

#[test]
fn a_slow_store_is_known_to_nearly_all_relays_before_most_have_seen_it_themselves() {
    for seed in 0..5 {
        // A thousand within two seconds are three for each relay.
        let outcome = play(500, |_, _| true, 0.2, seed);
        assert!(outcome.warned * 100 >= RELAYS as usize * 90, "seed {seed}: {} of {RELAYS}", outcome.warned);
        assert!(outcome.notices <= 4 * 1000, "seed {seed}: {} notices", outcome.notices);
    }
}

#[test]
fn streamers_that_are_slow_alone_mislead_hardly_anybody() {
    for seed in 0..5 {
        // One of eight, as many set-ups as in a release.
        let outcome = play(400, |endpoint, _| endpoint % 8 == 0, 0.0, seed);
        assert!(outcome.warned * 5 <= RELAYS as usize, "seed {seed}: {} of {RELAYS}", outcome.warned);
    }
}

#[test]
fn who_is_warned_sends_at_a_quarter_of_a_window_and_no_less_and_opens_by_what_it_sees() {
    let mut limit = ConcurrencyLimit::new(0.0);
    assert_eq!(limit.time_until_slot(1_000.0, 5, 500.0), 0.0);
    for warning in 0..10 {
        limit.record_peer_warning(1_000.0 + 300.0 * f64::from(warning), 0, 200.0);
    }
    let now = 3_700.0;
    assert!(
        limit.fault_is_common(now) && !limit.fault_is_common(now + 2_000.0),
        "a warning counts for a while"
    );
    limit.record_attempt(now, 1);
    let pause = limit.time_until_slot(now, 0, 500.0);
    assert!((1_000.0..=3_000.0).contains(&pause), "a pause of four set-ups, jittered: {pause}");
    assert!(limit.time_until_slot(now, 1, 500.0).is_infinite(), "with one out nothing more goes");
    limit.record_in_time(now + 100.0, 0.1);
    assert!(limit.time_until_slot(now + 100.0, 2, 500.0).is_infinite(), "it opens by one at a time");
}
