//! Drives the forms of shared state: words as they are due, the tier's form to the folder, the operators' calls.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use log::{debug, error, info, warn};
use sandgw_schema_version::version_advertisement::VersionAdvertisement;
use sandgw_schema_version::version_negotiator::VersionNegotiator;
use sandgw_schema_version::versioned_channel::VersionedChannel;
use sandgw_schema_version::{SchemaVersion, SchemaVersionError};
use tokio::time::{Instant, timeout_at};

use super::{Clock, Shared, span};
use crate::config::Config;
use crate::peers;
use crate::policy::api::{Millis, PeerMessage};
use crate::relay::operator_calls::OperatorCallError;

/// How long a process that starts listens for what is finalized, and how often it asks meanwhile.
const LISTENS: [Millis; 3] = [100.0, 100.0, 200.0];
/// Relays that it asks: neighbours are often restarted together.
const ASKED: u32 = 8;

/// What stands between messages and datagrams, where the configuration turns forms on. It fails where the folder
/// is finalized at what this process can't read.
pub fn post(
    config: &Config,
    finalized: SchemaVersion,
    clock: &Clock,
) -> io::Result<Option<RefCell<VersionedChannel>>> {
    let Some(range) = config.forms else { return Ok(None) };
    let of = (config.settings.local_index, config.settings.relay_count);
    let ladder = VersionNegotiator::new(range, finalized, of, config.seed, clock.now()).map_err(refused)?;
    Ok(Some(RefCell::new(VersionedChannel::new(ladder))))
}

fn refused(e: SchemaVersionError) -> io::Error {
    io::Error::other(format!("forms: {e}; {}", e.help()))
}

/// Reads a datagram of a relay, and answers it where it asks for a word; nothing of what is no message.
pub(super) fn read(shared: &Shared, peer: u32, text: &str) -> Option<PeerMessage> {
    let Some(post) = &shared.peer_channel else { return peers::decode(text) };
    match receive(shared, post, peer, text) {
        Ok(message) => message,
        Err(e @ SchemaVersionError::Finalized { .. }) => {
            // It started while nobody told it, or the tier was finalized over it: once is enough for a log.
            if !shared.is_unreadable_version_logged.replace(true) {
                error!("forms: relay {peer}: {e}; {}", e.help());
            }
            None
        }
        Err(e) => {
            debug!("forms: relay {peer}: {e}");
            None
        }
    }
}

fn receive(
    shared: &Shared,
    post: &RefCell<VersionedChannel>,
    peer: u32,
    text: &str,
) -> Result<Option<PeerMessage>, SchemaVersionError> {
    let (now, mut out) = (shared.clock.now(), Vec::new());
    let before = post.borrow().ladder.form(now);
    let received = post.borrow_mut().receive(now, peer, text, &mut out);
    out.iter().for_each(|(peer, text)| shared.send_text_to_peer(*peer, text));
    if post.borrow().ladder.form(now) != before {
        shared.version_changed.notify_one();
    }
    Ok(received?.text.as_deref().and_then(peers::decode))
}

/// Asks others what is finalized before anything is served; it fails where this process can't read that.
pub async fn enquire(shared: &Rc<Shared>) -> io::Result<()> {
    let (Some(post), Some(socket)) = (&shared.peer_channel, shared.peers.get()) else { return Ok(()) };
    let (local_index, relays) =
        (shared.config.borrow().settings.local_index, shared.config.borrow().settings.relay_count);
    let mut buffer = [0; peers::BUFFER];
    for wait in LISTENS {
        let word = post.borrow().ladder.word(shared.clock.now()).text() + "|?";
        let step = ((relays - 1) / ASKED).max(1);
        let asked = (0..ASKED.min(relays - 1)).map(|n| (local_index + 1 + n * step) % relays);
        asked.for_each(|peer| shared.send_text_to_peer(peer, &word));
        let until = Instant::now() + span(wait);
        while let Ok(received) = timeout_at(until, socket.recv_from(&mut buffer)).await {
            // An error is of a relay that is not there.
            let Ok((length, from)) = received else { continue };
            let peer = shared.config.borrow().peers.iter().position(|a| *a == from);
            let text = std::str::from_utf8(&buffer[..length]).ok();
            let Some((peer, text)) = peer.zip(text) else { continue };
            match receive(shared, post, peer as u32, text) {
                Ok(Some(message)) => {
                    shared.core(|relay, now| relay.receive_peer_message(now, peer as u32, message))
                }
                Err(e @ SchemaVersionError::Finalized { .. }) => return Err(refused(e)),
                _ => {}
            }
        }
    }
    Ok(())
}

/// Tells words as they are due, and moves the folder with the tier, for as long as the program runs.
pub async fn tell(shared: Rc<Shared>) {
    let Some(post) = &shared.peer_channel else { return };
    let mut at = None;
    loop {
        let now = shared.clock.now();
        let mut out = Vec::new();
        if *shared.accepting.borrow() {
            post.borrow_mut().due(now, &mut out);
        }
        out.iter().for_each(|(peer, text)| shared.send_text_to_peer(*peer, text));
        follow(&shared, &mut at, now);
        let wait = post.borrow().timer(now);
        tokio::select! {
            () = tokio::time::sleep(span(wait)) => {}
            () = shared.version_changed.notified() => {}
        }
    }
}

/// Says what the tier writes now where that is new, and has the folder moved to it.
fn follow(shared: &Shared, at: &mut Option<(SchemaVersion, SchemaVersion, bool)>, now: Millis) {
    let Some(post) = &shared.peer_channel else { return };
    let (form, finalized, range, known) = {
        let ladder = &post.borrow().ladder;
        // While it only waits for signs of others, the folder stays as it is found.
        let known = ladder.sign(now).is_some()
            || ladder.waits(now) <= 0.0
            || ladder.range().newest() == SchemaVersion::FIRST;
        (ladder.form(now), ladder.finalized(), ladder.range(), known)
    };
    if at.replace((form, finalized, known)) == Some((form, finalized, known)) {
        return;
    }
    match form == range.newest() {
        true => info!("forms: the tier writes form {form}; finalized is {finalized}"),
        false => {
            info!("forms: the tier writes form {form}, this process reads {range}; finalized is {finalized}")
        }
    }
    if let Some(writer) = shared.store_writer.as_ref().filter(|_| known)
        && !writer.move_to(form.number().into(), finalized.number().into())
    {
        // The queue is full: asked again with the next word.
        *at = None;
    }
}

/// What the next process is told of the tier's forms.
pub(super) fn word(shared: &Shared) -> Option<(Millis, String)> {
    let (now, post) = (shared.clock.now(), shared.peer_channel.as_ref()?.borrow());
    Some((post.ladder.listened(now), post.ladder.word(now).text()))
}

/// Takes what the process before knew of the tier's forms. It fails where this one can't read what is finalized.
pub(super) fn resume(shared: &Shared, listened: Millis, word: &str) -> io::Result<()> {
    let Some(post) = &shared.peer_channel else { return Ok(()) };
    let resumed = VersionAdvertisement::read(word)
        .and_then(|(word, _)| post.borrow_mut().ladder.resume(shared.clock.now(), listened, &word));
    resumed.map_err(refused)
}

/// What operators are told of forms.
pub(super) fn status(shared: &Shared) -> Result<String, OperatorCallError> {
    let post = shared.peer_channel.as_ref().ok_or(OperatorCallError::Unknown)?;
    Ok(crate::schema_status::status(&post.borrow(), shared.clock.now()))
}

/// Ends the possibility to go back.
pub(super) fn finalize(shared: &Shared) -> Result<String, OperatorCallError> {
    let post = shared.peer_channel.as_ref().ok_or(OperatorCallError::Unknown)?;
    let form =
        post.borrow_mut().ladder.finalize(shared.clock.now()).map_err(OperatorCallError::SchemaVersion)?;
    warn!("operators: finalize: nothing is written below form {form} any more");
    shared.version_changed.notify_one();
    Ok(format!("finalized {form}"))
}
