//! Tests: the four rules over generated events.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::super::api::*;
use super::world::*;

#[derive(Clone, Debug)]
enum Step {
    Ask { class: usize, group: Option<u8>, client: u8, within: u16 },
    Pass(u16),
    Establish(usize, u16),
    End(usize, usize),
    Close(usize, usize),
    Expire(usize),
    List(usize, usize),
    Full(u8),
    ListFails,
    Slow(usize, u16),
}

fn step() -> impl Strategy<Value = Step> {
    let ask = (0..6usize, prop::option::of(0..3u8), any::<u8>(), 0..2500u16)
        .prop_map(|(class, group, client, within)| Step::Ask { class, group, client, within });
    prop_oneof![
        6 => ask,
        3 => (1..600u16).prop_map(Step::Pass),
        3 => (any::<usize>(), 0..900u16).prop_map(|(i, t)| Step::Establish(i, t)),
        4 => (any::<usize>(), 0..8usize).prop_map(|(i, o)| Step::End(i, o)),
        1 => (any::<usize>(), 0..3usize).prop_map(|(i, o)| Step::Close(i, o)),
        1 => any::<usize>().prop_map(Step::Expire),
        1 => (0..6usize, 0..4usize).prop_map(|(i, s)| Step::List(i, s)),
        1 => any::<u8>().prop_map(Step::Full),
        1 => Just(Step::ListFails),
        2 => (any::<usize>(), 1..200u16).prop_map(|(i, l)| Step::Slow(i, l)),
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Ok,
];

fn play(steps: &[Step], settings: Settings) -> Vec<Action> {
    let ready: Vec<_> = (0..4).map(|i| entry(i, EndpointState::Ready, 0.0)).collect();
    let mut world = World::new(settings, &ready);
    let mut next = 0;
    for step in steps {
        match step.clone() {
            Step::Ask { class, group, client, within } => {
                next += 1;
                let class = (class < 5).then_some(class);
                let group = group.map(|g| format!("g{g}"));
                world.ask(next, class, group.as_deref(), &format!("c{client}"), within.into());
            }
            Step::Pass(span) => world.pass(span.into()),
            Step::Establish(i, took) => {
                if let Some(id) = world.out(i, false) {
                    world.establish(id, took.into());
                }
            }
            Step::End(i, outcome) => {
                if let Some(id) = world.out(i, false) {
                    world.end(id, OUTCOMES[outcome]);
                }
            }
            Step::Close(i, outcome) => {
                if let Some(id) = world.out(i, true) {
                    world.end(id, [Outcome::Ok, Outcome::Reset, Outcome::Cancelled][outcome]);
                }
            }
            Step::Expire(i) => {
                if let Some(id) = world.out(i, false) {
                    world.expire(id);
                }
            }
            Step::List(i, state) => {
                let now = world.now;
                let entry = match state {
                    0 => entry(i, EndpointState::Draining, 0.0),
                    1 => entry(i, EndpointState::Removed, 0.0),
                    2 => entry(i, EndpointState::Ready, 0.0),
                    _ => entry(i, EndpointState::Ready, now),
                };
                world.give_list(ListKind::Delta, &[entry]);
            }
            Step::Full(mask) => {
                let some: Vec<_> = (0..6).filter(|i| mask & (1 << i) != 0).collect();
                let some: Vec<_> = some.into_iter().map(|i| entry(i, EndpointState::Ready, 0.0)).collect();
                world.give_list(ListKind::Full, &some);
            }
            Step::ListFails => world.handle(Event::List { kind: ListKind::Failed, endpoints: Vec::new() }),
            Step::Slow(i, level) => {
                if let Some(request) = world.out(i, true) {
                    world.handle(Event::Measured {
                        request,
                        measurement: Measurement::MessageDelay(level.into()),
                    });
                }
            }
        }
    }
    world.finish();
    world.log
}

#[test]
fn generated_events_keep_the_rules_and_repeat_exactly() {
    let config = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let steps = prop::collection::vec(step(), 1..120);
    let outcome = runner.run(&steps, |steps| {
        prop_assert_eq!(play(&steps, settings()), play(&steps, settings()));
        for (window, free, share) in [(1500.0, 1.0, 0.05), (700.0, 0.0, 0.5), (4000.0, 2.0, 0.0)] {
            play(
                &steps,
                Settings {
                    retry_budget: Some(RetryBudget { window, min_retries: free, retry_ratio: share }),
                    ..settings()
                },
            );
        }
        Ok(())
    });
    outcome.unwrap();
}
