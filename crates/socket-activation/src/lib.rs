//! Takes over a listening socket that the platform has passed as an inherited descriptor.
//!
//! The program forbids unsafe code, but a descriptor that is known only by its number cannot be taken over
//! without it. This crate is the one place that may use unsafe code.

#![deny(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

use socket2::{SockRef, Type};

/// The lowest descriptor number that may be passed: lower numbers are the standard streams.
pub const MIN_DESCRIPTOR: RawFd = 3;

/// Takes over the listening stream socket that was inherited under descriptor `number`; the socket is not
/// passed on to other programs. This function must be called before the process opens any descriptor itself,
/// which could otherwise have that number.
///
/// # Errors
/// Fails if the descriptor is not open or is not a listening stream socket. Nothing is closed then.
pub fn take(number: RawFd) -> io::Result<TcpListener> {
    let invalid =
        |why: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("descriptor {number}: {why}"));
    if number < MIN_DESCRIPTOR {
        return Err(invalid("is a standard stream"));
    }
    // SAFETY: the descriptor is only duplicated, within this statement; if it is not open, the system reports
    // an error.
    #[allow(unsafe_code)]
    let owned = unsafe { BorrowedFd::borrow_raw(number) }.try_clone_to_owned();
    let owned = owned.map_err(|e| invalid(&e.to_string()))?;
    let socket = SockRef::from(&owned);
    if socket.r#type().map_err(|_| invalid("is not a socket"))? != Type::STREAM {
        return Err(invalid("is not a stream socket"));
    }
    if !socket.is_listener()? {
        return Err(invalid("is not listening"));
    }
    if socket.local_addr()?.as_socket().is_none() {
        return Err(invalid("does not listen on an IP address"));
    }
    socket.set_nonblocking(true)?;
    // SAFETY: the descriptor was inherited for this process to own and is open; nothing else in this process
    // owns it, since this function is called before the process opens any descriptor.
    #[allow(unsafe_code)]
    drop(unsafe { OwnedFd::from_raw_fd(number) });
    Ok(TcpListener::from(owned))
}
