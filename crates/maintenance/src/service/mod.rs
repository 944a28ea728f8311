//! One relay's desk: the protocol, the list and who is alive, with what is to be said to operators.
//!
//! It is fed the list, calls, datagrams and the time; it gives datagrams, answers in words and events for the log.

use std::collections::{BTreeMap, VecDeque};

use crate::call::{Call, Named};
use crate::liveness::Liveness;
use crate::plan::{CapacityPlan, Floors};
use crate::replicated_ledger::{Context, Message, Own, ReplicatedLedger, Sends, WindowStatus};
use crate::{Entry, Refused, Scope, Tag, Timing, WholeMillis, Window, WindowId, codec, tag};

/// What operators and the log are to hear without having asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A window that was asked for here stands otherwise.
    Stands(WindowId, WindowStatus),
    /// A window has ended, and what it was of still drains by the list.
    PastEnd(WindowId),
    /// So many thousandths drain in a zone and nobody has asked for it.
    Unasked(String, u64),
    /// What is left is less than the floor: thousandths left in all.
    BelowFloor(u64),
    /// This relay has taken the office, or left it.
    Leadership(bool),
}

impl Event {
    /// Whether somebody ought to look at it.
    pub fn is_alarm(&self) -> bool {
        let standing = |s: &WindowStatus| matches!(s, WindowStatus::Lapsed { .. } | WindowStatus::Refused(_));
        match self {
            Event::Stands(_, s) => standing(s),
            Event::Leadership(_) => false,
            _ => true,
        }
    }
}

impl std::fmt::Display for Event {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let size = |n: &u64| *n as f64 / 1000.0;
        match self {
            Event::Stands(id, standing) => match standing {
                WindowStatus::Lapsed { .. } => {
                    write!(f, "window {id} has lapsed: end its drain; it is asked for again")
                }
                WindowStatus::Refused(refused) => {
                    write!(f, "window {id} refused: {refused}; {}", refused.help())
                }
                WindowStatus::Granted { end, .. } => write!(f, "window {id} granted, ends at {}", end / 1000),
                WindowStatus::Ended => write!(f, "window {id} has ended"),
                WindowStatus::Closed => write!(f, "window {id} is closed"),
                WindowStatus::Waits { .. } | WindowStatus::Asked => write!(f, "window {id} waits"),
            },
            Event::PastEnd(id) => {
                write!(
                    f,
                    "window {id} has ended, and it still drains: end the drain, or ask for a new window"
                )
            }
            Event::Unasked(zone, amount) => {
                write!(f, "{} of hall {zone} drain and nobody has asked for it", size(amount))
            }
            Event::BelowFloor(left) => {
                write!(f, "{} are left, less than the floor: end what windows can be ended", size(left))
            }
            Event::Leadership(true) => f.write_str("this relay grants the windows now"),
            Event::Leadership(false) => f.write_str("this relay grants no windows any more"),
        }
    }
}

/// One window as it is listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its name.
    pub id: WindowId,
    /// What it drains.
    pub what: String,
    /// Where it stands, in words.
    pub standing: String,
}

/// Everything about windows at one relay.
#[derive(Debug)]
pub struct MaintenanceService {
    node: ReplicatedLedger,
    plan: CapacityPlan,
    timing: Timing,
    voters: Vec<u32>,
    may_override: Vec<String>,
    local_index: u32,
    members: Liveness,
    sends: Sends,
    events: VecDeque<Event>,
    /// What was said last, so that it is said once.
    stood: BTreeMap<WindowId, WindowStatus>,
    past: BTreeMap<WindowId, (Scope, WholeMillis)>,
    unasked: BTreeMap<Tag, u64>,
    below: bool,
    office: bool,
}

/// Events that wait to be taken.
const MOST_EVENTS: usize = 256;
/// Most voters by default: what they tell each other does not grow with the tier.
const VOTERS: u32 = 7;

impl MaintenanceService {
    /// The voters where none are named: all of a small tier, else seven spread over its numbers.
    ///
    /// ```
    /// use sandgw_maintenance::MaintenanceService;
    /// assert_eq!(MaintenanceService::usual_voters(3), [0, 1, 2]);
    /// assert_eq!(MaintenanceService::usual_voters(14), [0, 2, 4, 6, 8, 10, 12]);
    /// ```
    pub fn usual_voters(relays: u32) -> Vec<u32> {
        let n = relays.min(VOTERS);
        (0..n).map(|i| (u64::from(i) * u64::from(relays) / u64::from(n)) as u32).collect()
    }

    /// The desk of a relay that starts now, in a tier of so many.
    pub fn new(
        (local_index, relays): (u32, u32),
        floors: Floors,
        timing: Timing,
        voters: Vec<u32>,
        may_override: Vec<String>,
        now: WholeMillis,
    ) -> MaintenanceService {
        MaintenanceService {
            node: ReplicatedLedger::new(local_index, now),
            plan: CapacityPlan::new(floors, relays),
            timing,
            voters,
            may_override,
            local_index,
            members: Liveness::default(),
            sends: Vec::new(),
            events: VecDeque::new(),
            stood: BTreeMap::new(),
            past: BTreeMap::new(),
            unasked: BTreeMap::new(),
            below: false,
            office: false,
        }
    }

    /// The list as this relay has it, to be changed.
    pub fn plan(&mut self) -> &mut CapacityPlan {
        &mut self.plan
    }

    /// Who is alive.
    pub fn members(&self) -> &Liveness {
        &self.members
    }

    /// The protocol's state.
    pub fn node(&self) -> &ReplicatedLedger {
        &self.node
    }

    /// Datagrams to be sent.
    pub fn take_sends(&mut self) -> Sends {
        std::mem::take(&mut self.sends)
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    fn step<T>(
        &mut self,
        now: WholeMillis,
        f: impl FnOnce(&mut ReplicatedLedger, Context<'_>, &mut Sends) -> T,
    ) -> T {
        let cx = Context { now, timing: &self.timing, plan: &self.plan, voters: &self.voters };
        let result = f(&mut self.node, cx, &mut self.sends);
        self.notice(now);
        result
    }

    /// Time has passed.
    pub fn tick(&mut self, now: WholeMillis) {
        self.step(now, |node, cx, out| node.tick(cx, out));
        self.look(now);
    }

    /// Takes a datagram of another relay.
    pub fn told(&mut self, now: WholeMillis, from: u32, text: &str) {
        let Some(message) = codec::read(text) else { return };
        let life = match &message {
            Message::Vote { life, .. } | Message::Wrote { life, .. } => Some(*life),
            Message::Claim { term } | Message::Write { term, .. } if term.relay == from => Some(term.life),
            _ => None,
        };
        self.members.heard(from, life, now);
        self.step(now, |node, cx, out| node.told(cx, from, message, out));
    }

    /// Carries out a call. A window asked for is answered by its name, and stands as [`MaintenanceService::row`] says.
    pub fn call(&mut self, now: WholeMillis, call: Call) -> Result<Option<WindowId>, Refused> {
        match call {
            Call::Windows => Ok(None),
            Call::Window { what, length, after, by } => {
                let id = self.ask(now, what, length, after, by)?;
                Ok(Some(id))
            }
            Call::Cancel(id) | Call::Done(id) => {
                self.step(now, |node, cx, out| node.close(cx, id, out))?;
                Ok(Some(id))
            }
            Call::Extend(id, by) => {
                self.step(now, |node, cx, out| node.extend(cx, id, by, out))?;
                Ok(Some(id))
            }
        }
    }

    fn ask(
        &mut self,
        now: WholeMillis,
        what: Named,
        length: WholeMillis,
        after: WholeMillis,
        by: Option<String>,
    ) -> Result<WindowId, Refused> {
        if by.as_ref().is_some_and(|by| !self.may_override.contains(by)) {
            return Err(Refused::MayNot);
        }
        let what = match what {
            Named::Zone(name, amount) => Scope::Zone(tag(&name), amount),
            Named::Endpoint(name) => Scope::Endpoint(tag(&name)),
            Named::Relay(relay) => Scope::Relay(relay),
        };
        // What can be said at once is; the rest is for the office.
        if let Some(never) = self.plan.never(what, length, by.is_some()) {
            return Err(never);
        }
        let last = self.node.own().keys().next_back().map_or(0, |id| id.asked + 1);
        let id = WindowId { asked: now.max(last), relay: self.local_index };
        let window = Window { id, what, from: now + after, length, end: None, forced: by.is_some() };
        self.step(now, |node, cx, out| node.ask(cx, window, out))?;
        Ok(id)
    }

    /// Where a window stands.
    pub fn row(&self, id: WindowId, now: WholeMillis) -> Option<Row> {
        self.node.own().get(&id).map(|own| self.own_row(own, now))
    }

    /// Whether nothing has come yet of what was asked for: not even that it waits for others.
    pub fn is_open(&self, id: WindowId) -> bool {
        self.node.own().get(&id).is_some_and(|own| match own.standing {
            WindowStatus::Asked | WindowStatus::Waits { .. } => true,
            WindowStatus::Granted { end, .. } => {
                own.not_extended.is_none() && own.window.end.is_some_and(|wish| wish > end)
            }
            _ => false,
        })
    }

    /// What operators ought to look at now: drains nobody asked for, and too little left.
    pub fn alarms(&self, now: WholeMillis) -> Vec<String> {
        let granted = self.node.ledger();
        let unasked = self.plan.unasked(granted);
        let mut alarms: Vec<String> =
            unasked.iter().map(|(zone, n)| Event::Unasked(self.plan.name(*zone), *n).to_string()).collect();
        let left = self.plan.left(now, granted);
        if !self.plan.holds(&left) {
            alarms.push(Event::BelowFloor(left.all).to_string());
        }
        alarms
    }

    /// All windows known here: own ones first, then what is in the ledger.
    pub fn rows(&self, now: WholeMillis) -> Vec<Row> {
        let own = self.node.own().values().map(|own| self.own_row(own, now));
        let others =
            self.node.ledger().iter().filter(|e| !self.node.own().contains_key(&e.id) && now < e.end);
        own.chain(others.map(|e| self.ledger_row(e, now))).collect()
    }

    /// What is left now if everything that this relay knows to be granted is drained, in words.
    pub fn says_left(&self, now: WholeMillis) -> String {
        let size = |n: u64| n as f64 / 1000.0;
        let (left, floor) = (self.plan.left(now, self.node.ledger()).all, self.plan.floors.all);
        format!("left {} floor {}", size(left), size(floor))
    }

    fn ledger_row(&self, entry: &Entry, now: WholeMillis) -> Row {
        let standing = format!("granted, ends in {} s", entry.end.saturating_sub(now) / 1000);
        Row { id: entry.id, what: self.plan.says(entry.what), standing }
    }

    fn own_row(&self, own: &Own, now: WholeMillis) -> Row {
        let s = |at: WholeMillis| at.saturating_sub(now) / 1000;
        let standing = match own.standing {
            WindowStatus::Asked if now < own.window.from => {
                format!("waits to begin in {} s", s(own.window.from))
            }
            WindowStatus::Asked => "asked, nobody has answered yet".into(),
            WindowStatus::Waits { .. } if now < own.window.from => {
                format!("waits to begin in {} s", s(own.window.from))
            }
            WindowStatus::Waits { first: Some(first), ahead } if first != own.window.id => {
                format!("waits behind {ahead}, first {first}")
            }
            WindowStatus::Waits { ahead, .. } => {
                format!("waits behind {ahead}, for windows to end or streamers to be back")
            }
            WindowStatus::Granted { until, end } => {
                let more = own.not_extended.map(|r| format!(", not extended: {r}")).unwrap_or_default();
                format!("granted until {} ends {} ({} s){more}", until / 1000, end / 1000, s(end))
            }
            WindowStatus::Lapsed { .. } => "lapsed, end its drain; asked for again".into(),
            WindowStatus::Refused(refused) => format!("refused, {refused}"),
            WindowStatus::Ended => "ended".into(),
            WindowStatus::Closed => "closed".into(),
        };
        Row { id: own.window.id, what: self.plan.says(own.window.what), standing }
    }

    fn event(&mut self, event: Event) {
        if self.events.len() < MOST_EVENTS {
            self.events.push_back(event);
        }
    }

    /// Says which own windows stand otherwise than before.
    fn notice(&mut self, now: WholeMillis) {
        let kind = std::mem::discriminant::<WindowStatus>;
        let stood = &self.stood;
        let changed: Vec<(WindowId, WindowStatus, Scope)> = self
            .node
            .own()
            .iter()
            .filter(|(id, own)| stood.get(id).map(kind) != Some(kind(&own.standing)))
            .map(|(id, own)| (*id, own.standing, own.window.what))
            .collect();
        for (id, standing, what) in changed {
            if standing == WindowStatus::Ended {
                self.past.insert(id, (what, now + self.timing.bound + self.timing.again));
            }
            self.stood.insert(id, standing);
            self.event(Event::Stands(id, standing));
        }
        let own = self.node.own();
        self.stood.retain(|id, _| own.contains_key(id));
        let office = self.node.is_in_office();
        if std::mem::replace(&mut self.office, office) != office {
            self.event(Event::Leadership(office));
        }
    }

    /// Looks at the list beside what is granted: what drains past its end, or without leave, or is too little.
    fn look(&mut self, now: WholeMillis) {
        let due: Vec<WindowId> =
            self.past.iter().filter(|(_, (_, at))| *at <= now).map(|(id, _)| *id).collect();
        for id in due {
            let still = self.past.remove(&id).is_some_and(|(what, _)| self.plan.drains(what));
            if still {
                self.event(Event::PastEnd(id));
            }
        }
        if !self.office {
            return;
        }
        let unasked = self.plan.unasked(self.node.ledger());
        let new: Vec<(Tag, u64)> = unasked
            .iter()
            .filter(|(zone, n)| self.unasked.get(zone) != Some(n))
            .map(|(h, n)| (*h, *n))
            .collect();
        for (zone, amount) in new {
            self.event(Event::Unasked(self.plan.name(zone), amount));
        }
        self.unasked = unasked;
        let left = self.plan.left(now, self.node.ledger());
        let below = !self.plan.holds(&left);
        if below && !self.below {
            self.event(Event::BelowFloor(left.all));
        }
        self.below = below;
    }
}
