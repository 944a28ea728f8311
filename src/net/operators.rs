//! Drives the operators' address: a few seats, one line in, one line out.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use log::{debug, info, warn};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Shared;
use super::accept::ACCEPT_PAUSE;
use super::admission::CALLERS;
use crate::relay::operator_calls::{self, CallParser, MAX_CALL_BYTES, OperatorCall, OperatorCallError};

/// A caller that has not said what he wants by then is told so, and his seat is free again.
const PATIENCE: Duration = Duration::from_secs(10);
/// How long a last word may take to reach a caller, and the caller to close after it.
const LINGER: Duration = Duration::from_millis(500);
/// Most that is read of a caller who has to make room.
const LEFT_BYTES: usize = 16 * MAX_CALL_BYTES;

/// How far a caller has come, in the order in which they make room.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    Answered,
    Silent,
    Begun,
}

/// Callers, oldest first, with what tells them to make room.
type Seats = RefCell<BTreeMap<u64, (Progress, Rc<Notify>)>>;

/// A descriptor to let go of when the process has none left for a caller.
type Reserve = RefCell<Option<OwnedFd>>;

fn refill(reserve: &Reserve, listener: &TcpListener) {
    let mut reserve = reserve.borrow_mut();
    if reserve.is_none() {
        *reserve = listener.as_fd().try_clone_to_owned().ok();
    }
}

/// Answers for as long as the program runs.
pub async fn answer(shared: Rc<Shared>, listener: TcpListener) {
    let (seats, reserve, listener) =
        (Rc::new(Seats::default()), Rc::new(Reserve::default()), Rc::new(listener));
    let mut next = 0;
    loop {
        refill(&reserve, &listener);
        let caller = match listener.accept().await {
            Ok((caller, _)) => caller,
            Err(e) => {
                debug!("ops: {e}");
                if reserve.take().is_none() {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    refill(&reserve, &listener);
                    if reserve.borrow().is_none() {
                        clear(&seats);
                    }
                    continue;
                }
                // The system says so even when nobody waits. Then it is kept before anybody else looks for one.
                let waits = poll_fn(|context| Poll::Ready(listener.poll_accept(context))).await;
                let Poll::Ready(Ok((caller, _))) = waits else { continue };
                caller
            }
        };
        if seats.borrow().len() >= CALLERS {
            clear(&seats);
            // He is gone before the next one is accepted.
            tokio::task::yield_now().await;
        }
        let room = Rc::new(Notify::new());
        seats.borrow_mut().insert(next, (Progress::Silent, room.clone()));
        let (shared, seats, id) = (shared.clone(), seats.clone(), next);
        let (reserve, listener) = (reserve.clone(), listener.clone());
        next += 1;
        spawn_local(async move {
            serve(&shared, &seats, id, &room, caller).await;
            seats.borrow_mut().remove(&id);
            // What he gave back, before a client gets it.
            refill(&reserve, &listener);
        });
    }
}

/// Tells one to make room: who has his answer, or else is here longest without a word, or with half a call.
fn clear(seats: &Seats) {
    let mut seats = seats.borrow_mut();
    let first = seats.iter().min_by_key(|(id, (progress, _))| (*progress, **id)).map(|(id, _)| *id);
    if let Some((_, room)) = first.and_then(|id| seats.remove(&id)) {
        room.notify_one();
    }
}

async fn serve(shared: &Rc<Shared>, seats: &Seats, id: u64, room: &Notify, mut stream: TcpStream) {
    let mut caller = CallParser::default();
    let call = tokio::select! {
        biased;
        () = room.notified() => {
            // It fails where he has not asked, or has gone.
            let _ = make_room(shared, caller, &stream);
            return;
        }
        call = timeout(PATIENCE, heard(&mut caller, &mut stream, seats, id)) => call,
    };
    let call = match call {
        Ok(Some(call)) => call,
        Ok(None) => return,
        Err(_) => Err(OperatorCallError::Truncated),
    };
    let answer = match call {
        Ok(OperatorCall::MaintenanceWindow(call)) => shared.window_call(call).await,
        Err(OperatorCallError::MaintenanceWindow(_)) if shared.maintenance.is_none() => {
            Err(OperatorCallError::Unknown)
        }
        call => call.and_then(|call| carry_out(shared, call)),
    };
    let answer = operator_calls::reply_line(answer);
    let last = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        // Closed with something unread, the answer could be lost on its way.
        let mut rest = [0; MAX_CALL_BYTES];
        while stream.read(&mut rest).await? > 0 {}
        std::io::Result::Ok(())
    };
    came_to(seats, id, Progress::Answered);
    tokio::select! {
        biased;
        _ = timeout(LINGER, last) => {}
        () = room.notified() => {}
    }
}

/// Lets go of a caller at once. What he has asked by now is answered, though it was not read yet; who has not asked, or
/// asks for what may have to be waited for, is told nothing.
fn make_room(shared: &Rc<Shared>, mut caller: CallParser, stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let (mut call, mut read, mut buffer) = (None, 0, [0; MAX_CALL_BYTES]);
    while call.is_none() {
        let n = (&*socket).read(&mut buffer)?;
        call = caller.feed(&buffer[..n]);
    }
    let answer = match call {
        None
        | Some(Ok(OperatorCall::MaintenanceWindow(_)) | Err(OperatorCallError::MaintenanceWindow(_))) => {
            return Ok(());
        }
        Some(call) => operator_calls::reply_line(call.and_then(|call| carry_out(shared, call))),
    };
    (&*socket).write_all(answer.as_bytes())?;
    socket.shutdown(Shutdown::Write)?;
    // Closed with something unread, the answer could be lost on its way.
    while read < LEFT_BYTES {
        match (&*socket).read(&mut buffer) {
            Ok(n) if n > 0 => read += n,
            _ => break,
        }
    }
    Ok(())
}

fn came_to(seats: &Seats, id: u64, progress: Progress) {
    seats.borrow_mut().entry(id).and_modify(|(at, _)| *at = progress);
}

/// Reads a call; nothing where the connection breaks.
async fn heard(
    caller: &mut CallParser,
    stream: &mut TcpStream,
    seats: &Seats,
    id: u64,
) -> Option<Result<OperatorCall, OperatorCallError>> {
    let mut buffer = [0; MAX_CALL_BYTES];
    loop {
        let n = stream.read(&mut buffer).await.ok()?;
        if let Some(call) = caller.feed(&buffer[..n]) {
            return Some(call);
        }
        came_to(seats, id, Progress::Begun);
    }
}

fn carry_out(shared: &Rc<Shared>, call: OperatorCall) -> Result<String, OperatorCallError> {
    if shared.relay.borrow().is_handed_over() {
        return Err(OperatorCallError::HandedOver);
    }
    match call {
        OperatorCall::SchemaVersions => return super::schema_version::status(shared),
        OperatorCall::Finalize => return super::schema_version::finalize(shared),
        _ => {}
    }
    let ready = || *shared.accepting.borrow() && shared.relay.borrow().has_endpoint_list();
    match call {
        OperatorCall::Status if !ready() => return Err(OperatorCallError::NotReady),
        // Answered where it may be waited for.
        OperatorCall::Status | OperatorCall::MaintenanceWindow(_) => {}
        OperatorCall::Standby => {
            warn!("operators: standby");
            shared.core(|relay, now| relay.enter_standby(now));
        }
        OperatorCall::Active => {
            info!("operators: active");
            shared.core(|relay, _| relay.activate());
        }
        OperatorCall::SchemaVersions | OperatorCall::Finalize => {}
    }
    let relay = shared.relay.borrow();
    Ok(format!("{}, {} standing", relay.serving_mode(), relay.established_connections()))
}
