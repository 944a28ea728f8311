//! Notices of late set-ups in a cluster of hundreds of relays: how soon all relays know of a slow store, and
//! how few relays are misled by individually slow endpoints.

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

/// Simulates `rate` set-ups a second for two seconds. `late` selects those that are late, which a relay knows
/// half a second after it sent them, at random or by endpoint.
fn simulate(rate: u32, late: impl Fn(u32, &mut StdRng) -> bool, loss: f64, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut gossips: Vec<OverloadGossip> =
        (0..RELAYS).map(|local_index| OverloadGossip::new(seed * 1000 + u64::from(local_index))).collect();
    let (mut warned, mut notices, mut out) = (vec![false; RELAYS as usize], 0, Vec::new());
    for n in 0..2 * rate {
        let now = f64::from(n) * 1000.0 / f64::from(rate);
        let (relay, endpoint) = (rng.random_range(0..RELAYS), rng.random_range(0..ENDPOINTS));
        if late(endpoint, &mut rng) {
            let position = ClusterPosition { local_index: relay, relay_count: RELAYS };
            gossips[relay as usize].report_late_setup(now, [endpoint as u8, 0], position, &mut out);
        }
        for sent in out.drain(..) {
            let ClusterMessage::OverloadNotice(tag) = sent.message else { panic!("{sent:?}") };
            notices += 1;
            assert!(notice_is_short(tag), "a notice is short");
            if !rng.random_bool(loss) {
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
fn nearly_all_relays_are_warned_of_a_slow_store_before_most_observe_it() {
    for seed in 0..5 {
        // A thousand set-ups within two seconds are three for each relay.
        let outcome = simulate(500, |_, _| true, 0.2, seed);
        assert!(
            outcome.warned * 100 >= RELAYS as usize * 90,
            "seed {seed}: {} of {RELAYS} relays warned",
            outcome.warned
        );
        assert!(outcome.notices <= 4 * 1000, "seed {seed}: {} notices", outcome.notices);
    }
}

#[test]
fn individually_slow_endpoints_mislead_few_relays() {
    for seed in 0..5 {
        // One of eight endpoints is slow, with as many set-ups as in a release.
        let outcome = simulate(400, |endpoint, _| endpoint % 8 == 0, 0.0, seed);
        assert!(
            outcome.warned * 5 <= RELAYS as usize,
            "seed {seed}: {} of {RELAYS} relays warned",
            outcome.warned
        );
    }
}

#[test]
fn a_warned_relay_cuts_its_limit_to_a_quarter_and_raises_it_by_its_own_observations() {
    let mut limit = ConcurrencyLimit::new(0.0);
    assert_eq!(limit.time_until_slot(1_000.0, 5, 500.0), 0.0);
    for warning in 0..10 {
        limit.record_peer_warning(1_000.0 + 300.0 * f64::from(warning), 0, 200.0);
    }
    let now = 3_700.0;
    assert!(limit.fault_is_common(now) && !limit.fault_is_common(now + 2_000.0), "a warning expires");
    limit.record_attempt(now, 1);
    let pause = limit.time_until_slot(now, 0, 500.0);
    assert!((1_000.0..=3_000.0).contains(&pause), "a jittered pause of four latency objectives: {pause} ms");
    assert!(
        limit.time_until_slot(now, 1, 500.0).is_infinite(),
        "there is no slot while a set-up is in flight"
    );
    limit.record_in_time(now + 100.0, 0.1);
    assert!(limit.time_until_slot(now + 100.0, 2, 500.0).is_infinite(), "the limit rises by one at a time");
}
