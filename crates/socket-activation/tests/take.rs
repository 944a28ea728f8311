//! Which inherited descriptors are accepted as a listening socket.

use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsRawFd, IntoRawFd};

use sandgw_socket_activation::take;

#[test]
fn a_listening_socket_is_taken_over_and_its_descriptor_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let number = listener.into_raw_fd();
    let taken = take(number).unwrap();
    assert_eq!(taken.local_addr().unwrap(), address);
    TcpStream::connect(address).unwrap();
}

#[test]
fn other_descriptors_are_rejected_and_left_open() {
    let udp_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let file = std::fs::File::open("/dev/null").unwrap();
    for (number, expected) in [
        (udp_socket.as_raw_fd(), "is not a stream socket"),
        (stream.as_raw_fd(), "is not listening"),
        (file.as_raw_fd(), "is not a socket"),
        (1, "is a standard stream"),
        (-1, "is a standard stream"),
        (1_000_000, "descriptor 1000000"),
    ] {
        let message = take(number).unwrap_err().to_string();
        assert!(message.contains(expected), "{message}");
    }
    udp_socket.send_to(b"x", udp_socket.local_addr().unwrap()).unwrap();
    assert!(file.metadata().is_ok());
}
