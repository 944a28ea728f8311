//! The few calls of the C library that the standard library does not offer: signals, a reset at close, and the
//! end of a child with its parent.

use std::net::{Ipv4Addr, TcpStream};
use std::os::fd::AsRawFd;

/// The loopback address of this process's stand-ins and relays. It is no other process's, so that nobody takes
/// a port between the search for a free one and its use.
pub fn host() -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 16 + (process / 250 % 200) as u8, 1 + (process % 250) as u8, 1)
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;
const PR_SET_PDEATHSIG: i32 = 1;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Sends a signal to a process that the case has started.
pub fn send_signal(process: u32, signal: i32) {
    // SAFETY: the call takes two numbers.
    unsafe { kill(process as i32, signal) };
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let length = size_of::<Linger>() as u32;
    // SAFETY: the value lives until the call returns, and its length is given.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
    // The reset is sent by the close, when the last handle is dropped; a shutdown of the reading side makes
    // other handles end.
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

/// Has this process killed when its parent ends. To be called in a child before it runs its program.
pub fn end_with_parent() {
    // SAFETY: the call takes two numbers.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
}
