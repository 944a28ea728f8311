//! The links between relays: one UDP socket for each relay stands in for it at all others.
//!
//! What relay `i` sends to the socket of `j` goes on to `j` from the socket of `i`, so that n sockets give
//! every pair its own link, each way.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

use crate::log::RelayIndex;
use crate::{Log, Millis, TestClusterError, duration, lock, loopback_host};

/// The longest datagram that the platform admits.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The size of the buffer that datagrams are received in.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// The largest number of datagrams that are recorded.
const MAX_RECORDED_DATAGRAMS: usize = 1_000_000;
/// The longest kind that [`datagram_kind`] reads from a text.
const MAX_KIND_CHARS: usize = 8;

/// The kinds of messages of version 2, in the order of their numbers.
const VERSION_2_KINDS: [&str; 9] =
    ["news", "ask", "plan", "sessions", "groups", "again", "where", "holds", "loads"];

/// The shortest and the longest time that a datagram is on its way. With different ones, datagrams are
/// reordered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DelayRange {
    /// The shortest time.
    pub min_ms: Millis,
    /// The longest time.
    pub max_ms: Millis,
}

impl DelayRange {
    /// The delay for a draw from 0 to 1.
    fn at(self, draw: f64) -> Millis {
        self.min_ms + draw * (self.max_ms - self.min_ms).max(0.0)
    }
}

/// What happens to datagrams one way between two relays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Their time on the way.
    pub delay: DelayRange,
    /// The fraction that is lost.
    pub loss_fraction: f64,
    /// The fraction that arrives twice.
    pub duplicate_fraction: f64,
    /// Whether nothing passes.
    pub blocked: bool,
}

/// A datagram that was sent.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// When it was sent.
    pub at_ms: Millis,
    /// The relay that sent it.
    pub from: RelayIndex,
    /// The relay that it was sent to.
    pub to: RelayIndex,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// Datagrams that have been sent, those that were lost on the way included.
#[derive(Clone, Debug, Default)]
pub struct DatagramCounts {
    /// Datagrams by sender.
    pub sent: Vec<u64>,
    /// Bytes by sender.
    pub bytes: Vec<u64>,
    /// Datagrams by kind.
    pub by_kind: BTreeMap<String, u64>,
    /// Datagrams that were longer than the platform admits.
    pub too_long: u64,
}

impl DatagramCounts {
    fn new(relays: usize) -> DatagramCounts {
        DatagramCounts { sent: vec![0; relays], bytes: vec![0; relays], ..DatagramCounts::default() }
    }

    /// The number of all datagrams.
    pub fn total(&self) -> u64 {
        self.sent.iter().sum()
    }

    fn add(&mut self, from: RelayIndex, bytes: &[u8]) {
        self.sent[from] += 1;
        self.bytes[from] += bytes.len() as u64;
        self.too_long += u64::from(bytes.len() > MAX_DATAGRAM_BYTES);
        *self.by_kind.entry(datagram_kind(bytes)).or_default() += 1;
    }
}

/// The kind of message in a datagram, by its first letters.
///
/// ```
/// use sandgw_test_cluster::fault_proxy::datagram_kind;
/// assert_eq!(datagram_kind(b"1s 1f 3:20"), "1s");
/// assert_eq!(datagram_kind(b"2BwAA"), "2 holds");
/// ```
pub fn datagram_kind(datagram: &[u8]) -> String {
    let text = String::from_utf8_lossy(datagram);
    if let Some((kind, _)) = text.split_once(' ') {
        return kind.chars().take(MAX_KIND_CHARS).collect();
    }
    let number =
        text.get(1..text.len().min(5)).and_then(|start| STANDARD_NO_PAD.decode(start).ok()?.first().copied());
    let version = text.chars().next().unwrap_or('-');
    let name = number.and_then(|number| VERSION_2_KINDS.get(usize::from(number)));
    match (version, name) {
        ('2', Some(name)) => format!("2 {name}"),
        _ => number.map_or(version.to_string(), |number| format!("{version} {number}")),
    }
}

/// One way between two relays.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Link {
    from: RelayIndex,
    to: RelayIndex,
}

/// The faults of all links, and what was sent on them.
struct MeshState {
    rng: StdRng,
    /// The faults of links that have none of their own.
    default_faults: LinkFaults,
    link_faults: HashMap<Link, LinkFaults>,
    counts: DatagramCounts,
    /// Every datagram, where they are recorded.
    recorded: Option<Vec<Datagram>>,
}

impl MeshState {
    fn faults(&self, link: Link) -> LinkFaults {
        self.link_faults.get(&link).copied().unwrap_or(self.default_faults)
    }

    /// Draws the delays of the copies of a datagram that arrive.
    fn draw_delays(&mut self, link: Link) -> Vec<Millis> {
        let faults = self.faults(link);
        // All are drawn whatever the faults are, so that later draws depend on the seed alone.
        let [loss_draw, duplicate_draw, first_draw, second_draw] =
            [(); 4].map(|()| self.rng.random_range(0.0..1.0));
        if faults.blocked || loss_draw < faults.loss_fraction {
            return Vec::new();
        }
        let mut delays = vec![faults.delay.at(first_draw)];
        if duplicate_draw < faults.duplicate_fraction {
            delays.push(faults.delay.at(second_draw));
        }
        delays
    }
}

struct Shared {
    log: Log,
    /// The socket that stands in for each relay.
    sockets: Vec<UdpSocket>,
    /// Where each relay listens.
    relays: Vec<SocketAddr>,
    state: Mutex<MeshState>,
}

/// The links between the relays of a cluster. Its tasks end when it is dropped.
pub struct DatagramMesh {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    tasks: Vec<AbortHandle>,
}

impl DatagramMesh {
    /// Links between relays that listen at these addresses, without any fault.
    ///
    /// # Errors
    ///
    /// [`TestClusterError::Socket`] if a socket can't be opened.
    pub async fn new(
        relays: Vec<SocketAddr>,
        seed: u64,
        log: &Log,
    ) -> Result<DatagramMesh, TestClusterError> {
        let mut sockets = Vec::new();
        let mut addresses = Vec::new();
        for _ in &relays {
            let address = SocketAddr::new(loopback_host(), 0);
            let socket_error = |source| TestClusterError::Socket { address, source };
            let socket = UdpSocket::bind(address).await.map_err(socket_error)?;
            addresses.push(socket.local_addr().map_err(socket_error)?);
            sockets.push(socket);
        }
        let relay_count = relays.len();
        let state = MeshState {
            rng: StdRng::seed_from_u64(seed),
            default_faults: LinkFaults::default(),
            link_faults: HashMap::new(),
            counts: DatagramCounts::new(relay_count),
            recorded: None,
        };
        let shared = Arc::new(Shared { log: log.clone(), sockets, relays, state: Mutex::new(state) });
        let spawn = |to| tokio::spawn(shared.clone().forward_to(to)).abort_handle();
        let tasks = (0..relay_count).map(spawn).collect();
        Ok(DatagramMesh { shared, addresses, tasks })
    }

    /// The address that stands in for each relay at all others: their `peers`.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sets the faults of all links that have none of their own.
    pub fn set_all(&self, faults: LinkFaults) {
        lock(&self.shared.state).default_faults = faults;
    }

    /// Sets the faults from one relay to another, this way only.
    pub fn set(&self, from: RelayIndex, to: RelayIndex, faults: LinkFaults) {
        lock(&self.shared.state).link_faults.insert(Link { from, to }, faults);
    }

    /// Blocks all links between the relays of one side and the others, both ways. Other faults stay.
    pub fn partition(&self, is_on_one_side: impl Fn(RelayIndex) -> bool) {
        let mut state = lock(&self.shared.state);
        let relays = self.addresses.len();
        let links = (0..relays).flat_map(|from| (0..relays).map(move |to| Link { from, to }));
        for link in links.filter(|link| is_on_one_side(link.from) != is_on_one_side(link.to)) {
            let faults = state.faults(link);
            state.link_faults.insert(link, LinkFaults { blocked: true, ..faults });
        }
    }

    /// Ends all faults that links have of their own.
    pub fn heal(&self) {
        lock(&self.shared.state).link_faults.clear();
    }

    /// Records every datagram from now on.
    pub fn start_recording(&self) {
        lock(&self.shared.state).recorded = Some(Vec::new());
    }

    /// The datagrams that were recorded so far.
    pub fn recorded(&self) -> Vec<Datagram> {
        lock(&self.shared.state).recorded.clone().unwrap_or_default()
    }

    /// What was sent so far.
    pub fn counts(&self) -> DatagramCounts {
        lock(&self.shared.state).counts.clone()
    }
}

impl Drop for DatagramMesh {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Shared {
    /// Forwards what arrives at the socket that stands in for this relay.
    async fn forward_to(self: Arc<Self>, to: RelayIndex) {
        let senders: HashMap<_, _> =
            self.relays.iter().enumerate().map(|(index, address)| (*address, index)).collect();
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            // An error is of an earlier send to a relay that is not there.
            let Ok((length, sender)) = self.sockets[to].recv_from(&mut buffer).await else { continue };
            let Some(from) = senders.get(&sender).copied() else { continue };
            let link = Link { from, to };
            let bytes = &buffer[..length];
            for delay_ms in self.record(link, bytes) {
                if delay_ms <= 0.0 {
                    self.send(link, bytes);
                } else {
                    tokio::spawn(self.clone().send_later(link, bytes.to_vec(), delay_ms));
                }
            }
        }
    }

    fn send(&self, link: Link, bytes: &[u8]) {
        let _ = self.sockets[link.from].try_send_to(bytes, self.relays[link.to]);
    }

    async fn send_later(self: Arc<Self>, link: Link, bytes: Vec<u8>, delay_ms: Millis) {
        tokio::time::sleep(duration(delay_ms)).await;
        self.send(link, &bytes);
    }

    /// Counts a datagram and returns the delays of the copies that arrive.
    fn record(&self, link: Link, bytes: &[u8]) -> Vec<Millis> {
        let at_ms = self.log.now();
        let mut state = lock(&self.state);
        state.counts.add(link.from, bytes);
        if let Some(recorded) = state.recorded.as_mut().filter(|all| all.len() < MAX_RECORDED_DATAGRAMS) {
            recorded.push(Datagram { at_ms, from: link.from, to: link.to, bytes: bytes.to_vec() });
        }
        state.draw_delays(link)
    }
}
