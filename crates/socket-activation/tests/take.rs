//! Which descriptors are taken for a listening socket.

use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsRawFd, IntoRawFd};

use sandgw_socket_activation::take;

#[test]
fn a_listening_socket_is_taken_and_its_number_is_free() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let number = listener.into_raw_fd();
    let taken = take(number).unwrap();
    assert_eq!(taken.local_addr().unwrap(), address);
    TcpStream::connect(address).unwrap();
}

#[test]
fn what_is_no_listening_stream_socket_is_refused_and_left_open() {
    let datagrams = UdpSocket::bind("127.0.0.1:0").unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let file = std::fs::File::open("/dev/null").unwrap();
    for (number, why) in [
        (datagrams.as_raw_fd(), "is no stream socket"),
        (stream.as_raw_fd(), "does not listen"),
        (file.as_raw_fd(), "is no socket"),
        (1, "is a standard stream"),
        (-1, "is a standard stream"),
        (1_000_000, "descriptor 1000000"),
    ] {
        let said = take(number).unwrap_err().to_string();
        assert!(said.contains(why), "{said}");
    }
    datagrams.send_to(b"x", datagrams.local_addr().unwrap()).unwrap();
    assert!(file.metadata().is_ok());
}
