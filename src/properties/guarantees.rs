//! The tests: each looks at one rule over all runs.

use super::checks::Rule;
use super::runs::{assert_holds, fuller_runs, runs};

#[test]
fn a_flow_gets_one_final_answer_in_time_and_none_after_it() {
    assert_holds(runs(), Rule::OneAnswer, 10_000);
}

#[test]
fn one_forward_is_out_at_a_time_and_five_are_the_most() {
    assert_holds(runs(), Rule::OneAttempt, 10_000);
}

#[test]
fn nothing_new_goes_to_a_streamer_a_second_after_the_news_that_it_leaves() {
    assert_holds(runs(), Rule::Draining, 10_000);
}

#[test]
fn all_relays_together_spare_a_cold_streamer() {
    assert_holds(runs(), Rule::Cold, 500);
}

/// The same where endpoints have twice and three times as much to do.
#[test]
fn all_relays_together_spare_a_cold_streamer_in_fuller_tiers() {
    assert_holds(&fuller_runs(), Rule::Cold, 500);
}

#[test]
fn clients_are_told_before_their_streamer_leaves() {
    assert_holds(runs(), Rule::Migrated, 100);
}

#[test]
fn what_is_given_up_is_answered_in_the_same_call_and_a_refusal_says_when_to_come_back() {
    assert_holds(runs(), Rule::GivenUp, 10_000);
}

#[test]
fn of_clients_that_leave_one_by_one_or_in_a_burst_nothing_is_held() {
    assert_holds(runs(), Rule::ClientGone, 1_000);
    let gone = || runs().iter().map(|run| run.clients_gone);
    let queued: u64 = gone().map(|gone| gone.queued).sum();
    let pending: u64 = gone().map(|gone| gone.pending).sum();
    let attempting: u64 = gone().map(|gone| gone.attempting).sum();
    assert!(queued >= 50, "left in the queue: {queued}");
    assert!(pending >= 50, "left otherwise: {pending}");
    assert!(attempting >= 50, "left during an attempt: {attempting}");
}

#[test]
fn after_a_storm_of_faults_all_returns_to_rest_and_new_flows_are_served() {
    assert_holds(runs(), Rule::Rest, 500);
}

#[test]
fn a_seed_is_played_alike_every_time() {
    for run in &runs()[..4] {
        assert_eq!(run.replay().hash, run.hash, "seed {}", run.seed());
    }
}
