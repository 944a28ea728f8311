//! Translation between the simulator's wire and the load balancer's interface; no decisions.
//!
//! One JSON array a line: a batch opens with `ROUND`, holds one event a line and closes with `GO`;
//! the reply holds one action a line and closes with `FINISHED`.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use sandgw_affinity::codec::VERSION;
use sandgw_quota::tenants::{Tenant, Tenants};
use sandgw_quota::usage_gossip::KIND;
use serde_json::{Value, json};
use thiserror::Error;

use crate::LoadBalancer;
use crate::help::help;
use crate::policy::api::*;

/// What was wrong with the input, and in which batch.
#[derive(Debug, Error)]
#[error("{}: {what}", place(*batch))]
pub struct WireError {
    /// Number of the batch, when one had begun.
    pub batch: Option<u64>,
    /// What was wrong.
    pub what: WireFault,
}

fn place(batch: Option<u64>) -> String {
    batch.map_or("before any round".into(), |n| format!("round {n}"))
}

/// What can be wrong with a line. Nothing of it has been taken.
#[derive(Debug, Error)]
pub enum WireFault {
    /// The line is no JSON.
    #[error("not a JSON line: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is JSON, but no message.
    #[error("a message must {0}")]
    NotMessage(&'static str),
    /// A message that has to stand elsewhere in a batch.
    #[error("{name} {place}")]
    Order {
        /// The message.
        name: String,
        /// Where it stands.
        place: &'static str,
    },
    /// The input has ended early.
    #[error("the input ends inside the round")]
    Ended,
    /// An instance is to start with settings that it can't work with.
    #[error("START: {}", joined(.0))]
    Settings(Vec<SettingError>),
    /// An event of an instance that there is not.
    #[error("{name} for {who}, which has not started")]
    NotStarted {
        /// The message.
        name: String,
        /// The instance.
        who: String,
    },
    /// An event that this form of the wire does not have.
    #[error("unknown event {0}")]
    Unknown(String),
    /// A message that is too short.
    #[error("{name} has too few values: {given} given, value {needed} is needed")]
    TooFew {
        /// The message.
        name: String,
        /// How many values it has.
        given: usize,
        /// The number of the value that is read, from 1.
        needed: usize,
    },
    /// A value that can't be read.
    #[error("{name}: value {number} must be {wanted}")]
    Value {
        /// The message.
        name: String,
        /// The number of the value, from 1.
        number: usize,
        /// What it must be.
        wanted: &'static str,
    },
    /// An entry of a list of endpoints that can't be read.
    #[error("MEMBERSHIP: an entry must be an array")]
    Entry,
}

fn joined(faults: &[SettingError]) -> String {
    faults.iter().map(SettingError::to_string).collect::<Vec<_>>().join("; ")
}

help!(WireFault {
    NotJson: "not a JSON line" => "see that nothing but the simulator writes to standard input",
    NotMessage: "a message must" => "look at the version of the simulator: each line is an array behind a name",
    Order: "ROUND" => "look at the simulator: a batch opens with ROUND and closes with GO",
    Ended: "the input ends inside the round" => "look at why the simulator ended; what it had sent was not answered",
    Settings: "START:" => "mend the settings that are named, as in a configuration",
    NotStarted: "which has not started" => "look at the simulator: an instance begins with START, once more after SHUTDOWN",
    Unknown: "unknown event" => "the simulator is of a later version: take the adapter that goes with it",
    TooFew: "has too few values" => "the simulator is of another version: take the adapter that goes with it",
    Value: "must be" => "look at that value of the line in the simulator; figures of another version may differ",
    Entry: "an entry must be an array" => "look at the simulator's list of streamers",
});

struct Instance {
    load_balancer: LoadBalancer,
    classes: Vec<String>,
}

/// All the balancers that one process hosts; they share nothing but the stream.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<String, Instance>,
    batch: Option<(f64, u64)>,
    last: Option<u64>,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    /// An adapter that hosts no instance yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one line; gives the whole reply when the line closes a batch.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        self.read(line).map_err(|what| WireError { batch: self.last, what })
    }

    /// Checks that the input ended between batches.
    pub fn end(&self) -> Result<(), WireError> {
        match self.batch {
            Some((_, n)) => Err(WireError { batch: Some(n), what: WireFault::Ended }),
            None => Ok(()),
        }
    }

    fn read(&mut self, line: &str) -> Result<Option<String>, WireFault> {
        let value: Value = serde_json::from_str(line)?;
        let values = value.as_array().ok_or(WireFault::NotMessage("be an array"))?;
        let name =
            values.first().and_then(Value::as_str).ok_or(WireFault::NotMessage("begin with its name"))?;
        let fields = Fields { name, values: &values[1..] };
        match (name, self.batch) {
            ("ROUND", None) => {
                let now = fields.number(0)?;
                let number = fields.whole(1)?;
                self.batch = Some((now, number));
                self.last = Some(number);
                Ok(None)
            }
            ("ROUND", Some(_)) => Err(order(name, "before the last one's GO")),
            ("GO", Some((_, number))) => {
                self.batch = None;
                push_line(&mut self.reply, &json!(["FINISHED", number]));
                Ok(Some(std::mem::take(&mut self.reply)))
            }
            (_, Some((now, _))) => self.event(now, &fields).map(|()| None),
            (_, None) => Err(order(name, "outside of a round")),
        }
    }

    fn event(&mut self, now: f64, fields: &Fields) -> Result<(), WireFault> {
        let who = fields.text(0)?;
        self.actions.clear();
        if fields.name == "START" {
            let seed = fields.whole(1)?;
            let boot = fields.at(2)?;
            let settings = settings(boot).map_err(WireFault::Settings)?;
            let classes = class_names(boot);
            let made = catch_unwind(AssertUnwindSafe(|| LoadBalancer::new(settings, seed, now)));
            match made {
                Ok(load_balancer) => {
                    self.instances.insert(who.to_owned(), Instance { load_balancer, classes });
                }
                Err(cause) => push_line(&mut self.reply, &json!(["PANIC", who, panic_text(&*cause)])),
            }
        } else {
            let Some(instance) = self.instances.get_mut(who) else {
                return Err(WireFault::NotStarted { name: fields.name.to_owned(), who: who.to_owned() });
            };
            if fields.name == "SHUTDOWN" {
                self.instances.remove(who);
                return Ok(());
            }
            let Some(event) = event(fields, &instance.classes)? else { return Ok(()) };
            let actions = &mut self.actions;
            let load_balancer = &mut instance.load_balancer;
            if let Err(cause) = catch_unwind(AssertUnwindSafe(|| load_balancer.handle(now, event, actions))) {
                push_line(&mut self.reply, &json!(["PANIC", who, panic_text(&*cause)]));
                return Ok(());
            }
        }
        for action in self.actions.drain(..) {
            push_line(&mut self.reply, &encode(who, action));
        }
        Ok(())
    }
}

fn order(name: &str, place: &'static str) -> WireFault {
    WireFault::Order { name: name.to_owned(), place }
}

fn push_line(out: &mut String, value: &Value) {
    out.push_str(&value.to_string());
    out.push('\n');
}

fn panic_text(cause: &(dyn std::any::Any + Send)) -> String {
    let text = cause.downcast_ref::<&str>().map(|s| (*s).to_owned());
    text.or_else(|| cause.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".into())
}

struct Fields<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn at(&self, i: usize) -> Result<&'a Value, WireFault> {
        let (name, given) = (self.name, self.values.len());
        let few = || WireFault::TooFew { name: name.to_owned(), given, needed: i + 1 };
        self.values.get(i).ok_or_else(few)
    }

    fn wrong(&self, i: usize, wanted: &'static str) -> WireFault {
        WireFault::Value { name: self.name.to_owned(), number: i + 1, wanted }
    }

    fn number(&self, i: usize) -> Result<f64, WireFault> {
        self.at(i)?.as_f64().ok_or_else(|| self.wrong(i, "a number"))
    }

    fn number_or(&self, i: usize, absent: f64) -> Result<f64, WireFault> {
        if self.at(i)?.is_null() { Ok(absent) } else { self.number(i) }
    }

    fn whole(&self, i: usize) -> Result<u64, WireFault> {
        self.at(i)?.as_u64().ok_or_else(|| self.wrong(i, "a whole number"))
    }

    fn text(&self, i: usize) -> Result<&'a str, WireFault> {
        self.at(i)?.as_str().ok_or_else(|| self.wrong(i, "a text"))
    }

    fn key(&self, i: usize) -> Result<Option<Key>, WireFault> {
        if self.at(i)?.is_null() { Ok(None) } else { self.text(i).map(|t| Some(Key(Arc::from(t)))) }
    }

    fn flag(&self, i: usize) -> Result<bool, WireFault> {
        match self.at(i)? {
            Value::Null => Ok(false),
            v => v.as_bool().ok_or_else(|| self.wrong(i, "true or false")),
        }
    }

    fn id(&self) -> Result<RequestId, WireFault> {
        self.whole(1).map(RequestId)
    }

    fn endpoint(&self, i: usize) -> Result<EndpointId, WireFault> {
        self.text(i).map(|t| EndpointId(Arc::from(t)))
    }

    fn attempt(&self, i: usize) -> Result<AttemptId, WireFault> {
        self.whole(i).map(|n| AttemptId(u32::try_from(n).unwrap_or(u32::MAX)))
    }

    fn outcome(&self, i: usize) -> Result<Outcome, WireFault> {
        Ok(match self.whole(i)? {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Rejected,
            40 => Outcome::TimedOut,
            50 => Outcome::ConnectFailed,
            60 => Outcome::Reset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            _ => return Err(self.wrong(i, "a known outcome")),
        })
    }
}

/// Reads an event; nothing of those that say nothing to the load balancer.
fn event(f: &Fields, classes: &[String]) -> Result<Option<Event>, WireFault> {
    let class = |i| f.text(i).map(|name| classes.iter().position(|c| c == name).map(ClassId));
    Ok(Some(match f.name {
        "KNOCK" => {
            let marks = f.number_or(4, 0.0)? as u64;
            Event::Request(Request {
                id: f.id()?,
                load: load(f.number_or(2, 0.0)?, marks),
                mid_flow: marks & 8 != 0,
                returned: marks & (2 | 16) != 0,
                deadline: f.number(5)?,
                setup_time_used: 0.0,
                drained_by_endpoint: true,
                group: f.key(6)?,
                class: class(7)?,
                client: f.key(8)?,
            })
        }
        "OPEN" => {
            let marks = f.number_or(8, 0.0)? as u64;
            Event::ExistingConnection {
                request: Request {
                    id: f.id()?,
                    class: class(2)?,
                    client: f.key(4)?,
                    deadline: f.number(5)?,
                    setup_time_used: 0.0,
                    drained_by_endpoint: true,
                    load: load(f.number_or(6, 0.0)?, marks),
                    group: f.key(7)?,
                    mid_flow: false,
                    returned: marks & (2 | 16) != 0,
                },
                endpoint: f.endpoint(9)?,
            }
        }
        "OPENED" => Event::Established { request: f.id()?, elapsed: f.number(2)?, attempt: f.attempt(3)? },
        "CLOSED_ATTEMPT" => Event::AttemptEnded {
            request: f.id()?,
            endpoint: f.endpoint(2)?,
            attempt: f.attempt(4)?,
            outcome: f.outcome(5)?,
            finished: f.flag(6)?,
        },
        "EXPIRED" => Event::ClientGone(f.id()?),
        "PROGRESS" => {
            let level = f.number(5)?;
            let note = match f.whole(4)? {
                1 => Measurement::Load(level / 1000.0),
                2 => Measurement::MessageDelay(level),
                _ => return Err(f.wrong(4, "a known kind of note")),
            };
            Event::Measured { request: f.id()?, measurement: note }
        }
        "TICK_DUE" => Event::Timer(f.whole(1)?),
        "MEMBERSHIP" => {
            let kind = match f.whole(1)? {
                0 => ListKind::Delta,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                _ => return Err(f.wrong(1, "a known kind of list")),
            };
            let entries = f.at(3)?.as_array().map(Vec::as_slice).unwrap_or_default();
            Event::List { kind, endpoints: entries.iter().map(entry).collect::<Result<_, _>>()? }
        }
        // Never asked for: the load balancer does not probe.
        "HEALTH" => return Ok(None),
        // Whatever a peer may send, it is no fault of the wire.
        "MAIL" => match message(f.text(2)?).filter(|message| message.quota.is_none()) {
            Some(message) => {
                Event::PeerMessage { peer: u32::try_from(f.whole(1)?).unwrap_or(u32::MAX), message }
            }
            None => return Ok(None),
        },
        other => return Err(WireFault::Unknown(other.to_owned())),
    }))
}

fn load(hint: f64, marks: u64) -> Option<f64> {
    (marks & 1 != 0 && hint > 0.0).then_some(hint)
}

fn entry(value: &Value) -> Result<EndpointEntry, WireFault> {
    let values = value.as_array().ok_or(WireFault::Entry)?;
    let f = Fields { name: "MEMBERSHIP entry", values };
    Ok(EndpointEntry {
        cell: f.number_or(0, 0.0)? as u64,
        weight: f.number_or(1, 1.0)?,
        id: f.endpoint(3)?,
        started: f.number_or(4, 0.0)?,
        state: match f.whole(5)? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            _ => return Err(f.wrong(5, "a known state")),
        },
        zone: Zone(f.at(6)?.as_str().unwrap_or_default().into()),
    })
}

/// First word of a message between balancers: its version and kind.
const SAMPLE: &str = "1s";
const ANSWER: &str = "1t";
pub(crate) use sandgw_datagram::MAX_BYTES as MESSAGE_BYTES;

/// Reads a message of a peer; nothing of one that is too long, of another version or malformed.
pub(crate) fn message(text: &str) -> Option<PeerMessage> {
    if text.starts_with(VERSION) {
        let cluster = Some(ClusterMessage::read(text)?);
        return Some(PeerMessage { cluster, ..PeerMessage::default() });
    }
    if text.starts_with(KIND) {
        let quota = Some(UsageReport::decode(text)?);
        return Some(PeerMessage { quota, ..PeerMessage::default() });
    }
    let mut words = text.split(' ').filter(|_| text.len() <= MESSAGE_BYTES);
    let answer = match words.next()? {
        SAMPLE => false,
        ANSWER => true,
        _ => return None,
    };
    let count = |n: &str| u32::from_str_radix(n, 16).ok().map(|n| f64::from(n) / 10.0);
    let total = count(words.next()?)?;
    let mut sizes = Vec::new();
    for word in words.take(PeerMessage::MOST) {
        let (group, n) = word.split_once(':')?;
        sizes.push((u32::from_str_radix(group, 16).ok()?, count(n)?));
    }
    Some(PeerMessage { merged: answer, total, group_sizes: sizes, ..PeerMessage::default() })
}

pub(crate) fn message_text(message: &PeerMessage) -> String {
    if let Some(piece) = &message.cluster {
        // No piece is made that does not fit; an empty text reads as no message.
        return piece.text().unwrap_or_default();
    }
    if let Some(told) = &message.quota {
        return told.encode().unwrap_or_default();
    }
    let count = |n: f64| (n * 10.0).round() as u32;
    let kind = if message.merged { ANSWER } else { SAMPLE };
    let mut text = format!("{kind} {:x}", count(message.total));
    for (group, n) in &message.group_sizes {
        let word = format!(" {group:x}:{:x}", count(*n));
        if text.len() + word.len() <= MESSAGE_BYTES {
            text.push_str(&word);
        }
    }
    text
}

fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map(Vec::as_slice).unwrap_or_default()
}

fn string(value: &Value, key: &str) -> String {
    value[key].as_str().unwrap_or_default().to_owned()
}

/// Names of the settings' classes, by position.
pub(crate) fn class_names(boot: &Value) -> Vec<String> {
    list(boot, "lanes").iter().map(|c| string(c, "name")).collect()
}

pub(crate) fn tenant_names(boot: &Value) -> Vec<String> {
    list(boot, "realms").iter().map(|t| string(t, "name")).collect()
}

/// A fault of the settings.
#[derive(Debug, PartialEq, Error)]
#[error("{key} {fault}")]
pub struct SettingError {
    /// The path of the key.
    pub key: String,
    /// The reason.
    pub fault: SettingFault,
}

/// What can be wrong with a value of the settings.
#[derive(Debug, PartialEq, Error)]
pub enum SettingFault {
    /// A value where a table is read.
    #[error("must be an object")]
    NotObject,
    /// A value where a list is read.
    #[error("{0} is no list")]
    NotList(Value),
    /// No number, or one that the load balancer can't work with.
    #[error("{value} is no number from {least} to {most}")]
    Number {
        /// What stands there.
        value: Value,
        /// The least that it may be.
        least: f64,
        /// The most that it may be.
        most: f64,
    },
    /// A part of what can't be parted.
    #[error("{0} is no whole number")]
    Whole(f64),
    /// A limit that would break a rule in silence.
    #[error("must be a number from 0 up")]
    FromZero,
    /// Neither of two values.
    #[error("{0} is neither true nor false")]
    Truth(Value),
    /// None of some words.
    #[error("{value} is none of {words}")]
    Word {
        /// What stands there.
        value: Value,
        /// What may stand there.
        words: String,
    },
    /// A class whose repeats are dropped for nobody knows how long.
    #[error("is missing, and the class is keyed")]
    NoWindow,
    /// Members that can't be told apart.
    #[error("members: {0}")]
    Tenants(sandgw_quota::tenants::TenantsError),
}

help!(SettingFault {
    NotObject: "must be an object" => "write it as a table of keys",
    NotList: "is no list" => "put the values in [ ]",
    Number: "is no number from" => "choose a number in that range, without quotes",
    Whole: "is no whole number" => "choose a whole number",
    FromZero: "must be a number from 0 up" => "choose such a number; without the key the limit is 0, without \
        rules.resendSpanMs there is none",
    Truth: "is neither true nor false" => "write true or false, without quotes",
    Word: "is none of" => "choose one of these words, in quotes",
    Tenants: "members:" => "give each member one entry with a name of its own; shares are counted for 200 at the most",
    NoWindow: "is missing, and the class is keyed" => "say for how long repeats are dropped, or make the class unsafe",
});

/// No span of the settings is longer.
const LONGEST: Millis = 3_600_000.0;

/// Reads values of the settings; what is wrong goes to the faults and reads as absent. A figure misread, or one
/// that the load balancer can't work with, would break a rule in silence or stop the relay much later.
#[derive(Default)]
struct Checked {
    faults: Vec<SettingError>,
}

impl Checked {
    fn fault(&mut self, path: &str, key: &str, fault: SettingFault) {
        self.faults.push(SettingError { key: format!("{path}{key}"), fault });
    }

    fn number(&mut self, of: &Value, path: &str, key: &str, absent: f64, (least, most): (f64, f64)) -> f64 {
        self.figure(&of[key], path, key, absent, (least, most))
    }

    fn figure(
        &mut self,
        value: &Value,
        path: &str,
        key: &str,
        absent: f64,
        (least, most): (f64, f64),
    ) -> f64 {
        let number = value.as_f64().filter(|n| (least..=most).contains(n));
        if number.is_none() && !value.is_null() {
            self.fault(path, key, SettingFault::Number { value: value.clone(), least, most });
        }
        number.unwrap_or(absent)
    }

    fn whole(&mut self, of: &Value, path: &str, key: &str, absent: u32, (least, most): (u32, u32)) -> u32 {
        let number = self.number(of, path, key, absent.into(), (least.into(), most.into()));
        if number.fract() != 0.0 {
            self.fault(path, key, SettingFault::Whole(number));
        }
        number as u32
    }

    fn truth(&mut self, of: &Value, path: &str, key: &str) -> bool {
        if !of[key].is_null() && !of[key].is_boolean() {
            self.fault(path, key, SettingFault::Truth(of[key].clone()));
        }
        of[key].as_bool().unwrap_or(false)
    }

    /// One of so many words, by its place.
    fn word(&mut self, of: &Value, path: &str, key: &str, words: &[&str]) -> Option<usize> {
        let known = of[key].as_str().and_then(|text| words.iter().position(|w| *w == text));
        if known.is_none() && !of[key].is_null() {
            let fault = SettingFault::Word { value: of[key].clone(), words: words.join(", ") };
            self.fault(path, key, fault);
        }
        known
    }

    /// Members and their shares. A figure that is missing is no limit, and so is a rate of nothing: what is stated in
    /// whole numbers reads so for a member that is small.
    fn quotas(&mut self, boot: &Value, absent: QuotaSettings) -> QuotaSettings {
        let connections = &boot["domain"]["tenantQuotaConnections"];
        let realms = list(boot, "realms");
        if !connections.is_null() && !connections.is_array() {
            self.fault("domain.", "tenantQuotaConnections", SettingFault::NotList(connections.clone()));
        }
        let quota = |n: f64| n.is_finite().then_some(n);
        let mut member = |(i, realm): (usize, &Value)| {
            let path = format!("realms[{i}].");
            let of = (0.0, 1e9);
            let per_s = self.number(realm, &path, "quotaPerS", f64::INFINITY, of);
            self.number(realm, &path, "fraction", 0.0, (0.0, 1.0));
            let name = format!("tenantQuotaConnections[{i}]");
            let open = self.figure(&connections[i], "domain.", &name, f64::INFINITY, of);
            let per_s = quota(per_s).filter(|n| *n > 0.0);
            Tenant { name: string(realm, "name"), connections: quota(open), per_s }
        };
        let named: Vec<_> = realms.iter().enumerate().map(&mut member).collect();
        let members = Tenants::new(named).unwrap_or_else(|e| {
            self.fault("", "realms", SettingFault::Tenants(e));
            Tenants::default()
        });
        let over_quota_weight = self.number(boot, "", "overShareWorth", 0.0, (0.0, 1e9));
        QuotaSettings { members, over_quota_weight, ..absent }
    }

    fn class(&mut self, boot: &Value, i: usize, lane: &Value) -> Class {
        let path = format!("lanes[{i}].");
        let repeat = match self.word(lane, &path, "semantics", &["safe", "keyed", "unsafe"]) {
            Some(0) => Idempotency::Safe,
            Some(1) => Idempotency::Keyed {
                scope: match self.word(lane, &path, "group", &["all", "zone", "cell"]) {
                    Some(0) => DeduplicationScope::All,
                    Some(1) => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Cell,
                },
                window: {
                    if lane["windowMs"].is_null() {
                        self.fault(&path, "windowMs", SettingFault::NoWindow);
                    }
                    self.number(lane, &path, "windowMs", 0.0, (0.0, LONGEST))
                },
            },
            _ => Idempotency::Unsafe,
        };
        let limit = self.number(lane, &path, "hardLimitMs", 1000.0, (1.0, LONGEST));
        let latency_objective = list(&boot["domain"], "messageAimMs")
            .get(i)
            .filter(|latency_objective| !latency_objective.is_null());
        let message_latency_objective = latency_objective.map(|latency_objective| {
            self.figure(latency_objective, "domain.", "messageAimMs", 1000.0, (1.0, LONGEST))
        });
        Class {
            idempotency: repeat,
            latency_objective: self.number(lane, &path, "aimMs", limit, (1.0, LONGEST)),
            message_latency_objective,
            priority_weight: self.number(lane, &path, "worth", 1.0, (0.0, 1e9)),
        }
    }
}

/// Reads the settings; the relay on sockets is given them in the same shape. All faults are told.
pub(crate) fn settings(boot: &Value) -> Result<Settings, Vec<SettingError>> {
    if !boot.is_object() {
        return Err(vec![SettingError { key: "the settings".into(), fault: SettingFault::NotObject }]);
    }
    let d = Settings::default();
    let mut read = Checked::default();
    for table in ["limits", "rules", "domain"] {
        if !boot[table].is_null() && !boot[table].is_object() {
            read.fault("", table, SettingFault::NotObject);
        }
    }
    let aims = &boot["domain"]["messageAimMs"];
    if !aims.is_null() && !aims.is_array() {
        read.fault("domain.", "messageAimMs", SettingFault::NotList(aims.clone()));
    }
    let (limits, rules) = (&boot["limits"], &boot["rules"]);
    let lanes = list(boot, "lanes").iter().enumerate();
    let classes = lanes.map(|(i, lane)| read.class(boot, i, lane)).collect();
    let budget = budget(rules).unwrap_or_else(|fault| {
        read.faults.push(fault);
        None
    });
    let discovery = match read.word(boot, "", "discovery", &["on_request", "pushed"]) {
        Some(0) => Discovery::OnRequest,
        _ => Discovery::Pushed,
    };
    let relay_count = read.whole(boot, "", "nInstances", 1, (1, 65_536));
    let retry_after = read.truth(limits, "limits.", "retryAfter");
    let max_retry_after = read.number(limits, "limits.", "maxRetryAfterMs", 0.0, (0.0, LONGEST));
    let settings = Settings {
        classes,
        discovery,
        relay_count,
        local_index: read.whole(boot, "", "me", 0, (0, relay_count - 1)),
        peer_messages: read.truth(limits, "limits.", "peerMessages"),
        packet_passthrough: boot["domain"]["mode"].as_str() == Some("pass"),
        max_attempts: read.whole(limits, "limits.", "maxAttempts", d.max_attempts, (1, 1000)),
        // What waits for an endpoint waits so long between two looks: nothing would never end.
        connect_timeout: read.number(
            limits,
            "limits.",
            "connectTimeoutMs",
            d.connect_timeout,
            (1.0, 60_000.0),
        ),
        resolution: read.number(boot, "", "resolutionMs", d.resolution, (0.0, 1000.0)),
        max_retry_after: retry_after.then_some(max_retry_after),
        list_max_age: read.number(rules, "rules.", "askEveryMs", d.list_max_age, (100.0, LONGEST)),
        cold_capacity_fraction: read.number(
            rules,
            "rules.",
            "coldFrom",
            d.cold_capacity_fraction,
            (0.0, 1.0),
        ),
        warm_up_time: read.number(rules, "rules.", "warmWithinMs", d.warm_up_time, (0.0, LONGEST)),
        overload_multiple: read.number(rules, "rules.", "tipMultiple", d.overload_multiple, (0.01, 1e6)),
        retry_budget: budget,
        affinity_limits: d.affinity_limits,
        quotas: read.quotas(boot, d.quotas),
    };
    if read.faults.is_empty() { Ok(settings) } else { Err(read.faults) }
}

/// The budget of further attempts; none where its window is not stated.
fn budget(rules: &Value) -> Result<Option<RetryBudget>, SettingError> {
    // A limit misread would break a rule in silence: nothing but a number from 0 up will do.
    let number = |key: &str| match &rules[key] {
        Value::Null => Ok(None),
        value => {
            let number = value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
            let wrong = || SettingError { key: format!("rules.{key}"), fault: SettingFault::FromZero };
            number.map(Some).ok_or_else(wrong)
        }
    };
    let (free, share) = (number("spareAttempts")?, number("furtherRatio")?);
    let (free, share) = (free.unwrap_or(0.0), share.unwrap_or(0.0));
    Ok(number("resendSpanMs")?.map(|window| RetryBudget { window, min_retries: free, retry_ratio: share }))
}

fn encode(who: &str, action: Action) -> Value {
    match action {
        Action::StartAttempt { request, endpoint, until, .. } => {
            json!(["DELIVER", who, request.0, &*endpoint.0, until])
        }
        Action::Reject { request, retry_after } => json!(["NOT_NOW", who, request.0, retry_after]),
        Action::Fail(request) => json!(["FAIL", who, request.0]),
        Action::Migrate(request) => json!(["MOVE", who, request.0]),
        Action::SetTimer { after, token } => json!(["ARM", who, after, token]),
        Action::SendToPeer { peer, message } => json!(["MEMO_TO", who, peer, message_text(&message)]),
        Action::Subscribe => json!(["TAIL", who, true]),
    }
}
