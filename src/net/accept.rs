//! Accepts clients' connections while this process, and not its predecessor or successor, is the one that
//! serves.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::admission::{Admission, DescriptorPermit};

/// Pause before the next accept after an accept has failed for want of a descriptor. Since descriptors are
/// counted, that happens only if the process may open fewer than its configuration says.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A shortage of descriptors counts as over when no accept has failed for this long.
const SHORTAGE_END_DELAY: Duration = Duration::from_secs(5);

/// Waits until this process accepts (`expected` is true) or no longer accepts (`expected` is false).
pub async fn wait_for_accepting(accepting: &mut watch::Receiver<bool>, expected: bool) {
    if accepting.wait_for(|is_accepting| *is_accepting == expected).await.is_err() {
        // The sender has been dropped, so the value can't change any more.
        std::future::pending().await
    }
}

/// Waits until this process accepts, then carries out `work`. Returns `None` if the process stops accepting
/// before `work` is done.
pub async fn while_accepting<T>(
    accepting: &mut watch::Receiver<bool>,
    work: impl Future<Output = T>,
) -> Option<T> {
    wait_for_accepting(accepting, true).await;
    tokio::select! {
        biased;
        () = wait_for_accepting(accepting, false) => None,
        done = work => Some(done),
    }
}

/// Accepts connections whenever this process is the one that serves, for as long as the program runs.
pub async fn accept(
    admission: Rc<Admission>,
    mut accepting: watch::Receiver<bool>,
    listener: TcpListener,
    serve: impl Fn(TcpStream, SocketAddr, DescriptorPermit),
) {
    let mut last_shortage: Option<Instant> = None;
    loop {
        let Some(accepted) = while_accepting(&mut accepting, listener.accept()).await else { continue };
        match accepted {
            Ok((client, from)) => serve(client, from, admission.acquire().await),
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                // The error is logged once for each shortage, so that clients can't fill the log. A client
                // that is accepted in between, because another client was evicted for that client, does not
                // end the shortage.
                let is_new = last_shortage
                    .replace(Instant::now())
                    .is_none_or(|last| last.elapsed() > SHORTAGE_END_DELAY);
                if is_new {
                    warn!("accept: {e}");
                }
                admission.evict_idle();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
