//! Who may hold descriptors: every connection's are counted before they are opened.
//!
//! A connection that has not asked for anything takes one, a connection two: its client's and its endpoint's. Since
//! nobody has to say anything to connect, those that have not asked only get what is left, and when nothing
//! is, the one makes room of whom least is to be expected: progress tells, not age. A descriptor is opened only once
//! the one that makes room for it is closed, however many ask in the same moment.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

/// Descriptors of the program itself: standard streams (3), poller, waker and signals (4), listeners (2),
/// datagrams (2), discovery's call, a file that is read, one accepted client for each listener (2), the operators'
/// address with a reserve (2) and its callers ([`CALLERS`]), and some for what is let go but not closed yet.
const OWN: usize = 32;
/// Clients that are heard whatever another process of this relay holds: else nobody could be refused, even.
const LEAST: usize = 8;
/// What a process that can hand over holds besides: the socket that it is found by, a link to the other process, what
/// is to be passed (4), and some on their way.
pub const HANDOVER: usize = 8;
/// Most callers of the operators' address at a time.
pub const CALLERS: usize = 8;
/// One part in so many is never given to connections: a newcomer must be heard before it can be refused.
const UNHEARD: usize = 8;
/// Descriptors are short when less than one part in so many is left for connections.
const SHORT: usize = 8;

/// Who has come, or asked, so lately has his request on its way most likely.
const FRESH: Duration = Duration::from_millis(100);

/// How far a connection has come that is no connection.
#[derive(Clone, Copy)]
struct Progress {
    /// It is in the middle of its request.
    begun: bool,
    /// When it came, or last said something.
    at: Instant,
}

impl Progress {
    fn now(begun: bool) -> Self {
        Progress { begun, at: Instant::now() }
    }

    /// Who makes room first: who has begun nothing, then who is stalled, each by how long nothing came of him; who is
    /// fresh comes last.
    fn order(&self, now: Instant) -> (bool, bool, Instant) {
        (!self.begun && now - self.at < FRESH, self.begun, self.at)
    }
}

/// Counts descriptors.
pub struct Admission {
    /// What the process may hold but for its own, and what another process of this relay holds of that.
    most: usize,
    others: Cell<usize>,
    used: Cell<usize>,
    /// Clients that were accepted and wait for a seat.
    waiting: Cell<usize>,
    connections: Cell<usize>,
    next: Cell<u64>,
    /// Connections that are no connection, with what tells them to make room.
    idle: RefCell<BTreeMap<u64, (Progress, Rc<Notify>)>>,
    /// Those that were told to make room and are not gone yet.
    leaving: Cell<usize>,
    freed: Notify,
    /// Tells connections that wait for their second descriptor to look again.
    given_back: Notify,
}

impl Admission {
    /// For a process that may hold so many, and needs `more` for its own than most.
    pub fn new(descriptors: usize, more: usize) -> Rc<Self> {
        Rc::new(Admission {
            most: descriptors.saturating_sub(OWN + more).max(OWN),
            others: Cell::new(0),
            used: Cell::new(0),
            waiting: Cell::new(0),
            connections: Cell::new(0),
            next: Cell::new(0),
            idle: RefCell::default(),
            leaving: Cell::new(0),
            freed: Notify::new(),
            given_back: Notify::new(),
        })
    }

    /// Another process of this relay holds so many: the two have one limit.
    pub fn set_others(&self, descriptors: usize) {
        if self.others.replace(descriptors) > descriptors {
            // Whoever waits looks again.
            self.freed.notify_waiters();
            self.given_back.notify_waiters();
        }
    }

    /// What this process holds, with its own.
    pub fn held(&self) -> usize {
        self.used.get() + OWN
    }

    /// Whether no client is here.
    pub fn is_empty(&self) -> bool {
        self.used.get() == 0 && self.waiting.get() == 0
    }

    fn limit(&self) -> usize {
        self.most.saturating_sub(self.others.get()).max(LEAST)
    }

    /// Connections that there are descriptors for.
    fn most_connections(&self) -> usize {
        (self.limit() - self.limit() / UNHEARD) / 2
    }

    /// A seat for a client that was just accepted, once there is one.
    pub async fn seat(self: &Rc<Self>) -> Seat {
        self.waiting.set(self.waiting.get() + 1);
        while self.used.get() >= self.limit() {
            // Connections leave room for others, so somebody is there or already on the way out.
            self.clear();
            self.freed.notified().await;
        }
        self.waiting.set(self.waiting.get() - 1);
        self.used.set(self.used.get() + 1);
        let seat = Seat {
            admission: self.clone(),
            id: self.next.get(),
            connection: Cell::new(false),
            room: Rc::default(),
        };
        self.next.set(seat.id + 1);
        self.idle.borrow_mut().insert(seat.id, (Progress::now(false), seat.room.clone()));
        seat
    }

    /// A seat for a connection that another process of this relay has passed, with its two descriptors.
    pub fn adopt(self: &Rc<Self>) -> Seat {
        self.others.set(self.others.get().saturating_sub(2));
        self.used.set(self.used.get() + 2);
        self.connections.set(self.connections.get() + 1);
        let id = self.next.get();
        self.next.set(id + 1);
        Seat { admission: self.clone(), id, connection: Cell::new(true), room: Rc::default() }
    }

    /// Tells one of those that are no connection to make room, if there is any.
    pub fn clear(&self) {
        let (mut idle, now) = (self.idle.borrow_mut(), Instant::now());
        let first = idle.iter().min_by_key(|(_, (progress, _))| progress.order(now)).map(|(id, _)| *id);
        if let Some((_, room)) = first.and_then(|id| idle.remove(&id)) {
            self.leaving.set(self.leaving.get() + 1);
            room.notify_one();
        }
    }

    /// Waits until no more is taken than there is; whether that can be had.
    async fn settled(&self) -> bool {
        while self.used.get() > self.limit() {
            if self.used.get() - self.leaving.get() > self.limit() {
                self.clear();
            }
            if self.leaving.get() == 0 {
                return false;
            }
            // Whoever is told leaves at once.
            self.given_back.notified().await;
        }
        true
    }

    fn release(&self, n: usize) {
        self.used.set(self.used.get() - n);
        self.freed.notify_one();
        // Before that nothing has changed for them.
        if self.used.get() <= self.limit() || self.leaving.get() == 0 {
            self.given_back.notify_waiters();
        }
    }
}

/// One connection's share; given back when dropped.
pub struct Seat {
    admission: Rc<Admission>,
    id: u64,
    connection: Cell<bool>,
    room: Rc<Notify>,
}

impl Seat {
    /// What is notified when this connection is to make room. It never is while it is a connection.
    pub fn room(&self) -> Rc<Notify> {
        self.room.clone()
    }

    /// The connection has said something; whether it is in the middle of its request.
    pub fn heard(&self, begun: bool) {
        let mut idle = self.admission.idle.borrow_mut();
        idle.entry(self.id).and_modify(|(progress, _)| *progress = Progress::now(begun));
    }

    /// The connection asks to be placed and needs a descriptor for its forwards; whether it gets one, which is free
    /// once this returns.
    pub async fn ask(&self) -> bool {
        let a = &self.admission;
        let most = a.most_connections();
        // One that was told to make room is on its way out.
        if a.connections.get() >= most || a.idle.borrow_mut().remove(&self.id).is_none() {
            return false;
        }
        self.connection.set(true);
        a.connections.set(a.connections.get() + 1);
        a.used.set(a.used.get() + 1);
        if a.settled().await {
            return true;
        }
        // Another process of this relay holds what was to be had.
        self.answered();
        false
    }

    /// Whether hardly any connection more would get a descriptor.
    pub fn is_short(&self) -> bool {
        let most = self.admission.most_connections();
        self.admission.connections.get() * SHORT > most * (SHORT - 1)
    }

    /// The connection has ended and its endpoint's connection with it; the client's last word is still to go out.
    pub fn answered(&self) {
        if self.connection.replace(false) {
            let a = &self.admission;
            a.connections.set(a.connections.get() - 1);
            a.release(1);
            a.idle.borrow_mut().insert(self.id, (Progress::now(false), self.room.clone()));
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.answered();
        let a = &self.admission;
        if a.idle.borrow_mut().remove(&self.id).is_none() {
            a.leaving.set(a.leaving.get() - 1);
        }
        a.release(1);
    }
}
