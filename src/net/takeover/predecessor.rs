//! The predecessor's side of a hand-over: offers the relay to successor processes, one after the other, and
//! waits until this process is finished. `outgoing` carries out each hand-over.

use std::io;
use std::os::unix::fs::{FileTypeExt, MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use log::{error, warn};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::link::Link;
use super::outgoing::{HandOver, REPORT_INTERVAL, is_finished, refuse};
use super::{SEND_TIMEOUT, SOCKET_NAME};
use crate::handover::PredecessorProcess;
use crate::net::accept::ACCEPT_PAUSE;
use crate::net::shared::Shared;

/// Offers the relay to successor processes, for as long as the program runs.
pub async fn offer(shared: Rc<Shared>, folder: PathBuf) {
    let path = folder.join(SOCKET_NAME);
    loop {
        let listener = match bind(&path) {
            Ok(listener) => listener,
            Err(e) => {
                // The relay serves without hand-overs: a new version of the program then needs a restart.
                return error!("hand-over: {}: {e}; hand-overs are off", path.display());
            }
        };
        serve_successors(&shared, &listener, &path).await;
        // The successor has bound its own socket at the path. Where this process may still hand over, the
        // loop binds the path again.
        if shared.relay.borrow().is_handed_over() {
            // No successor is left to transfer connections to. Standby makes the connections migrate before
            // this process ends.
            shared.with_core(|relay, now| relay.enter_standby(now));
            return wait_until_finished(&shared).await;
        }
    }
}

/// Serves one successor after another until a successor has taken the relay over and its link has ended.
async fn serve_successors(shared: &Rc<Shared>, listener: &UnixListener, path: &Path) {
    let owner = std::fs::metadata(path).map(|metadata| metadata.uid());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let is_same_user =
            stream.peer_cred().is_ok_and(|peer| owner.as_ref().is_ok_and(|owner| peer.uid() == *owner));
        if !is_same_user {
            warn!("hand-over: refused a process of another user");
            continue;
        }
        let mut state = PredecessorProcess::default();
        if let Err(e) = serve_successor(shared, &mut state, listener, stream).await {
            warn!("hand-over: {e}");
        }
        shared.line_rules.ids().borrow_mut().stop_tracking_hashes();
        if state.resumes_accepting(shared.is_terminated.get()) {
            warn!("hand-over: failed; this process continues to serve");
            shared.relay.borrow_mut().resume_serving();
            shared.accepting.send_replace(true);
        }
        if state == PredecessorProcess::HandedOver {
            return;
        }
    }
}

/// Serves one successor, and refuses all others until its hand-over ends.
async fn serve_successor(
    shared: &Rc<Shared>,
    state: &mut PredecessorProcess,
    listener: &UnixListener,
    stream: UnixStream,
) -> io::Result<()> {
    let mut hand_over = std::pin::pin!(HandOver::new(shared, state, Link::new(stream)).run());
    loop {
        tokio::select! {
            ended = &mut hand_over => return ended,
            Ok((other, _)) = listener.accept() => {
                spawn_local(refuse_second_successor(Link::new(other)));
            }
        }
    }
}

/// Waits until this process is finished, once no successor is left to transfer connections to.
async fn wait_until_finished(shared: &Rc<Shared>) {
    // Without a receiver, a connection can't be queued for transfer, and stays in this process.
    drop(shared.transfers.receiver.borrow_mut().take());
    while !is_finished(shared) {
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
    shared.hand_over_finished.notify_one();
}

fn bind(path: &Path) -> io::Result<UnixListener> {
    match std::fs::symlink_metadata(path) {
        Ok(old) if old.file_type().is_socket() => std::fs::remove_file(path)?,
        Ok(_) => return Err(io::Error::other("the path exists and is not a socket")),
        Err(_) => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// Refuses a second successor. The second successor's first message is read before the refusal is sent, since
/// closing a socket with unread bytes would discard the reply.
async fn refuse_second_successor(mut link: Link) {
    let _ = timeout(SEND_TIMEOUT, link.next()).await;
    let _ = refuse(&mut link, "another process is taking over").await;
}
