//! The load balancer's interface: settings, events and actions, in the field's terms.
//!
//! Times are milliseconds on a monotonic clock of arbitrary origin. Ids are opaque: the policy
//! compares and hashes them, and reads nothing else from them.

use std::borrow::Cow;
use std::sync::Arc;

use sandgw_affinity::Limits;
pub use sandgw_affinity::codec::ClusterMessage;
use sandgw_quota::tenants::Tenants;
pub use sandgw_quota::usage_gossip::UsageReport;

pub use sandgw_units::Millis;

/// One request (or connection); a client's retry carries a fresh one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// One server; stays the same when its process restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub Arc<str>);

/// A client key or a group key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub Arc<str>);

/// Position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Number of an attempt of one request, from 0, in the order of its sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// A zone, by its name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub Arc<str>);

/// Which servers drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Repeating is harmless.
    Safe,
    /// Repeats are dropped within a group of servers for a while.
    Keyed {
        /// The servers that share what they have seen.
        scope: DeduplicationScope,
        /// How long they remember, from the first send that may have run.
        window: Millis,
    },
    /// A repeat may act twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its effect when repeated.
    pub idempotency: Idempotency,
    /// Wanted set-up time.
    pub latency_objective: Millis,
    /// Wanted time of a message on an open connection.
    pub message_latency_objective: Option<Millis>,
    /// Worth of one request.
    pub priority_weight: f64,
}

/// How the server list reaches this balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    Pushed,
    /// Only after [`Action::Subscribe`].
    OnRequest,
}

/// Limit on one balancer's attempts beyond each request's first, in any window of a length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Length of the window.
    pub window: Millis,
    /// Attempts allowed however few requests came.
    pub min_retries: f64,
    /// Attempts allowed besides for each request taken in the window.
    pub retry_ratio: f64,
}

/// Settings, given at the start and anew in [`Event::Settings`].
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes by position.
    pub classes: Vec<Class>,
    /// How the server list arrives.
    pub discovery: Discovery,
    /// Balancers that serve the same servers, this one included.
    pub relay_count: u32,
    /// Number of this one among them, from 0.
    pub local_index: u32,
    /// Whether balancers may send each other messages.
    pub peer_messages: bool,
    /// Packets pass through: when the set of balancers changes, open connections arrive at another one.
    pub packet_passthrough: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// A connection not established by then has failed.
    pub connect_timeout: Millis,
    /// Least spacing of this balancer's clock readings.
    pub resolution: Millis,
    /// Most that a client heeds of a retry hint; `None` where hints do not reach it.
    pub max_retry_after: Option<Millis>,
    /// An unwatched list older than this counts as known to be stale.
    pub list_max_age: Millis,
    /// Share of its capacity that a starting server has at the least.
    pub cold_capacity_fraction: f64,
    /// A server is warm after this long at the latest.
    pub warm_up_time: Millis,
    /// A cold server falls over when sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// RetryBudget of further attempts; `None` where none is stated.
    pub retry_budget: Option<RetryBudget>,
    /// What the tables of clients and groups may take up; relays and their numbers are those above.
    pub affinity_limits: Limits,
    /// Members' shares of the tier, and whether they are kept to.
    pub quotas: QuotaSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            discovery: Discovery::Pushed,
            relay_count: 1,
            local_index: 0,
            peer_messages: false,
            packet_passthrough: false,
            max_attempts: 3,
            connect_timeout: 250.0,
            resolution: 1.0,
            max_retry_after: None,
            list_max_age: 10_000.0,
            cold_capacity_fraction: 0.1,
            warm_up_time: 20_000.0,
            overload_multiple: 2.0,
            retry_budget: None,
            affinity_limits: Limits::default(),
            quotas: QuotaSettings::default(),
        }
    }
}

/// Whether shares are kept to where no file of an operator says so. Nothing is counted or told where they
/// are not.
const ENFORCED: bool = false;

/// Members' shares in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Who has a share.
    pub members: Tenants,
    /// What a connection beyond its member's share is worth, as a part of what it is worth within.
    pub over_quota_weight: f64,
    /// Whether who is over its share is refused first where places are short.
    pub enforce: bool,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings { members: Tenants::default(), over_quota_weight: 0.0, enforce: ENFORCED }
    }
}

impl QuotaSettings {
    /// Whether any member has a limit.
    pub fn has_limits(&self) -> bool {
        let all = (0..self.members.len()).filter_map(|at| self.members.get(at));
        all.into_iter().any(|m| m.connections.is_some() || m.per_s.is_some())
    }
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Completes work, takes nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The server.
    pub id: EndpointId,
    /// Its state.
    pub state: EndpointState,
    /// Listed size, comparable across servers.
    pub weight: f64,
    /// When its process last started; 0 when long past.
    pub started: Millis,
    /// Its zone.
    pub zone: Zone,
    /// Its cell: the small set of servers that share the keys they have seen.
    pub cell: u64,
}

/// What a message about the list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last held, possibly stale.
    Cached,
    /// A call failed or the subscription dropped; nothing is said of the servers.
    Failed,
    /// Some entries as another balancer's word has them; no call was answered.
    Gossip,
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class; `None` when the settings do not name it.
    pub class: Option<ClassId>,
    /// Its client key.
    pub client: Option<Key>,
    /// The key of its group of connections.
    pub group: Option<Key>,
    /// When the client gives up.
    pub deadline: Millis,
    /// How much of the wanted set-up time was used before the request could be read.
    pub setup_time_used: Millis,
    /// Expected load, in work (ms) a second.
    pub load: Option<f64>,
    /// Packets of an open connection that now arrive here.
    pub mid_flow: bool,
    /// The client was here before: it retries, or comes again after a break or a move.
    pub returned: bool,
    /// A server that drains sends it away by itself.
    pub drained_by_endpoint: bool,
}

impl Request {
    /// The client key, or the request's own id where it carries none.
    pub fn client_key(&self) -> Cow<'_, [u8]> {
        match &self.client {
            Some(key) => Cow::Borrowed(key.0.as_bytes()),
            None => Cow::Owned(self.id.0.to_le_bytes().to_vec()),
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error; possibly ran.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No reply in time; possibly ran.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection dropped; possibly ran.
    Reset,
    /// Cancelled; possibly ran.
    Cancelled,
    /// Not sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome leaves open that the attempt had an effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// News about an established connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measurement {
    /// Its load now, in work (ms) a second.
    Load(f64),
    /// How long a message takes at its server now.
    MessageDelay(Millis),
}

/// What balancers tell each other: how many connections of each group have arrived lately, largest first.
/// Any of them may be lost, late, repeated or from a sender that has restarted since.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerMessage {
    /// The sum over all balancers that the sender has heard of, in answer to one's own sample.
    pub merged: bool,
    /// Arrivals of all groups.
    pub total: f64,
    /// Slot of the group's key in the table, and its arrivals.
    pub group_sizes: Vec<(u32, f64)>,
    /// In place of all that, what the balancers' tables of clients and groups tell each other.
    pub cluster: Option<ClusterMessage>,
    /// In place of all that, members' use of the tier. It is for the core, not for the load balancer.
    pub quota: Option<UsageReport>,
}

impl PeerMessage {
    /// Most groups in one message.
    pub const MAX_GROUPS: usize = 24;
}

/// What a balancer is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// New settings are in force, whole. A class that a request holds is the same at its position as before.
    Settings(Box<Settings>),
    /// News of the server list.
    List {
        /// What `endpoints` contains.
        kind: ListKind,
        /// The entries.
        endpoints: Vec<EndpointEntry>,
    },
    /// A request arrived.
    Request(Request),
    /// A connection that was already routed through here at the start.
    ExistingConnection {
        /// The request behind it; its attempt 0 counts as made.
        request: Request,
        /// The server that holds it.
        endpoint: EndpointId,
    },
    /// An attempt's connection stands.
    Established {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Time since its send.
        elapsed: Millis,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Its server.
        endpoint: EndpointId,
        /// How.
        outcome: Outcome,
        /// The request is finished.
        finished: bool,
    },
    /// The client left, nothing more is owed.
    ClientGone(RequestId),
    /// News about an established connection.
    Measured {
        /// The request.
        request: RequestId,
        /// The news.
        measurement: Measurement,
    },
    /// A message from another balancer.
    PeerMessage {
        /// Its number.
        peer: u32,
        /// The message.
        message: PeerMessage,
    },
    /// A timer set by [`Action::SetTimer`] is due.
    Timer(u64),
}

/// What a balancer does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// When to give the attempt up.
        until: Millis,
        /// Before when it has to begin: a connection may take its time to come up.
        begin_by: Millis,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client ought to wait.
        retry_after: Option<Millis>,
    },
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// Ask the client of an open connection to come again.
    Migrate(RequestId),
    /// Ask for [`Event::Timer`].
    SetTimer {
        /// From now.
        after: Millis,
        /// Comes back with the event.
        token: u64,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// Send a message to another balancer, where [`Settings::peer_messages`] allows it.
    SendToPeer {
        /// Its number.
        peer: u32,
        /// The message.
        message: PeerMessage,
    },
}

/// Actions in the order in which they are to be carried out.
pub type Actions = Vec<Action>;
