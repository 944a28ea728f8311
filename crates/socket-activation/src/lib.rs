//! Takes a listening socket that the platform has passed as an inherited descriptor.
//!
//! The program forbids unsafe code; a descriptor that is known by its number only can't be had without.
//! This crate is that one place.

#![deny(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, OwnedFd, RawFd};

use socket2::{SockRef, Type};

/// The least number that may be passed: below are the standard streams.
pub const LEAST: RawFd = 3;

/// Takes over the listening stream socket that was inherited under this number; it is not passed on to
/// other programs. It must be called before the process opens any descriptor itself, which could have the
/// number otherwise.
///
/// # Errors
/// What has the number is no listening stream socket, or nothing has it. Nothing is closed then.
pub fn take(number: RawFd) -> io::Result<TcpListener> {
    let wrong =
        |why: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("descriptor {number}: {why}"));
    if number < LEAST {
        return Err(wrong("is a standard stream"));
    }
    // SAFETY: only duplicated, within this statement; a number that nothing has is told by the system.
    #[allow(unsafe_code)]
    let own = unsafe { BorrowedFd::borrow_raw(number) }.try_clone_to_owned();
    let own = own.map_err(|e| wrong(&e.to_string()))?;
    let socket = SockRef::from(&own);
    if socket.r#type().map_err(|_| wrong("is no socket"))? != Type::STREAM {
        return Err(wrong("is no stream socket"));
    }
    if !socket.is_listener()? {
        return Err(wrong("does not listen"));
    }
    if socket.local_addr()?.as_socket().is_none() {
        return Err(wrong("listens for no Internet protocol"));
    }
    socket.set_nonblocking(true)?;
    // SAFETY: it was inherited for this process to own, is open, and by the condition above nobody else
    // here has it.
    #[allow(unsafe_code)]
    drop(unsafe { OwnedFd::from_raw_fd(number) });
    Ok(TcpListener::from(own))
}
