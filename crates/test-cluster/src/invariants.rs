//! Reads the log of a run against the four rules and says which relay broke which, with the lines.
//!
//! It is fed events, the figures of the rules and the classes; it gives breaches and who was served, whose floors [`crate::service_levels`] holds. It owns nothing
//! and looks at no clock: the verdict rests on the log alone. What the log does not show it does not judge: lines
//! held back, and what a relay would have done next.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use crate::Millis;
use crate::log::{Answer, Call, End, Event, Relay, What};
use crate::service_levels::QuotaManager;
use crate::settings::Rules;

/// Where a request that may have run may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Where {
    /// At any endpoint.
    All,
    /// At endpoints of the same zone.
    Zone,
}

/// Whether requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Always.
    Safe,
    /// Within so many milliseconds of the first attempt that may have run.
    Keyed(Where, Millis),
    /// Only where no attempt may have run.
    Unsafe,
}

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request taken is answered, once and in time, with what an endpoint made for it.
    Answered,
    /// No repeated effect.
    NoRepeat,
    /// Nothing new to an endpoint that is known to drain or to be gone.
    Drain,
    /// A cold endpoint is not thrown over.
    FailBack,
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// By which relays.
    pub relays: BTreeSet<Relay>,
    /// What was done.
    pub what: String,
    /// The lines of the log that show it.
    pub lines: Vec<Event>,
}

/// What a log shows.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Rules that were broken, in the order of the rules.
    pub breaches: Vec<Breach>,
    /// Clients that were served, and all, by class and tenant.
    pub served: BTreeMap<(Arc<str>, Arc<str>), (u64, u64)>,
    /// What was served in each third, of each class and of each tenant.
    pub shares: QuotaManager,
    /// Connections that arrived mid-flow and were sent to an endpoint, and those whose first attempt found the one that
    /// holds them.
    pub mid_flow: (u64, u64),
    /// The most that came to a cold endpoint within the window, as a share of its budget.
    pub coldest: f64,
    /// The longest that the rig's own thread stood still: what came meanwhile is noted in one moment. It excuses nothing.
    pub stalled_ms: Millis,
}

impl Verdict {
    /// Whether a rule was kept.
    pub fn kept(&self, rule: Rule) -> bool {
        self.breaches.iter().all(|b| b.rule != rule)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for b in &self.breaches {
            writeln!(f, "{:?} broken by {:?}: {}", b.rule, b.relays, b.what)?;
            b.lines.iter().try_for_each(|e| writeln!(f, "    {:>10.1}  {:?}", e.at, e.what))?;
        }
        if self.breaches.is_empty() {
            writeln!(f, "all four rules kept; at most {:.2} of a cold streamer's budget", self.coldest)?;
        }
        let (all, found) = self.mid_flow;
        writeln!(f, "mid-flow: {all}, found at once {found}")?;
        writeln!(f, "the rig itself stood still for {:.0} ms at most", self.stalled_ms)?;
        write!(f, "{}", self.shares)?;
        let mut served = self.served.iter();
        served.try_for_each(|((c, t), (n, all))| writeln!(f, "{c} {t}: served {n} of {all}"))
    }
}

/// Most lines that a breach shows.
const LINES: usize = 40;

/// Judges a log. Classes that are not named may always be repeated.
pub fn judge(events: &[Event], rules: &Rules, classes: &HashMap<Arc<str>, Idempotency>) -> Verdict {
    let mut case = Case::read(events, rules);
    let mid_flow = case.mid_flow();
    let shares = QuotaManager::of(events);
    let mut verdict = Verdict { served: served(events), shares, mid_flow, ..Verdict::default() };
    verdict.breaches.extend(case.answered());
    verdict.breaches.extend(case.repeats(classes));
    verdict.breaches.extend(case.drains());
    let (cold, coldest) = case.fail_back();
    verdict.breaches.extend(cold);
    verdict.coldest = coldest;
    verdict.stalled_ms = events
        .iter()
        .filter_map(|e| if let What::Stalled { ms } = e.what { Some(ms) } else { None })
        .fold(0.0, f64::max);
    verdict
}

fn served(events: &[Event]) -> BTreeMap<(Arc<str>, Arc<str>), (u64, u64)> {
    let mut by = BTreeMap::<_, (u64, u64)>::new();
    for e in events {
        if let What::Done { class, tenant, served, .. } = &e.what {
            let (n, all) = by.entry((class.clone(), tenant.clone())).or_default();
            *n += u64::from(*served);
            *all += 1;
        }
    }
    by
}

/// A connection's part of the log.
#[derive(Default)]
struct Connection<'a> {
    relay: Relay,
    wait: Millis,
    class: Arc<str>,
    asked: Millis,
    /// Everything of it, in order.
    events: Vec<&'a Event>,
}

struct Case<'a> {
    rules: &'a Rules,
    events: &'a [Event],
    connections: BTreeMap<u64, Connection<'a>>,
    /// What concerns what each relay is told.
    told: HashMap<Relay, Vec<&'a Event>>,
    /// Changes of the list by revision, the first being 1.
    list: BTreeMap<u64, &'a Event>,
    /// Stretches in which a relay's process stood still.
    stood: HashMap<Relay, Vec<(Millis, Millis)>>,
    memory: HashMap<(Relay, u64, usize), Option<Millis>>,
}

fn connection_of(what: &What) -> Option<u64> {
    match what {
        What::Asked { id, .. }
        | What::Answered { id, .. }
        | What::Left { id }
        | What::Attempt { id, .. }
        | What::AttemptEnded { id, .. } => Some(*id),
        _ => None,
    }
}

fn relay_of(what: &What) -> Option<Relay> {
    match what {
        What::Started { relay, .. }
        | What::Called { relay, .. }
        | What::Told { relay, .. }
        | What::NotTold { relay, .. }
        | What::Died(relay) => Some(*relay),
        _ => None,
    }
}

impl<'a> Case<'a> {
    fn read(events: &'a [Event], rules: &'a Rules) -> Case<'a> {
        let (connections, told, list, stood) = <_>::default();
        let mut case = Case { rules, events, connections, told, list, stood, memory: HashMap::new() };
        for e in events {
            if let Some(id) = connection_of(&e.what) {
                case.connection(id, e);
            }
            if let Some(relay) = relay_of(&e.what) {
                case.told.entry(relay).or_default().push(e);
            }
            match &e.what {
                What::Listed { revision, .. } => drop(case.list.insert(*revision, e)),
                What::Stopped(relay) => case.stood.entry(*relay).or_default().push((e.at, f64::INFINITY)),
                What::Continued(relay) => {
                    let last = case.stood.get_mut(relay).and_then(|s| s.last_mut());
                    last.into_iter().for_each(|s| s.1 = e.at);
                }
                _ => {}
            }
        }
        case
    }

    fn connection(&mut self, id: u64, e: &'a Event) {
        let connection = self.connections.entry(id).or_default();
        if let What::Asked { relay, wait_ms, class, .. } = &e.what {
            (connection.relay, connection.wait, connection.class, connection.asked) =
                (*relay, *wait_ms, class.clone(), e.at);
        }
        connection.events.push(e);
    }

    /// Which relay a connection was asked of.
    fn asked_at(&self, id: u64) -> Option<Relay> {
        self.connections
            .get(&id)
            .filter(|connection| connection.wait > 0.0)
            .map(|connection| connection.relay)
    }

    fn stood_within(&self, relay: Relay, from: Millis, to: Millis) -> bool {
        self.stood.get(&relay).is_some_and(|all| all.iter().any(|(a, b)| *a <= to && *b >= from))
    }

    fn died_within(&self, relay: Relay, from: Millis, to: Millis) -> bool {
        let events = self.told.get(&relay).into_iter().flatten();
        events.into_iter().any(|e| matches!(e.what, What::Died(_)) && e.at >= from && e.at <= to)
    }

    /// Connections that came mid-flow, and those that were found at once.
    fn mid_flow(&self) -> (u64, u64) {
        let mut count = (0, 0);
        for connection in self.connections.values() {
            let mid = connection.events.iter().any(|e| matches!(e.what, What::Attempt { mid: true, .. }));
            let first = connection.events.iter().find_map(|e| match &e.what {
                What::AttemptEnded { end, .. } => Some(*end),
                _ => None,
            });
            count.0 += u64::from(mid);
            count.1 += u64::from(mid && first == Some(End::Up));
        }
        count
    }

    /// Rule 1.
    fn answered(&self) -> Vec<Breach> {
        self.connections.values().filter_map(|connection| self.unanswered(connection)).collect()
    }

    fn unanswered(&self, connection: &Connection<'a>) -> Option<Breach> {
        let due = connection.asked + connection.wait + self.rules.answer_slack_ms + self.rules.grace_ms;
        let over = self.events.last().map_or(0.0, |e| e.at);
        let ends = |e: &&&Event| matches!(e.what, What::Answered { .. } | What::Left { .. });
        let end = connection.events.iter().find(ends).map_or(due, |e| e.at);
        // What its relay's death or the end of the log cut off is owed by nobody.
        let excused = self.stood_within(connection.relay, connection.asked, due);
        if connection.wait <= 0.0 || excused || self.died_within(connection.relay, connection.asked, end) {
            return None;
        }
        let answers: Vec<_> = connection.events.iter().filter(ends).collect();
        let what = match answers.first().map(|e| (e.at, &e.what)) {
            None if over <= due => return None,
            None | Some((_, What::Left { .. })) => "no answer".to_owned(),
            Some((_, What::Answered { answer: Answer::Cut, .. })) => "ended without an answer".to_owned(),
            Some((at, _)) if at > due => format!("answered {:.0} ms too late", at - due),
            Some((_, What::Answered { answer: Answer::Up(receipt), .. })) if !connection.issued(receipt) => {
                format!("served with {receipt:?}, which no streamer made for it")
            }
            Some(_) if answers.len() > 1 => "answered twice".to_owned(),
            Some(_) => return None,
        };
        Some(self.breach(Rule::Answered, [connection.relay], what, connection.events.iter().copied()))
    }

    /// Rule 2.
    fn repeats(&self, classes: &HashMap<Arc<str>, Idempotency>) -> Vec<Breach> {
        let repeat =
            |connection: &Connection| classes.get(&connection.class).copied().unwrap_or(Idempotency::Safe);
        let broken = self
            .connections
            .values()
            .filter_map(|connection| Some((connection, self.repeated(connection, repeat(connection))?)));
        broken
            .map(|(connection, what)| {
                self.breach(Rule::NoRepeat, [connection.relay], what, connection.events.iter().copied())
            })
            .collect()
    }

    /// What is wrong with a connection's attempts, if anything.
    fn repeated(&self, connection: &Connection<'a>, repeat: Idempotency) -> Option<String> {
        let mut out: Option<Millis> = None;
        // Where and when the first attempt that may have run was sent.
        let mut ran: Option<(Arc<str>, Millis)> = None;
        for e in &connection.events {
            match &e.what {
                What::Attempt { endpoint, first_byte, .. } => {
                    // A relay that has given one up is ahead of its endpoint's log by the way there.
                    if out.is_some_and(|since| *first_byte - since > 0.0) && !self.ends_soon(connection, e) {
                        return Some("a second attempt while one was out".into());
                    }
                    if let Some((at, since)) = &ran
                        && let Some(what) = self.forbids(repeat, at, *since, endpoint, e.at)
                    {
                        return Some(what);
                    }
                    out = Some(e.at);
                    ran.get_or_insert((endpoint.clone(), e.at));
                }
                What::AttemptEnded { end, .. } => {
                    out = None;
                    // One that was turned away never ran; what ran before it is another endpoint's.
                    if *end == End::Busy && self.only_turned_away(connection, e.at) {
                        ran = None;
                    }
                }
                What::Answered { answer: Answer::Busy(_), .. } => {
                    let harmless = matches!(repeat, Idempotency::Safe | Idempotency::Keyed(Where::All, _));
                    if ran.is_some() && !harmless {
                        return Some("refused as harmless though it may have run".into());
                    }
                }
                _ => {}
            }
        }
        None
    }

    fn forbids(
        &self,
        repeat: Idempotency,
        first: &str,
        since: Millis,
        now: &str,
        at: Millis,
    ) -> Option<String> {
        match repeat {
            Idempotency::Safe => None,
            Idempotency::Unsafe => Some("sent again though it may have run".into()),
            Idempotency::Keyed(_, window) if at > since + window + self.rules.grace_ms => {
                Some(format!("sent again {:.0} ms after it may have run", at - since))
            }
            Idempotency::Keyed(Where::Zone, _) if self.zone(first) != self.zone(now) => {
                Some(format!("sent to {now} though it may have run at {first}"))
            }
            Idempotency::Keyed(..) => None,
        }
    }

    /// An attempt counts as over once its relay gave it up; the endpoint sees that a moment later.
    fn ends_soon(&self, connection: &Connection<'a>, second: &Event) -> bool {
        let grace = self.rules.grace_ms.max(50.0);
        let later = connection.events.iter().filter(|e| e.at >= second.at && e.at - second.at <= grace);
        let What::Attempt { endpoint: own, .. } = &second.what else { return false };
        later.into_iter().any(|e| matches!(&e.what, What::AttemptEnded { endpoint, .. } if endpoint != own))
    }

    fn only_turned_away(&self, connection: &Connection<'a>, upto: Millis) -> bool {
        let until = connection.events.iter().filter(|e| e.at <= upto);
        let mut ends = until.filter_map(|e| match &e.what {
            What::AttemptEnded { end, .. } => Some(*end),
            _ => None,
        });
        ends.all(|end| end == End::Busy)
    }

    fn zone(&self, id: &str) -> Option<&Arc<str>> {
        self.list.values().find_map(|e| match &e.what {
            What::Listed { endpoint, zone, .. } if &**endpoint == id => Some(zone),
            _ => None,
        })
    }

    /// Rule 3.
    fn drains(&mut self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for e in self.events {
            let What::Attempt { id, endpoint, first_byte, mid } = &e.what else { continue };
            let Some(relay) = self.asked_at(*id) else { continue };
            let Some((revision, listed)) = self.left_at(endpoint, *first_byte) else { continue };
            let Some(told) = self.told_at(relay, revision, *first_byte) else { continue };
            let late = first_byte - told - self.rules.stop_sending_ms - self.rules.grace_ms;
            // A connection that connections goes to who holds it, draining or not.
            if *mid || late <= 0.0 {
                continue;
            }
            let what = format!("sent to {endpoint} {late:.0} ms later than it may, told at {told:.0}");
            let lines =
                self.told[&relay].iter().copied().filter(|t| (told - 20_000.0..*first_byte).contains(&t.at));
            let lines = [listed].into_iter().chain(lines).chain([e]);
            breaches.push(self.breach(Rule::Drain, [relay], what, lines));
        }
        breaches
    }

    /// Since which revision an endpoint has not been ready, as of a time.
    fn left_at(&self, id: &str, at: Millis) -> Option<(u64, &'a Event)> {
        let mut since = None;
        for (revision, e) in self.list.iter().filter(|(_, e)| e.at <= at) {
            match &e.what {
                What::Listed { endpoint, phase, .. } if &**endpoint == id => {
                    since = if *phase == "Ready" { None } else { since.or(Some((*revision, *e))) };
                }
                _ => {}
            }
        }
        since
    }

    /// Rule 4: the breaches, and the most that came as a share of the budget.
    fn fail_back(&mut self) -> (Vec<Breach>, f64) {
        let cold = self.events.iter().filter_map(|e| match &e.what {
            What::ColdStart { endpoint, rate } => Some((e.at, endpoint.clone(), *rate)),
            _ => None,
        });
        let (mut breaches, mut coldest) = (Vec::new(), 0.0_f64);
        for (start, endpoint, rate) in cold.collect::<Vec<_>>() {
            let (share, breach) = self.thrown_over(start, &endpoint, rate);
            coldest = coldest.max(share);
            breaches.extend(breach);
        }
        (breaches, coldest)
    }

    fn thrown_over(&mut self, start: Millis, endpoint: &Arc<str>, rate: f64) -> (f64, Option<Breach>) {
        let rules = self.rules;
        let until = self.events.iter().filter(|e| e.at > start && e.at - start < rules.warm_ms);
        let came: Vec<_> = until
            .filter_map(|e| match &e.what {
                What::Attempt { id, endpoint: to, .. } if to == endpoint => Some((e, self.asked_at(*id)?)),
                _ => None,
            })
            .collect();
        let (mut first, mut share) = (0, 0.0_f64);
        for last in 0..came.len() {
            let at = came[last].0.at;
            while at - came[first].0.at > rules.fall_ms {
                first += 1;
            }
            let window = &came[first..=last];
            // As warm as it was in the middle of the window.
            let age = (at + came[first].0.at) / 2.0 - start;
            let budget = Rules::budget(rules.allowed(rate, age));
            share = share.max(window.len() as f64 / budget);
            if window.len() as f64 <= budget {
                continue;
            }
            if let Some(breach) = self.by_told(start, endpoint, window, budget) {
                return (share, Some(breach));
            }
        }
        (share, None)
    }

    fn by_told(
        &mut self,
        start: Millis,
        id: &Arc<str>,
        window: &[(&'a Event, Relay)],
        budget: f64,
    ) -> Option<Breach> {
        let fresh = self.list.iter().find(|(_, e)| {
            let of = |w: &What| matches!(w, What::Listed { endpoint, fresh: true, .. } if endpoint == id);
            of(&e.what) && e.at >= start - 1000.0
        });
        let (revision, listed) = fresh.map(|(r, e)| (*r, *e))?;
        let knows: Vec<_> = window
            .iter()
            .filter(|(e, relay)| self.told_at(*relay, revision, e.at).is_some_and(|told| told <= e.at))
            .collect();
        if knows.len() * 3 <= window.len() * 2 {
            return None;
        }
        let relays: BTreeSet<_> = knows.iter().map(|(_, relay)| *relay).collect();
        let (all, told) = (window.len(), knows.len());
        let what = format!(
            "{all} to {id} within its window, {told} by those told of its start; it bears {budget:.0}"
        );
        let lines = [listed].into_iter().chain(window.iter().map(|(e, _)| *e));
        Some(self.breach(Rule::FailBack, relays, what, lines))
    }

    /// When a relay counts as told of a revision, as its process stood at a time; nothing where it does not yet.
    fn told_at(&mut self, relay: Relay, revision: u64, at: Millis) -> Option<Millis> {
        let events = self.told.get(&relay)?;
        let upto = events.partition_point(|e| e.at <= at);
        let life = events[..upto].iter().rposition(|e| matches!(e.what, What::Started { .. }))?;
        let end = events[life + 1..].iter().position(|e| matches!(e.what, What::Started { .. }));
        let end = end.map_or(events.len(), |n| life + 1 + n);
        let key = (relay, revision, life);
        if !self.memory.contains_key(&key) {
            let changed = self.list.get(&revision)?.at;
            let told = told(&events[life..end], self.rules, revision, changed);
            self.memory.insert(key, told.map(|told| self.awake(relay, told)));
        }
        self.memory[&key].filter(|told| *told <= at)
    }

    /// What was told to a process that stood still is known to it once it goes on.
    fn awake(&self, relay: Relay, told: Millis) -> Millis {
        let stood = self.stood.get(&relay).into_iter().flatten();
        stood.filter(|(from, to)| (*from..*to).contains(&told)).map(|(_, to)| *to).fold(told, f64::max)
    }

    fn breach(
        &self,
        rule: Rule,
        relays: impl IntoIterator<Item = Relay>,
        what: String,
        lines: impl Iterator<Item = &'a Event>,
    ) -> Breach {
        Breach {
            rule,
            relays: relays.into_iter().collect(),
            what,
            lines: lines.take(LINES).cloned().collect(),
        }
    }
}

impl Connection<'_> {
    fn issued(&self, receipt: &str) -> bool {
        let made =
            |e: &&Event| matches!(&e.what, What::AttemptEnded { receipt: Some(r), .. } if r == receipt);
        self.events.iter().any(made)
    }
}

/// What a relay is doing about the list.
enum Asks {
    /// Nothing since this time; the last call failed or did not.
    Not { since: Millis, failed: bool },
    /// A call of this kind is out.
    Out { call: u64, since: Millis, what: Call },
}

/// When one life of a relay counts as told of a change: by an answer, or by the time that it may go without.
fn told(life: &[&Event], rules: &Rules, revision: u64, changed: Millis) -> Option<Millis> {
    let mut asks = Asks::Not { since: 0.0, failed: false };
    for e in life {
        let deemed = deemed(&asks, rules, changed);
        if e.at >= deemed && !matches!(e.what, What::Started { .. }) {
            return Some(deemed);
        }
        match &e.what {
            What::Started { known, .. } if *known >= revision => return Some(e.at),
            What::Started { .. } => asks = Asks::Not { since: e.at, failed: false },
            What::Called { call, what, .. } => asks = Asks::Out { call: *call, since: e.at, what: *what },
            What::Told { revision: told, .. } if *told >= revision => return Some(e.at),
            What::Told { call, .. } if asks.is(*call) => asks = Asks::Not { since: e.at, failed: false },
            What::NotTold { call, .. } if asks.is(*call) => {
                let silent = matches!(asks, Asks::Out { what: Call::Watch { wait_ms: 1.., .. }, .. });
                // A watch that its caller gave up has not failed.
                asks = Asks::Not { since: e.at, failed: !silent };
            }
            What::Died(_) => return None,
            _ => {}
        }
    }
    Some(deemed(&asks, rules, changed))
}

impl Asks {
    fn is(&self, number: u64) -> bool {
        matches!(self, Asks::Out { call, .. } if *call == number)
    }
}

fn deemed(asks: &Asks, rules: &Rules, changed: Millis) -> Millis {
    match asks {
        Asks::Not { since, failed } => {
            since.max(changed) + rules.ask_every_ms * if *failed { 4.0 } else { 1.0 }
        }
        Asks::Out { since, what: Call::Watch { wait_ms, .. }, .. } => {
            (since + *wait_ms as f64).max(changed) + 2000.0
        }
        Asks::Out { since, what: Call::List, .. } => since.max(changed) + 6000.0,
    }
}
