//! Admits connections by file descriptors, which are counted before they are opened.
//!
//! A client that has not sent its request holds one descriptor, an admitted connection two: the client's
//! and the endpoint's. Since anybody can connect without sending anything, clients without a request get
//! only the descriptors that admitted connections leave. When none is left, the client that is least likely
//! to send its request soon is evicted; what counts is its recent progress, not how long it has been
//! connected. A new descriptor is opened only once that of the evicted client is closed, however many
//! connections need one at the same time.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

/// Descriptors that the process itself needs: standard streams (3), poller, waker and signals (4), listeners
/// (2), datagram sockets (2), connections to discovery (2), a file that is being read, one accepted client for each
/// listener (2), the operators' listener with a reserve descriptor (2) and its callers
/// ([`MAX_OPERATOR_CALLERS`]), and some for descriptors that are being closed.
const PROCESS_DESCRIPTORS: usize = 32;
/// Number of clients that are accepted however many descriptors another process of this relay holds. Without
/// them the relay could not even reject a client.
const MIN_CLIENTS: usize = 8;
/// Further descriptors of a process that can hand over: the socket at which the other process finds it, the
/// link to that process, the sockets that are handed over (4), and some for connections in transfer.
pub const HANDOVER_DESCRIPTORS: usize = 8;
/// Most callers that the operators' listener serves at a time.
pub const MAX_OPERATOR_CALLERS: usize = 8;
/// One in this many descriptors is never given to admitted connections, since the relay has to read from a
/// new client before it can reject the client.
const HANDSHAKE_RESERVE_DIVISOR: usize = 8;
/// Descriptors are short when less than one in this many is left for further connections.
const SHORTAGE_DIVISOR: usize = 8;
/// If a client has connected or sent bytes within this time, the rest of its request is most likely on its
/// way.
const RECENT_ACTIVITY: Duration = Duration::from_millis(100);

/// A client's progress in sending its request.
#[derive(Clone, Copy)]
struct RequestProgress {
    /// The client has sent a part of its request.
    has_begun: bool,
    /// When the client connected or last sent bytes.
    last_activity: Instant,
}

/// A client's place in the order of eviction. The fields are compared in this order, and the client with the
/// lowest place is evicted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionOrder {
    is_recent: bool,
    has_begun: bool,
    last_activity: Instant,
}

impl RequestProgress {
    fn now(has_begun: bool) -> Self {
        RequestProgress { has_begun, last_activity: Instant::now() }
    }

    /// Clients that have sent no part of their request and show no recent activity are evicted first, then
    /// clients that are stalled within their request; in both groups the longest inactive first. Clients with
    /// recent activity that have sent no part of their request come last.
    fn eviction_order(&self, now: Instant) -> EvictionOrder {
        EvictionOrder {
            is_recent: !self.has_begun && now - self.last_activity < RECENT_ACTIVITY,
            has_begun: self.has_begun,
            last_activity: self.last_activity,
        }
    }
}

/// A client that can be evicted: it has not sent its whole request yet, or its upstream connection is closed.
struct IdleClient {
    progress: RequestProgress,
    eviction: Rc<Notify>,
}

/// Counts the descriptors of connections, and evicts clients when there are too few.
pub struct Admission {
    /// How many descriptors the process may hold besides [`PROCESS_DESCRIPTORS`].
    capacity: usize,
    /// How many descriptors of the capacity another process of this relay holds.
    other_process: Cell<usize>,
    used: Cell<usize>,
    /// Number of clients that were accepted and wait for a permit.
    waiting: Cell<usize>,
    /// Number of connections that hold a descriptor for their endpoint.
    connections: Cell<usize>,
    next_id: Cell<u64>,
    idle: RefCell<BTreeMap<u64, IdleClient>>,
    /// Number of clients that were evicted and are not closed yet.
    evicting: Cell<usize>,
    /// Notified for each descriptor that is released, to wake a client that waits for a permit.
    released: Notify,
    /// Wakes the connections that wait for their upstream descriptor, when they may get it now or can never
    /// get it.
    upstream_changed: Notify,
}

impl Admission {
    /// The admission of a process that may hold `descriptors` in all, and needs `reserved` of them besides
    /// [`PROCESS_DESCRIPTORS`].
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

    /// Records how many descriptors another process of this relay holds, since both processes share one
    /// limit.
    pub fn set_other_process_descriptors(&self, descriptors: usize) {
        if self.other_process.replace(descriptors) > descriptors {
            self.released.notify_waiters();
            self.upstream_changed.notify_waiters();
        }
    }

    /// How many descriptors this process holds, with [`PROCESS_DESCRIPTORS`].
    pub fn descriptors_in_use(&self) -> usize {
        self.used.get() + PROCESS_DESCRIPTORS
    }

    /// Whether no client is connected or waits for a permit.
    pub fn is_empty(&self) -> bool {
        self.used.get() == 0 && self.waiting.get() == 0
    }

    fn limit(&self) -> usize {
        self.capacity.saturating_sub(self.other_process.get()).max(MIN_CLIENTS)
    }

    /// How many connections can hold two descriptors each at the same time.
    fn max_connections(&self) -> usize {
        (self.limit() - self.limit() / HANDSHAKE_RESERVE_DIVISOR) / 2
    }

    fn allocate_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// Waits until a client that was just accepted may hold a descriptor, and returns its permit.
    pub async fn acquire(self: &Rc<Self>) -> DescriptorPermit {
        self.waiting.set(self.waiting.get() + 1);
        while self.used.get() >= self.limit() {
            // Admitted connections never use all descriptors, so there is a client that can be evicted or a
            // client that is being closed.
            self.evict_idle();
            self.released.notified().await;
        }
        self.waiting.set(self.waiting.get() - 1);
        self.used.set(self.used.get() + 1);
        let permit = DescriptorPermit {
            admission: self.clone(),
            id: self.allocate_id(),
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
            id: self.allocate_id(),
            has_upstream: Cell::new(true),
            eviction: Rc::default(),
        }
    }

    /// Evicts the idle client that comes first in the order of eviction, if there is any.
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

    /// Waits until no more descriptors are in use than the limit allows. Returns false if evictions can't
    /// achieve that.
    async fn wait_within_limit(&self) -> bool {
        while self.used.get() > self.limit() {
            if self.used.get() - self.evicting.get() > self.limit() {
                self.evict_idle();
            }
            if self.evicting.get() == 0 {
                return false;
            }
            // An evicted client is closed without delay, so this wait is short.
            self.upstream_changed.notified().await;
        }
        true
    }

    fn release(&self, count: usize) {
        self.used.set(self.used.get() - count);
        self.released.notify_one();
        // Otherwise the connections that wait for an upstream descriptor would only wait again.
        if self.used.get() <= self.limit() || self.evicting.get() == 0 {
            self.upstream_changed.notify_waiters();
        }
    }
}

/// The right of one connection to hold its descriptors; they are released when the permit is dropped.
pub struct DescriptorPermit {
    admission: Rc<Admission>,
    id: u64,
    has_upstream: Cell<bool>,
    eviction: Rc<Notify>,
}

impl DescriptorPermit {
    /// The notification that this connection is evicted and has to close. No connection is evicted while it
    /// holds an upstream descriptor.
    pub fn eviction(&self) -> Rc<Notify> {
        self.eviction.clone()
    }

    /// Records that the client has sent bytes; `has_begun` says whether a part of its request is among them.
    pub fn record_activity(&self, has_begun: bool) {
        let mut idle = self.admission.idle.borrow_mut();
        idle.entry(self.id).and_modify(|client| client.progress = RequestProgress::now(has_begun));
    }

    /// Requests a descriptor for the upstream connection. Returns whether the connection gets one; it may be
    /// opened as soon as this function returns.
    pub async fn acquire_upstream(&self) -> bool {
        let admission = &self.admission;
        let max_connections = admission.max_connections();
        // A client that is no longer idle was evicted, and is about to be closed.
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
        // Another process of this relay holds the descriptors that were left.
        self.release_upstream();
        false
    }

    /// Whether descriptors are short: less than one in [`SHORTAGE_DIVISOR`] is left for further connections.
    pub fn are_descriptors_short(&self) -> bool {
        let max_connections = self.admission.max_connections();
        self.admission.connections.get() * SHORTAGE_DIVISOR > max_connections * (SHORTAGE_DIVISOR - 1)
    }

    /// Releases the upstream descriptor once the upstream connection has closed, and makes the client
    /// evictable while its last reply is still being written.
    pub fn release_upstream(&self) {
        if self.has_upstream.replace(false) {
            let admission = &self.admission;
            admission.connections.set(admission.connections.get() - 1);
            admission.release(1);
            self.become_idle();
        }
    }

    fn become_idle(&self) {
        let client = IdleClient { progress: RequestProgress::now(false), eviction: self.eviction.clone() };
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
