//! A small deployment: discovery, streamers and relays, all running, and the connections that clients open.

use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::Duration;

use super::client::{Client, Request};
use super::discovery::{Discovery, DiscoveryAddress, Phase};
use super::relay::{Relay, RelayConfig};
use super::settings::Settings;
use super::streamer::Streamer;
use super::{ms, note};

/// Every deployment of the cases has so many streamers.
pub const STREAMERS: usize = 12;
/// How long a client waits for a line that should come back at once.
const ECHO_LIMIT: Duration = Duration::from_secs(2);

pub struct Deployment {
    pub settings: Settings,
    pub discovery: Discovery,
    /// Where the relays call: one address for all, or an agent for each where lists are pushed.
    pub addresses: Vec<DiscoveryAddress>,
    pub streamers: Vec<Streamer>,
    pub configs: Vec<RelayConfig>,
    pub relays: Vec<Relay>,
}

impl Deployment {
    /// Starts everything, and waits until all relays answer `PONG`.
    pub fn start(settings: Settings) -> Result<Deployment, String> {
        let mut deployment = Deployment::prepare(settings)?;
        deployment.relays = Relay::start_all(&deployment.configs)?;
        Ok(deployment)
    }

    /// Starts everything but the relays.
    pub fn prepare(settings: Settings) -> Result<Deployment, String> {
        let discovery = Discovery::default();
        let count = if settings.discovery == "pushed" { settings.relays } else { 1 };
        let open = |n: usize| discovery.open_address(&format!("discovery {n}"));
        let addresses = (0..count).map(open).collect::<Result<Vec<_>, _>>()?;
        let park = ms(settings.park_ms.into());
        let start = |n: usize| Streamer::start(&format!("s-{n}"), park);
        let streamers = (0..STREAMERS).map(start).collect::<Result<Vec<_>, _>>()?;
        for (n, streamer) in streamers.iter().enumerate() {
            let zone = settings.zones[n % settings.zones.len()];
            discovery.set(&streamer.id, streamer.address, zone, Phase::Ready, 0);
        }
        let called: Vec<SocketAddr> = addresses.iter().map(|address| address.address).collect();
        let configs = RelayConfig::all(&settings, &called, &discovery.whole_list())?;
        Ok(Deployment { settings, discovery, addresses, streamers, configs, relays: Vec::new() })
    }

    /// The request of client number `n`, each with a key of its own, in one of nine groups.
    pub fn request(&self, n: usize) -> Request {
        let tenants = self.settings.tenants;
        let tenant =
            if tenants.is_empty() { "".into() } else { format!(",t={}", tenants[n % tenants.len()]) };
        let (class, _, longest_wait_ms, _) = self.settings.classes[0];
        Request {
            id: format!("{:016x}", 0x9b1f_0000_0000_0000_u64 + n as u64),
            key: format!("{:016x}", 0x7f3a_9c21_u64.wrapping_mul(2_654_435_761 * (n as u64 + 1))),
            options: format!("c={class}{tenant},g=c{}", n % 9),
            wait_ms: longest_wait_ms,
        }
    }

    /// Opens a client's connection by a relay; an error if it does not stand. `more` comes after the options.
    pub fn open(&self, relay: SocketAddr, request: &Request, more: &str) -> Result<Client, String> {
        let mut client = Client::open(relay, request, more).map_err(|e| format!("{e:?}"))?;
        if client.read(ms(request.wait_ms.into()) + ms(1000)).is_up() && client.is_echoed("hello", ECHO_LIMIT)
        {
            return Ok(client);
        }
        Err(format!("client {} has no connection", request.id))
    }

    /// Takes the streamer that holds most connections, those named in `but` left out.
    pub fn fullest_streamer(&self, but: &[String]) -> &Streamer {
        let others = self.streamers.iter().filter(|streamer| !but.contains(&streamer.id));
        others.max_by_key(|streamer| streamer.held_ids().len()).expect("there are more streamers")
    }
}

/// What becomes of an open connection whose packets arrive at another relay.
pub enum Arrival {
    /// It goes on.
    Continues(Client),
    /// Its streamer does not hold it any more, so that it can't go on.
    NotHeld,
    /// It is lost although its streamer holds it and has not sent the client away; the client's id.
    Lost(String),
}

/// The front leads the packets of open connections to other relays, those of each client to the relay beside
/// it, all at once. Returns what becomes of each, in the same order.
pub fn lead_elsewhere(clients: Vec<(Client, SocketAddr)>, streamers: &[Streamer]) -> Vec<Arrival> {
    let arrive = |(client, relay): (Client, SocketAddr)| {
        let streamers = streamers.to_vec();
        thread::spawn(move || arrive_elsewhere(client, relay, &streamers))
    };
    let arriving: Vec<_> = clients.into_iter().map(arrive).collect();
    arriving.into_iter().map(|thread| thread.join().unwrap_or(Arrival::NotHeld)).collect()
}

/// The ids of the clients whose connections are lost.
pub fn lost_ids(arrivals: &[Arrival]) -> Vec<String> {
    let lost_id = |arrival: &Arrival| match arrival {
        Arrival::Lost(id) => Some(id.clone()),
        _ => None,
    };
    arrivals.iter().filter_map(lost_id).collect()
}

fn arrive_elsewhere(client: Client, relay: SocketAddr, streamers: &[Streamer]) -> Arrival {
    let request = client.request.clone();
    drop(client);
    // The streamer notices in the next moment that no packets come by the old relay.
    sleep(ms(20));
    let Some(holder) = streamers.iter().find(|streamer| streamer.holds(&request.id)) else {
        note(&format!("client {}: no streamer holds its connection any more", request.id));
        return Arrival::NotHeld;
    };
    let how = match continue_connection(relay, &request) {
        Ok(client) => return Arrival::Continues(client),
        Err(how) => how,
    };
    if !holder.holds(&request.id) {
        return Arrival::NotHeld;
    }
    note(&format!("client {}: lost, though {} holds its connection: {how}", request.id, holder.id));
    Arrival::Lost(request.id)
}

/// Sends the first line with the mark of an open connection; the error says why the connection does not go on.
fn continue_connection(relay: SocketAddr, request: &Request) -> Result<Client, String> {
    let mut client = Client::open(relay, request, ",mid=1")
        .map_err(|reply| format!("the relay could not be reached: {reply:?}"))?;
    let reply = client.read(ms(request.wait_ms.into()) + ms(1000));
    if !reply.is_up() {
        return Err(format!("answered {reply:?}"));
    }
    if !client.is_echoed("still", ECHO_LIMIT) {
        return Err("its line did not come back".into());
    }
    Ok(client)
}

/// A connection goes on by the relay that it has. Returns the client's id if it does not.
pub fn go_on(mut client: Client) -> Option<String> {
    let is_echoed = client.is_echoed("still", ECHO_LIMIT);
    client.send("bye");
    (!is_echoed).then_some(client.request.id)
}
