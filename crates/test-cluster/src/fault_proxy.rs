//! Links between relays, and before discovery and endpoints: where datagrams and connections are delayed, lost and
//! cut.
//!
//! A [`Mesh`] owns one UDP socket for each relay, which stands in for it at all others: what relay `i` sends to the
//! socket of `j` goes on to `j` from the socket of `i`, so that n sockets give every pair its own link, each way. A
//! [`TcpLink`] owns a listener before one address. Neither reads more of what passes than its kind.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::{Log, Millis, TestClusterError, host, listen, listen_at, locked, reset, span};

/// What happens to datagrams one way between two relays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fate {
    /// Least and most time on the way, in milliseconds: with different ones, datagrams overtake each other.
    pub delay: (Millis, Millis),
    /// Share that is lost.
    pub loss: f64,
    /// Share that arrives twice.
    pub doubled: f64,
    /// Nothing passes.
    pub cut: bool,
}

/// A datagram that was sent.
#[derive(Clone, Debug)]
pub struct Datagram {
    /// When.
    pub at: Millis,
    /// By which relay.
    pub from: usize,
    /// To which.
    pub to: usize,
    /// What it says.
    pub bytes: Vec<u8>,
}

/// What has been sent, by relay and by kind; what was lost on the way counts.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Datagrams by sender.
    pub sent: Vec<u64>,
    /// Bytes by sender.
    pub bytes: Vec<u64>,
    /// Datagrams by kind.
    pub kinds: BTreeMap<String, u64>,
    /// Datagrams that were longer than the platform admits.
    pub too_long: u64,
}

impl Counts {
    /// All datagrams.
    pub fn all(&self) -> u64 {
        self.sent.iter().sum()
    }
}

/// Most bytes of a datagram on the platform.
const MOST_BYTES: usize = 256;
/// Most datagrams that are kept.
const MOST_KEPT: usize = 1_000_000;

/// The kinds of pieces of version 2, in the order of their numbers.
const PIECES: [&str; 9] = ["news", "ask", "plan", "sessions", "groups", "again", "where", "holds", "loads"];

/// What kind of message a datagram is, by its first letters.
///
/// ```
/// use sandgw_test_cluster::fault_proxy::kind;
/// assert_eq!(kind(b"1s 1f 3:20"), "1s");
/// assert_eq!(kind(b"2BwAA"), "2 holds");
/// ```
pub fn kind(datagram: &[u8]) -> String {
    let text = String::from_utf8_lossy(datagram);
    if let Some((word, _)) = text.split_once(' ') {
        return word.chars().take(8).collect();
    }
    let number =
        text.get(1..text.len().min(5)).and_then(|start| STANDARD_NO_PAD.decode(start).ok()?.first().copied());
    let version = text.chars().next().unwrap_or('-');
    match (version, number.and_then(|n| PIECES.get(usize::from(n)))) {
        ('2', Some(name)) => format!("2 {name}"),
        _ => number.map_or(version.to_string(), |n| format!("{version} {n}")),
    }
}

struct Fates {
    dice: StdRng,
    all: Fate,
    pairs: HashMap<(usize, usize), Fate>,
    counts: Counts,
    kept: Option<Vec<Datagram>>,
}

struct Inner {
    log: Log,
    sockets: Vec<UdpSocket>,
    relays: Vec<SocketAddr>,
    fates: Mutex<Fates>,
}

/// The links between the relays of a tier. Its tasks end when it is dropped.
pub struct Mesh {
    inner: Arc<Inner>,
    addresses: Vec<SocketAddr>,
    tasks: Vec<AbortHandle>,
}

impl Mesh {
    /// Links between relays that listen at these addresses, without any fault.
    pub async fn new(relays: Vec<SocketAddr>, seed: u64, log: &Log) -> Result<Mesh, TestClusterError> {
        let (mut sockets, mut addresses) = (Vec::new(), Vec::new());
        for _ in &relays {
            let at = SocketAddr::new(host(), 0);
            let failed = |cause| TestClusterError::Socket { at, cause };
            let socket = UdpSocket::bind(at).await.map_err(failed)?;
            addresses.push(socket.local_addr().map_err(failed)?);
            sockets.push(socket);
        }
        let n = relays.len();
        let counts = Counts { sent: vec![0; n], bytes: vec![0; n], ..Counts::default() };
        let dice = StdRng::seed_from_u64(seed);
        let fates = Fates { dice, all: Fate::default(), pairs: HashMap::new(), counts, kept: None };
        let inner = Arc::new(Inner { log: log.clone(), sockets, relays, fates: Mutex::new(fates) });
        let run = |to| tokio::spawn(carry(inner.clone(), to)).abort_handle();
        let tasks = (0..n).map(run).collect();
        Ok(Mesh { inner, addresses, tasks })
    }

    /// The address that stands in for each relay at all others: their `peers`.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// What happens to all datagrams from now on, but for pairs that have a fate of their own.
    pub fn set_all(&self, fate: Fate) {
        locked(&self.inner.fates).all = fate;
    }

    /// What happens from one relay to another, this way only.
    pub fn set(&self, from: usize, to: usize, fate: Fate) {
        locked(&self.inner.fates).pairs.insert((from, to), fate);
    }

    /// Cuts the tier in two, both ways; the rest keeps its fate.
    pub fn cut(&self, one_side: impl Fn(usize) -> bool) {
        let mut fates = locked(&self.inner.fates);
        let n = self.addresses.len();
        let pairs = (0..n).flat_map(|a| (0..n).map(move |b| (a, b)));
        for pair in pairs.filter(|(a, b)| one_side(*a) != one_side(*b)) {
            let fate = fates.pairs.get(&pair).copied().unwrap_or(fates.all);
            fates.pairs.insert(pair, Fate { cut: true, ..fate });
        }
    }

    /// Ends all fates that pairs have of their own.
    pub fn heal(&self) {
        locked(&self.inner.fates).pairs.clear();
    }

    /// Keeps every datagram from now on.
    pub fn keep(&self) {
        locked(&self.inner.fates).kept = Some(Vec::new());
    }

    /// What was kept so far.
    pub fn kept(&self) -> Vec<Datagram> {
        locked(&self.inner.fates).kept.clone().unwrap_or_default()
    }

    /// What was sent so far.
    pub fn counts(&self) -> Counts {
        locked(&self.inner.fates).counts.clone()
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

async fn carry(inner: Arc<Inner>, to: usize) {
    let senders: HashMap<_, _> = inner.relays.iter().enumerate().map(|(i, a)| (*a, i)).collect();
    let mut buffer = [0; 2048];
    loop {
        // An error is of an earlier send to a relay that is not there.
        let Ok((n, from)) = inner.sockets[to].recv_from(&mut buffer).await else { continue };
        let Some(from) = senders.get(&from).copied() else { continue };
        let copies = inner.fate(from, to, &buffer[..n]);
        for delay in copies {
            if delay <= 0.0 {
                let _ = inner.sockets[from].try_send_to(&buffer[..n], inner.relays[to]);
                continue;
            }
            let (inner, bytes) = (inner.clone(), buffer[..n].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(span(delay)).await;
                let _ = inner.sockets[from].try_send_to(&bytes, inner.relays[to]);
            });
        }
    }
}

impl Inner {
    /// Counts a datagram; the delays of the copies that arrive.
    fn fate(&self, from: usize, to: usize, bytes: &[u8]) -> Vec<Millis> {
        let at = self.log.now();
        let fates = &mut *locked(&self.fates);
        fates.counts.sent[from] += 1;
        fates.counts.bytes[from] += bytes.len() as u64;
        fates.counts.too_long += u64::from(bytes.len() > MOST_BYTES);
        *fates.counts.kinds.entry(kind(bytes)).or_default() += 1;
        if let Some(kept) = fates.kept.as_mut().filter(|kept| kept.len() < MOST_KEPT) {
            kept.push(Datagram { at, from, to, bytes: bytes.to_vec() });
        }
        let fate = fates.pairs.get(&(from, to)).copied().unwrap_or(fates.all);
        // Drawn whatever the fate, so that what comes later depends on the seed alone.
        let [lost, doubled, one, two] = [(); 4].map(|()| fates.dice.random_range(0.0..1.0));
        if fate.cut || lost < fate.loss {
            return Vec::new();
        }
        let (least, most) = fate.delay;
        let delay = |draw: f64| least + draw * (most - least).max(0.0);
        if doubled < fate.doubled { vec![delay(one), delay(two)] } else { vec![delay(one)] }
    }
}

/// What happens to connections on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// They pass.
    Through,
    /// New ones are refused; those that are open pass.
    Refuse,
    /// New ones never come up; those that are open pass.
    NeverUp,
    /// So many bytes pass towards the caller on each connection, then nothing more, and the connection stays.
    StallAfter(usize),
    /// So many bytes pass towards the caller on each connection, then it is reset.
    ResetAfter(usize),
    /// Nothing passes on any connection, old or new, and none ends.
    Silent,
}

/// A link before one address: what connects to [`TcpLink::address`] is carried there. It ends when dropped.
pub struct TcpLink {
    address: SocketAddr,
    passage: watch::Sender<Passage>,
    task: AbortHandle,
}

impl TcpLink {
    /// A link to this address, without any fault.
    pub async fn new(target: SocketAddr) -> Result<TcpLink, TestClusterError> {
        let (address, listener) = listen().await?;
        let (passage, seen) = watch::channel(Passage::Through);
        let task = tokio::spawn(accept(address, listener, target, seen)).abort_handle();
        Ok(TcpLink { address, passage, task })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What happens to connections from now on.
    pub fn set(&self, passage: Passage) {
        self.passage.send_replace(passage);
    }
}

impl Drop for TcpLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    address: SocketAddr,
    listener: TcpListener,
    target: SocketAddr,
    mut passage: watch::Receiver<Passage>,
) {
    let mut listener = Some(listener);
    // Where none are to come up: a listener with its queue full, which lets the system drop what knocks.
    let mut closed = None;
    loop {
        let now = *passage.borrow_and_update();
        match now {
            Passage::Refuse => (listener, closed) = (None, None),
            Passage::NeverUp => {
                listener = None;
                closed = closed.or_else(|| full(address).ok());
            }
            _ if listener.is_none() => {
                closed = None;
                listener = listen_at(address).await.ok().map(|(_, l)| l);
            }
            _ => {}
        }
        let next = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = passage.changed() => if changed.is_err() { return },
            accepted = next => if let Ok((caller, _)) = accepted {
                tokio::spawn(pass(caller, target, passage.clone()));
            },
        }
    }
}

type Full = (socket2::Socket, Vec<socket2::Socket>);

fn full(address: SocketAddr) -> std::io::Result<Full> {
    use socket2::{Domain, Socket, Type};
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    listener.set_reuse_address(true)?;
    listener.bind(&address.into())?;
    listener.listen(0)?;
    let knock = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        let _ = socket.connect(&address.into());
        Ok(socket)
    };
    let knocks = (0..4).map(|_| knock()).collect::<std::io::Result<_>>()?;
    Ok((listener, knocks))
}

async fn pass(mut caller: TcpStream, target: SocketAddr, mut passage: watch::Receiver<Passage>) {
    let Ok(mut called) = TcpStream::connect(target).await else { return reset(caller) };
    let _ = (caller.set_nodelay(true), called.set_nodelay(true));
    let (mut up, mut down) = ([0; 4096], [0; 4096]);
    let (mut sent, mut ended) = (0, [false; 2]);
    while ended != [true; 2] {
        let now = *passage.borrow_and_update();
        let room = match now {
            Passage::ResetAfter(n) if sent >= n => return reset(caller),
            Passage::StallAfter(n) | Passage::ResetAfter(n) => n.saturating_sub(sent).min(down.len()),
            Passage::Silent => 0,
            _ => down.len(),
        };
        let silent = now == Passage::Silent;
        tokio::select! {
            changed = passage.changed() => if changed.is_err() { return },
            read = caller.read(&mut up), if !silent && !ended[0] => match read {
                Ok(0) => {
                    ended[0] = true;
                    let _ = called.shutdown().await;
                }
                Ok(n) => if called.write_all(&up[..n]).await.is_err() { return reset(caller) },
                Err(_) => return reset(called),
            },
            read = called.read(&mut down[..room.max(1)]), if room > 0 && !ended[1] => match read {
                Ok(0) => {
                    ended[1] = true;
                    let _ = caller.shutdown().await;
                }
                Ok(n) => {
                    sent += n;
                    if caller.write_all(&down[..n]).await.is_err() { return reset(called) }
                }
                Err(_) => return reset(caller),
            },
        }
    }
}
