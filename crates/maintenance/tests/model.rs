//! Checks the production code of the grant protocol exhaustively, with a model of three relays, two zones
//! and two windows.
//!
//! A datagram stays in flight forever once it is sent. It may arrive at any time, any number of times
//! and in any order, or never; this covers loss, duplication, delay and reordering. Any single relay may be
//! killed at any time, and restarts without state. The relays act in any order, so the model also covers a
//! relay that is stopped for any length of time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sandgw_maintenance::plan::{CapacityFloors, CapacityPlan, Endpoint, SlowStart};
use sandgw_maintenance::replicated_ledger::{Context, Decision, Message, Outbox, ReplicatedLedger, Term};
use sandgw_maintenance::{CapacityShare, Scope, Timing, WholeMillis, Window, WindowId, tag};
use stateright::{Checker, HasDiscoveries, Model, Property};

const RELAYS: u32 = 3;
/// The duration of a lease, in steps of the model's clock: [`Action::PassTime`] advances it by one.
const LEASE: WholeMillis = 2;
const VOTERS: [u32; 3] = [0, 1, 2];
/// The start time of the model. All relays have been up for longer than a lease by then.
const START: WholeMillis = 10;
/// A timeout that never expires in the model.
const NEVER: WholeMillis = 1000;
/// The maximum number of elections that are explored: one by each of the two relays that request a window,
/// and one more by either of them.
const MAX_ELECTIONS: usize = 3;

/// Two zones of one endpoint each, of which one must remain.
fn plan() -> CapacityPlan {
    let floors = CapacityFloors {
        total: 1000,
        zones: BTreeMap::new(),
        min_relays: 0,
        max_windows: 5,
        max_window_duration: 50,
        slow_start: SlowStart { initial_fraction: 1000, warm_up_time: 1 },
    };
    let mut plan = CapacityPlan::new(floors, RELAYS);
    for zone in ["a", "b"] {
        plan.upsert_endpoint(&Endpoint {
            id: format!("s-{zone}"),
            zone: zone.to_owned(),
            capacity: 1000,
            is_ready: true,
            started_at: 0,
        });
    }
    plan.confirm_list(START);
    plan
}

fn timing(abstention: WholeMillis) -> Timing {
    Timing {
        lease: LEASE,
        clock_skew_bound: 0,
        lease_renewal: 1,
        abstention,
        election_timeout: 0,
        election_stagger: 0,
        vote_grace: 0,
        retry_interval: NEVER,
        quorum_timeout: NEVER,
        grant_holdoff: 0,
        list_max_age: NEVER,
    }
}

/// A message from one relay to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Datagram {
    from: u32,
    to: u32,
    message: Message,
}

struct TestModel {
    plan: CapacityPlan,
    timing: Timing,
    time_limit: WholeMillis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ledgers: Vec<Arc<ReplicatedLedger>>,
    in_flight: BTreeSet<Arc<Datagram>>,
    now: WholeMillis,
    killed: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Deliver(Arc<Datagram>),
    Tick(u32),
    PassTime,
    Kill(u32),
}

impl TestModel {
    fn context(&self, now: WholeMillis) -> Context<'_> {
        Context { now, timing: &self.timing, plan: &self.plan, voters: &VOTERS }
    }

    /// Returns the window that a relay requests, which drains the relay's whole zone.
    fn window(&self, relay: u32) -> Window {
        let zone = ["a", "b"][relay as usize];
        Window {
            id: WindowId { requested_at: START, relay },
            scope: Scope::Zone(tag(zone), CapacityShare::All),
            not_before: 0,
            duration: 40,
            requested_end: Some(START + 40),
            overrides_floor: false,
        }
    }

    fn step(
        &self,
        state: &State,
        relay: u32,
        transition: impl FnOnce(&mut ReplicatedLedger, Context<'_>, &mut Outbox),
    ) -> State {
        let mut ledger = (*state.ledgers[relay as usize]).clone();
        let mut outbox = Vec::new();
        transition(&mut ledger, self.context(state.now), &mut outbox);
        ledger.clear_timestamps();
        let mut next = state.clone();
        // Window requests are either known in the initial state or never delivered: a lost or delayed request
        // grants nothing.
        let outbox = outbox.into_iter().filter(|sent| !matches!(sent.message, Message::RequestWindow(_)));
        let datagrams = outbox.map(|sent| Datagram { from: relay, to: sent.to, message: sent.message });
        next.in_flight.extend(datagrams.map(Arc::new));
        if ledger != *state.ledgers[relay as usize] {
            next.ledgers[relay as usize] = Arc::new(ledger);
        }
        self.drop_ineffective(&mut next);
        next
    }

    /// Removes datagrams that can no longer change anything, whatever else arrives, so that equivalent states
    /// become equal. A vote or an acknowledgement that changes nothing now belongs to an earlier election or
    /// write. A relay accepts messages of terms earlier than its promise only in another incarnation, and no
    /// relay is killed a second time.
    fn drop_ineffective(&self, state: &mut State) {
        let now = state.now;
        let killed = state.killed;
        let ledgers = &state.ledgers;
        state.in_flight.retain(|datagram| {
            let Datagram { from, to, message } = &**datagram;
            let ledger = &ledgers[*to as usize];
            match message {
                Message::Vote { .. } | Message::WriteAck { .. } if ledger.awaits(message) => {
                    let mut after = (**ledger).clone();
                    after.handle_message(self.context(now), *from, message.clone(), &mut Vec::new());
                    after.clear_timestamps();
                    after != **ledger
                }
                Message::Vote { .. } | Message::WriteAck { .. } => false,
                Message::RequestVote { term } | Message::Write { term, .. } => {
                    !killed || ledger.promised() <= Some(*term)
                }
                _ => true,
            }
        });
    }

    /// Whether a relay believes that its window may be drained, or will believe so once a datagram in flight
    /// arrives.
    fn believes_granted(&self, state: &State, relay: u32) -> bool {
        let id = self.window(relay).id;
        let ledger = &state.ledgers[relay as usize];
        let is_open = ledger.local_windows().get(&id).is_some_and(|local| !local.status.is_over());
        let grants = |message: &Message| match message {
            Message::Decision { id: decided_id, decision: Decision::Granted { until, .. } } => {
                *decided_id == id && state.now < *until
            }
            _ => false,
        };
        let grant_in_flight =
            || state.in_flight.iter().any(|datagram| datagram.to == relay && grants(&datagram.message));
        ledger.may_drain(id, state.now) || is_open && grant_in_flight()
    }

    /// Returns the state after a relay has requested its window.
    fn with_request(&self, state: &State, relay: u32) -> State {
        let window = self.window(relay);
        self.step(state, relay, |ledger, cx, out| ledger.request_window(cx, window, out).unwrap())
    }

    /// Returns the state after the window request of one relay has been delivered to another.
    fn with_known_request(&self, state: &State, relay: u32, requester: u32) -> State {
        let request = Message::RequestWindow(self.window(requester));
        self.step(state, relay, |ledger, cx, out| ledger.handle_message(cx, requester, request, out))
    }
}

impl Model for TestModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let ledgers = VOTERS.map(|relay| Arc::new(ReplicatedLedger::new(relay, 0))).to_vec();
        let state = State { ledgers, in_flight: BTreeSet::new(), now: START, killed: false };
        // Each relay knows only its own window, or both relays know both windows.
        let separate = self.with_request(&self.with_request(&state, 0), 1);
        let shared = self.with_known_request(&self.with_known_request(&separate, 0, 1), 1, 0);
        vec![separate, shared]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend(state.in_flight.iter().cloned().map(Action::Deliver));
        actions.extend([0, 1].map(Action::Tick));
        if state.now < self.time_limit {
            actions.push(Action::PassTime);
        }
        if !state.killed {
            actions.extend(VOTERS.map(Action::Kill));
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let next = match action {
            Action::Deliver(datagram) => {
                let Datagram { from, to, message } = &*datagram;
                self.step(state, *to, |ledger, cx, out| {
                    ledger.handle_message(cx, *from, message.clone(), out);
                })
            }
            Action::Tick(relay) => self.step(state, relay, |ledger, cx, out| ledger.tick(cx, out)),
            Action::PassTime => State { now: state.now + 1, ..state.clone() },
            Action::Kill(relay) => {
                let mut next = State { killed: true, ..state.clone() };
                next.ledgers[relay as usize] = Arc::new(ReplicatedLedger::new(relay, state.now));
                self.drop_ineffective(&mut next);
                next
            }
        };
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the floor is met", |m: &TestModel, state: &State| {
                !(m.believes_granted(state, 0) && m.believes_granted(state, 1))
            }),
            Property::sometimes("the first window is granted", |m: &TestModel, state: &State| {
                m.believes_granted(state, 0)
            }),
            Property::sometimes("the second is", |m: &TestModel, state: &State| m.believes_granted(state, 1)),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        let requested_term = |datagram: &Arc<Datagram>| match datagram.message {
            Message::RequestVote { term } => Some(term),
            _ => None,
        };
        let elections: BTreeSet<Term> = state.in_flight.iter().filter_map(requested_term).collect();
        elections.len() <= MAX_ELECTIONS
    }
}

fn model(abstention: WholeMillis) -> TestModel {
    TestModel { plan: plan(), timing: timing(abstention), time_limit: START + 2 }
}

#[test]
fn the_floor_is_met_despite_message_faults_and_a_restart() {
    let checker = model(LEASE).checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them different", checker.state_count(), checker.unique_state_count());
    assert!(checker.is_done());
    // This also checks that each of the two windows is granted in some state.
    checker.assert_properties();
}

/// Checks that the model can detect violations. A relay that votes at once after a restart, or less than a
/// lease after it, has forgotten acknowledgements of leases that are still in force.
#[test]
fn an_abstention_shorter_than_a_lease_violates_the_floor() {
    for abstention in [0, LEASE - 1] {
        let violated = HasDiscoveries::AnyFailures;
        let checker = model(abstention).checker().threads(4).finish_when(violated).spawn_bfs().join();
        let path = checker.discovery("the floor is met").expect("the floor is met without abstention");
        assert!(path.into_actions().iter().any(|action| matches!(action, Action::Kill(_))));
    }
}
