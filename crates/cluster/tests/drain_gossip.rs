//! When each relay learns of each change of the list, by an answer or by another relay's report, whatever
//! the fault of discovery was.

mod drain_simulation;

use drain_simulation::{DEADLINE_MS, FAULT_AT_MS, Fault, Plan, play};

/// Changes in the outage, as it ends and after it.
fn changes(fault: Fault) -> Vec<f64> {
    let back = fault.ends_at();
    let mut all =
        vec![FAULT_AT_MS + 100.0, back - 50.0, back + 10.0, back + 500.0, back + 1500.0, back + 3000.0];
    all.sort_by(f64::total_cmp);
    all
}

/// What five seeds of one number of relays gave.
struct Summary {
    relays: u32,
    /// Relays that were late, over all seeds.
    late: usize,
    /// The longest delay.
    latest: f64,
}

fn summaries(fault: Fault, cost: f64, loss: f64, gossips: bool) -> Vec<Summary> {
    let mut all = Vec::new();
    for relays in [1, 4, 8, 30, 100, 300] {
        let (mut late, mut latest) = (0, 0.0_f64);
        for seed in 0..5 {
            let outcome = play(Plan { relays, fault, cost, loss, gossips, seed }, &changes(fault));
            let median = outcome.delays[outcome.delays.len() / 2];
            let max = outcome.delays[outcome.delays.len() - 1];
            let each = |n: usize| n as f64 / f64::from(relays);
            eprintln!(
                "{fault:?}, {relays} relays, {cost} ms, {loss} lost, gossip {gossips}, seed {seed}: {} late, median \
                {median:.0}, latest {max:.0}, {:.1} polls, {:.1} messages, {:.0} bytes a relay",
                outcome.late,
                each(outcome.polls),
                each(outcome.messages),
                each(outcome.bytes),
            );
            late += outcome.late;
            latest = latest.max(max);
        }
        all.push(Summary { relays, late, latest });
    }
    all
}

const FAULTS: [Fault; 5] =
    [Fault::Refuses(8000.0), Fault::Silent(8000.0), Fault::Resets, Fault::WatchesSilent, Fault::Restarts];

#[test]
fn every_relay_is_told_in_time_whatever_the_fault_was() {
    for fault in FAULTS {
        for Summary { relays, late, latest } in summaries(fault, 50.0, 0.1, true) {
            assert_eq!(late, 0, "{fault:?}: {late} of five times {relays} relays, the latest after {latest}");
        }
    }
}

#[test]
fn hardly_any_is_told_late_by_a_service_of_half_the_rate_and_with_a_fifth_of_all_words_lost() {
    for fault in FAULTS {
        for cost in [50.0, 100.0] {
            for Summary { relays, late, latest } in summaries(fault, cost, 0.2, true) {
                // Of five times as many: up to 8 relays poll so soon that gossip doesn't matter.
                let max_late = if relays > 8 { relays / 50 } else { 0 };
                assert!(
                    late <= max_late as usize,
                    "{fault:?}, {cost} ms: {late} of five times {relays} relays late"
                );
                assert!(
                    latest < 2.5 * DEADLINE_MS,
                    "{fault:?}, {cost} ms, {relays} relays: the latest after {latest}"
                );
            }
        }
    }
}

#[test]
fn without_words_most_of_hundreds_are_told_late() {
    // What the ones above guard against, and what is left where relays may not send each other reports.
    for fault in FAULTS {
        for Summary { relays, late, latest } in summaries(fault, 50.0, 0.1, false) {
            eprintln!(
                "{fault:?}: without gossip {late} of five times {relays} relays late, the latest after {latest}"
            );
            assert!(relays > 8 || late == 0, "{fault:?}: {late} of five times {relays} relays late");
            assert!(relays < 300 || late > 300, "{fault:?}: {late} of five times {relays} relays late");
        }
    }
}
