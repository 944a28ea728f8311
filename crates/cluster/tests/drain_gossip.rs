//! Tests when each relay learns of each change of the list, by an answer or by another relay's report, after
//! any fault of discovery.

mod drain_simulation;

use drain_simulation::{DEADLINE_MS, FAULT_AT_MS, Fault, Scenario, simulate};

/// The times of the changes: during the outage, as it ends and after it.
fn changes(fault: Fault) -> Vec<f64> {
    let available_at = fault.ends_at();
    let mut all = vec![
        FAULT_AT_MS + 100.0,
        available_at - 50.0,
        available_at + 10.0,
        available_at + 500.0,
        available_at + 1500.0,
        available_at + 3000.0,
    ];
    all.sort_by(f64::total_cmp);
    all
}

/// The results of five seeds for one number of relays.
struct Summary {
    relays: u32,
    /// Late relays, summed over all seeds.
    late: usize,
    /// The longest delay.
    latest: f64,
}

fn summaries(fault: Fault, cost: f64, loss: f64, gossips: bool) -> Vec<Summary> {
    let mut all = Vec::new();
    for relays in [1, 4, 8, 30, 100, 300] {
        let (mut late, mut latest) = (0, 0.0_f64);
        for seed in 0..5 {
            let outcome = simulate(Scenario { relays, fault, cost, loss, gossips, seed }, &changes(fault));
            let median = outcome.delays[outcome.delays.len() / 2];
            let max = outcome.delays[outcome.delays.len() - 1];
            let per_relay = |n: usize| n as f64 / f64::from(relays);
            eprintln!(
                "{fault:?}, {relays} relays, {cost} ms a poll, {loss} lost, gossip {gossips}, seed {seed}: {} late, \
                median {median:.0}, longest delay {max:.0}, {:.1} polls, {:.1} messages, {:.0} bytes a relay",
                outcome.late,
                per_relay(outcome.polls),
                per_relay(outcome.messages),
                per_relay(outcome.bytes),
            );
            late += outcome.late;
            latest = latest.max(max);
        }
        all.push(Summary { relays, late, latest });
    }
    all
}

const FAULTS: [Fault; 5] = [
    Fault::Refuses(8000.0),
    Fault::Silent(8000.0),
    Fault::Resets,
    Fault::SubscriptionsSilent,
    Fault::Restarts,
];

#[test]
fn every_relay_learns_of_each_change_in_time_after_any_fault() {
    for fault in FAULTS {
        for Summary { relays, late, latest } in summaries(fault, 50.0, 0.1, true) {
            assert_eq!(
                late, 0,
                "{fault:?}: {late} of five times {relays} relays late, longest delay {latest} ms"
            );
        }
    }
}

#[test]
fn few_relays_learn_late_at_half_the_service_rate_and_a_fifth_of_datagrams_lost() {
    for fault in FAULTS {
        for cost in [50.0, 100.0] {
            for Summary { relays, late, latest } in summaries(fault, cost, 0.2, true) {
                // `late` is summed over five seeds. Up to 8 relays poll so soon that gossip does not matter.
                let max_late = if relays > 8 { relays / 50 } else { 0 };
                assert!(
                    late <= max_late as usize,
                    "{fault:?}, {cost} ms: {late} of five times {relays} relays late"
                );
                assert!(
                    latest < 2.5 * DEADLINE_MS,
                    "{fault:?}, {cost} ms, {relays} relays: longest delay {latest} ms"
                );
            }
        }
    }
}

#[test]
fn without_gossip_most_of_hundreds_of_relays_learn_late() {
    // The failure that the tests above guard against, and that remains where relays may not send each other
    // reports.
    for fault in FAULTS {
        for Summary { relays, late, latest } in summaries(fault, 50.0, 0.1, false) {
            eprintln!(
                "{fault:?}: without gossip {late} of five times {relays} relays late, longest delay {latest} ms"
            );
            assert!(relays > 8 || late == 0, "{fault:?}: {late} of five times {relays} relays late");
            assert!(relays < 300 || late > 300, "{fault:?}: {late} of five times {relays} relays late");
        }
    }
}
