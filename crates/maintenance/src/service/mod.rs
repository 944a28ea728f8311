//! Combines the grant protocol, the endpoint list and the liveness of the other relays into the
//! maintenance service of one relay.
//!
//! [`MaintenanceService`] takes changes of the endpoint list, operators' calls, datagrams and the time in
//! milliseconds. It produces messages to be sent, replies to calls and events for the log. It does no I/O.

mod monitor;
mod rows;

use std::collections::{BTreeMap, VecDeque};

use crate::call::{Call, NamedScope, WindowRequest};
use crate::liveness::Liveness;
use crate::plan::{CapacityFloors, CapacityPlan};
use crate::replicated_ledger::{Context, Message, Outbox, ReplicatedLedger, WindowStatus};
use crate::{Event, RefusalReason, Scope, Tag, Timing, WholeMillis, Window, WindowId, codec, tag};

pub use rows::WindowRow;

use monitor::EndedWindow;

/// The default number of voters in a cluster that has more relays than this number. The number is fixed so
/// that the traffic between voters does not grow with the cluster.
const DEFAULT_VOTERS: u32 = 7;

/// The configuration of a relay's maintenance service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// This relay's number.
    pub local_index: u32,
    /// The number of relays in the cluster.
    pub relay_count: u32,
    /// The configured capacity floors and limits.
    pub floors: CapacityFloors,
    /// The protocol's timeouts.
    pub timing: Timing,
    /// The numbers of the relays that vote.
    pub voters: Vec<u32>,
    /// The operators who may override the capacity floors.
    pub may_override: Vec<String>,
}

/// The maintenance service of one relay.
#[derive(Debug)]
pub struct MaintenanceService {
    ledger: ReplicatedLedger,
    plan: CapacityPlan,
    timing: Timing,
    voters: Vec<u32>,
    may_override: Vec<String>,
    local_index: u32,
    liveness: Liveness,
    outbox: Outbox,
    events: VecDeque<Event>,
    /// The last reported status of each local window.
    reported_status: BTreeMap<WindowId, WindowStatus>,
    /// Windows that have ended and whose drains are still to be checked.
    ended_windows: BTreeMap<WindowId, EndedWindow>,
    /// The last reported unplanned drains: capacity by zone.
    reported_unplanned_drains: BTreeMap<Tag, u64>,
    reported_below_floor: bool,
    reported_as_leader: bool,
}

impl MaintenanceService {
    /// Returns the default voters: all relays of a small cluster, otherwise seven that are spread evenly.
    ///
    /// ```
    /// use sandgw_maintenance::MaintenanceService;
    /// assert_eq!(MaintenanceService::default_voters(3), [0, 1, 2]);
    /// assert_eq!(MaintenanceService::default_voters(14), [0, 2, 4, 6, 8, 10, 12]);
    /// ```
    pub fn default_voters(relay_count: u32) -> Vec<u32> {
        let voter_count = relay_count.min(DEFAULT_VOTERS);
        let nth_voter = |n: u32| (u64::from(n) * u64::from(relay_count) / u64::from(voter_count)) as u32;
        (0..voter_count).map(nth_voter).collect()
    }

    /// Returns the service of a relay that starts now.
    pub fn new(config: ServiceConfig, now: WholeMillis) -> MaintenanceService {
        MaintenanceService {
            ledger: ReplicatedLedger::new(config.local_index, now),
            plan: CapacityPlan::new(config.floors, config.relay_count),
            timing: config.timing,
            voters: config.voters,
            may_override: config.may_override,
            local_index: config.local_index,
            liveness: Liveness::default(),
            outbox: Vec::new(),
            events: VecDeque::new(),
            reported_status: BTreeMap::new(),
            ended_windows: BTreeMap::new(),
            reported_unplanned_drains: BTreeMap::new(),
            reported_below_floor: false,
            reported_as_leader: false,
        }
    }

    /// Returns the capacity plan, for changes to the endpoint list.
    pub fn plan_mut(&mut self) -> &mut CapacityPlan {
        &mut self.plan
    }

    /// Returns which relays are alive.
    pub fn liveness(&self) -> &Liveness {
        &self.liveness
    }

    /// Returns the protocol state of this relay.
    pub fn ledger(&self) -> &ReplicatedLedger {
        &self.ledger
    }

    /// Returns and removes the messages to be sent.
    pub fn take_outbox(&mut self) -> Outbox {
        std::mem::take(&mut self.outbox)
    }

    /// Returns and removes the events since the last call of this function.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    /// Runs a transition of the protocol, and reports the changes that it has made.
    fn step<T>(
        &mut self,
        now: WholeMillis,
        transition: impl FnOnce(&mut ReplicatedLedger, Context<'_>, &mut Outbox) -> T,
    ) -> T {
        let context = Context { now, timing: &self.timing, plan: &self.plan, voters: &self.voters };
        let result = transition(&mut self.ledger, context, &mut self.outbox);
        self.report_changes(now);
        result
    }

    /// Handles the passage of time in the protocol, and compares the endpoint list with the granted windows.
    pub fn tick(&mut self, now: WholeMillis) {
        self.step(now, |ledger, cx, out| ledger.tick(cx, out));
        self.check_drains(now);
    }

    /// Handles a datagram of another relay. Malformed datagrams are ignored.
    pub fn handle_datagram(&mut self, now: WholeMillis, from: u32, text: &str) {
        let Some(message) = codec::decode(text) else { return };
        self.liveness.record_contact(from, sender_incarnation(from, &message), now);
        self.step(now, |ledger, cx, out| ledger.handle_message(cx, from, message, out));
    }

    /// Carries out a call. Returns the id of the window that the call is about, whose status
    /// [`MaintenanceService::window_row`] returns, or `None` for a call about all windows.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call was not carried out.
    pub fn handle_call(&mut self, now: WholeMillis, call: Call) -> Result<Option<WindowId>, RefusalReason> {
        match call {
            Call::List => Ok(None),
            Call::Request(request) => self.request_window(now, request).map(Some),
            Call::Cancel(id) | Call::Done(id) => {
                self.step(now, |ledger, cx, out| ledger.close_window(cx, id, out))?;
                Ok(Some(id))
            }
            Call::Extend { id, extension } => {
                self.step(now, |ledger, cx, out| ledger.extend_window(cx, id, extension, out))?;
                Ok(Some(id))
            }
        }
    }

    fn request_window(
        &mut self,
        now: WholeMillis,
        request: WindowRequest,
    ) -> Result<WindowId, RefusalReason> {
        let WindowRequest { scope, duration, delay, override_by } = request;
        if override_by.as_ref().is_some_and(|operator| !self.may_override.contains(operator)) {
            return Err(RefusalReason::OverrideNotPermitted);
        }
        let scope = match scope {
            NamedScope::Zone(name, share) => Scope::Zone(tag(&name), share),
            NamedScope::Endpoint(id) => Scope::Endpoint(tag(&id)),
            NamedScope::Relay(relay) => Scope::Relay(relay),
        };
        let overrides_floor = override_by.is_some();
        // A request that the local endpoint list rules out is refused at once. The leader decides all other
        // requests.
        if let Some(reason) = self.plan.permanent_refusal(scope, duration, overrides_floor) {
            return Err(reason);
        }
        let id = self.next_window_id(now);
        let window =
            Window { id, scope, not_before: now + delay, duration, requested_end: None, overrides_floor };
        self.step(now, |ledger, cx, out| ledger.request_window(cx, window, out))?;
        Ok(id)
    }

    /// Returns the id of a window that is requested now. The id's time is now, or the first millisecond after
    /// the newest local window if that is later.
    fn next_window_id(&self, now: WholeMillis) -> WindowId {
        let newest = self.ledger.local_windows().keys().next_back();
        let first_unused = newest.map_or(0, |id| id.requested_at + 1);
        WindowId { requested_at: now.max(first_unused), relay: self.local_index }
    }

    /// Whether the leader has not decided a request or an extension yet: the window waits, or the leader
    /// has not answered.
    pub fn is_undecided(&self, id: WindowId) -> bool {
        self.ledger.local_windows().get(&id).is_some_and(|local| match local.status {
            WindowStatus::Requested | WindowStatus::Waits { .. } => true,
            WindowStatus::Granted { .. } => local.extension_refusal.is_none() && local.awaits_extension(),
            WindowStatus::Lapsed { .. }
            | WindowStatus::Refused(_)
            | WindowStatus::Ended
            | WindowStatus::Closed => false,
        })
    }
}

/// Returns the sender's incarnation, if the message contains it.
fn sender_incarnation(from: u32, message: &Message) -> Option<u64> {
    match message {
        Message::Vote { incarnation, .. } | Message::WriteAck { incarnation, .. } => Some(*incarnation),
        Message::RequestVote { term } | Message::Write { term, .. } if term.relay == from => {
            Some(term.incarnation)
        }
        _ => None,
    }
}
