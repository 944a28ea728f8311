//! Accepts clients, while this process is the one that serves.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::admission::{Admission, DescriptorPermit};

/// Pause before the next accept when there is no descriptor for it, though they are counted: the process
/// has fewer than its configuration says.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A shortage of descriptors is over when there has been none for so long.
const SHORTAGE_OVER: Duration = Duration::from_secs(5);

/// Waits until this process accepts, or no longer does.
pub async fn wait_for_accepting(accepting: &mut watch::Receiver<bool>, expected: bool) {
    if accepting.wait_for(|is_accepting| *is_accepting == expected).await.is_err() {
        // The sender is gone, so it can't change any more.
        std::future::pending().await
    }
}

/// Waits for some work while this process accepts; `None` where it stopped accepting first.
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

/// Accepts whenever this process is to, for as long as the program runs.
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
                // Logged once for each shortage, so that clients can't fill the log. A client accepted now
                // and then, for which another made room, does not end the shortage.
                let is_new =
                    last_shortage.replace(Instant::now()).is_none_or(|last| last.elapsed() > SHORTAGE_OVER);
                if is_new {
                    warn!("accept: {e}");
                }
                admission.evict_idle();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
