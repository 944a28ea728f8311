//! Admits connections by descriptors: every connection's are counted before they are opened.
//!
//! A client that has not sent its request holds one descriptor, an admitted connection two: the client's
//! and the endpoint's. Since anybody can connect without sending anything, clients without a request get
//! only what is left. When nothing is, the one that is least likely to send its request soon is evicted:
//! recent progress counts, not age. A descriptor is opened only once that of the evicted client is closed,
//! however many need one at the same time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

/// Descriptors of the program itself: standard streams (3), poller, waker and signals (4), listeners (2),
/// datagrams (2), discovery's call, a file that is read, one accepted client for each listener (2), the
/// operators' address with a reserve (2) and its callers ([`MAX_OPERATOR_CALLERS`]), and some for what is
/// being closed.
const PROCESS_DESCRIPTORS: usize = 32;
/// Clients that are accepted however many descriptors another process of this relay holds. Without them
/// nobody could even be rejected.
const MIN_CLIENTS: usize = 8;
/// What a process that can hand over holds besides: the socket that it is found by, a link to the other
/// process, the sockets that are handed over (4), and some in transfer.
pub const HANDOVER_DESCRIPTORS: usize = 8;
/// Most callers of the operators' address at a time.
pub const MAX_OPERATOR_CALLERS: usize = 8;
/// One part in so many is never given to admitted connections: a new client has to be read before it can be
/// rejected.
const HANDSHAKE_RESERVE_DIVISOR: usize = 8;
/// Descriptors are short when less than one part in so many is left for connections.
const SHORTAGE_DIVISOR: usize = 8;
/// A client that has connected or sent bytes within this time has most likely the rest of its request on
/// its way.
const RECENT_ACTIVITY: Duration = Duration::from_millis(100);

/// How far a client has come with its request.
#[derive(Clone, Copy)]
struct Progress {
    /// It has sent a part of its request.
    has_begun: bool,
    /// When it connected, or last sent bytes.
    last_activity: Instant,
}

/// Where a client comes in the order of eviction: by these fields, the lowest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionOrder {
    is_recent: bool,
    has_begun: bool,
    last_activity: Instant,
}

impl Progress {
    fn now(has_begun: bool) -> Self {
        Progress { has_begun, last_activity: Instant::now() }
    }

    /// First those that have sent nothing, then those that are stalled, each by how long they have been
    /// inactive; recent ones come last.
    fn eviction_order(&self, now: Instant) -> EvictionOrder {
        EvictionOrder {
            is_recent: !self.has_begun && now - self.last_activity < RECENT_ACTIVITY,
            has_begun: self.has_begun,
            last_activity: self.last_activity,
        }
    }
}

/// A client that can be evicted: it has no request, or its reply.
struct IdleClient {
    progress: Progress,
    eviction: Rc<Notify>,
}

/// Counts descriptors.
pub struct Admission {
    /// What the process may hold besides [`PROCESS_DESCRIPTORS`].
    capacity: usize,
    /// What another process of this relay holds of the capacity.
    other_process: Cell<usize>,
    used: Cell<usize>,
    /// Clients that were accepted and wait for a permit.
    waiting: Cell<usize>,
    /// Connections with a descriptor for their endpoint.
    connections: Cell<usize>,
    next_id: Cell<u64>,
    idle: RefCell<BTreeMap<u64, IdleClient>>,
    /// Clients that were evicted and are not closed yet.
    evicting: Cell<usize>,
    /// Notified for each descriptor that is released.
    released: Notify,
    /// Notified when a connection that waits for its second descriptor may get it, or never will.
    upstream_changed: Notify,
}

impl Admission {
    /// For a process that may hold so many descriptors, and needs `reserved` besides what every process does.
    pub fn new(descriptors: usize, reserved: usize) -> Rc<Self> {
        let capacity = descriptors.saturating_sub(PROCESS_DESCRIPTORS + reserved).max(PROCESS_DESCRIPTORS);
        Rc::new(Admission {
            capacity,
            other_process: Cell::new(0),
            used: Cell::new(0),
            waiting: Cell::new(0),
            connections: Cell::new(0),
            next_id: Cell::new(0),
            idle: RefCell::default(),
            evicting: Cell::new(0),
            released: Notify::new(),
            upstream_changed: Notify::new(),
        })
    }

    /// Takes note of what another process of this relay holds: the two have one limit.
    pub fn set_other_process(&self, descriptors: usize) {
        if self.other_process.replace(descriptors) > descriptors {
            self.released.notify_waiters();
            self.upstream_changed.notify_waiters();
        }
    }

    /// What this process holds, with its own descriptors.
    pub fn descriptors_in_use(&self) -> usize {
        self.used.get() + PROCESS_DESCRIPTORS
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.used.get() == 0 && self.waiting.get() == 0
    }

    fn limit(&self) -> usize {
        self.capacity.saturating_sub(self.other_process.get()).max(MIN_CLIENTS)
    }

    /// Connections that there are descriptors for.
    fn max_connections(&self) -> usize {
        (self.limit() - self.limit() / HANDSHAKE_RESERVE_DIVISOR) / 2
    }

    fn take_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// A permit for a client that was just accepted, once there is one.
    pub async fn acquire(self: &Rc<Self>) -> DescriptorPermit {
        self.waiting.set(self.waiting.get() + 1);
        while self.used.get() >= self.limit() {
            // Connections leave room for clients, so there is one to evict, or one that is being closed.
            self.evict_idle();
            self.released.notified().await;
        }
        self.waiting.set(self.waiting.get() - 1);
        self.used.set(self.used.get() + 1);
        let permit = DescriptorPermit {
            admission: self.clone(),
            id: self.take_id(),
            has_upstream: Cell::new(false),
            eviction: Rc::default(),
        };
        permit.become_idle();
        permit
    }

    /// A permit for a connection that another process of this relay has transferred, with its two
    /// descriptors.
    pub fn adopt(self: &Rc<Self>) -> DescriptorPermit {
        self.other_process.set(self.other_process.get().saturating_sub(2));
        self.used.set(self.used.get() + 2);
        self.connections.set(self.connections.get() + 1);
        DescriptorPermit {
            admission: self.clone(),
            id: self.take_id(),
            has_upstream: Cell::new(true),
            eviction: Rc::default(),
        }
    }

    /// Evicts the idle client that comes first in the order, if there is any.
    pub fn evict_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        let first = idle.iter().min_by_key(|(_, client)| client.progress.eviction_order(now));
        let first = first.map(|(id, _)| *id);
        if let Some(client) = first.and_then(|id| idle.remove(&id)) {
            self.evicting.set(self.evicting.get() + 1);
            client.eviction.notify_one();
        }
    }

    /// Waits until no more is used than the limit allows; whether that can be reached.
    async fn wait_within_limit(&self) -> bool {
        while self.used.get() > self.limit() {
            if self.used.get() - self.evicting.get() > self.limit() {
                self.evict_idle();
            }
            if self.evicting.get() == 0 {
                return false;
            }
            // An evicted client is closed at once.
            self.upstream_changed.notified().await;
        }
        true
    }

    fn release(&self, count: usize) {
        self.used.set(self.used.get() - count);
        self.released.notify_one();
        // Before that nothing has changed for those that wait.
        if self.used.get() <= self.limit() || self.evicting.get() == 0 {
            self.upstream_changed.notify_waiters();
        }
    }
}

/// One connection's descriptors; released when dropped.
pub struct DescriptorPermit {
    admission: Rc<Admission>,
    id: u64,
    has_upstream: Cell<bool>,
    eviction: Rc<Notify>,
}

impl DescriptorPermit {
    /// What is notified when this connection is to be closed for another. It never is while it has an
    /// upstream descriptor.
    pub fn eviction(&self) -> Rc<Notify> {
        self.eviction.clone()
    }

    /// The client has sent bytes; whether a part of its request is among them.
    pub fn record_activity(&self, has_begun: bool) {
        let mut idle = self.admission.idle.borrow_mut();
        idle.entry(self.id).and_modify(|client| client.progress = Progress::now(has_begun));
    }

    /// Requests a descriptor for the connection's endpoint; whether it gets one, which is free once this
    /// returns.
    pub async fn acquire_upstream(&self) -> bool {
        let admission = &self.admission;
        let max_connections = admission.max_connections();
        // One that was evicted is about to be closed.
        if admission.connections.get() >= max_connections
            || admission.idle.borrow_mut().remove(&self.id).is_none()
        {
            return false;
        }
        self.has_upstream.set(true);
        admission.connections.set(admission.connections.get() + 1);
        admission.used.set(admission.used.get() + 1);
        if admission.wait_within_limit().await {
            return true;
        }
        // Another process of this relay holds what was left.
        self.release_upstream();
        false
    }

    /// Whether hardly another connection would get a descriptor.
    pub fn is_short(&self) -> bool {
        let max_connections = self.admission.max_connections();
        self.admission.connections.get() * SHORTAGE_DIVISOR > max_connections * (SHORTAGE_DIVISOR - 1)
    }

    /// The upstream connection has ended; the client's last reply is still to be written.
    pub fn release_upstream(&self) {
        if self.has_upstream.replace(false) {
            let admission = &self.admission;
            admission.connections.set(admission.connections.get() - 1);
            admission.release(1);
            self.become_idle();
        }
    }

    fn become_idle(&self) {
        let client = IdleClient { progress: Progress::now(false), eviction: self.eviction.clone() };
        self.admission.idle.borrow_mut().insert(self.id, client);
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.release_upstream();
        let admission = &self.admission;
        if admission.idle.borrow_mut().remove(&self.id).is_none() {
            admission.evicting.set(admission.evicting.get() - 1);
        }
        admission.release(1);
    }
}
