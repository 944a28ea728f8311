//! Links between relays and before single addresses, on which datagrams and connections are delayed, lost
//! and cut.
//!
//! A [`DatagramMesh`] owns one UDP socket for each relay; a [`TcpLink`] owns a listener before one address.
//! Their inputs are the faults of each link. Neither reads more of what passes than the kind of a datagram.

mod mesh;
mod tcp_link;

pub use mesh::{Datagram, DatagramCounts, DatagramMesh, DelayRange, LinkFaults, datagram_kind};
pub use tcp_link::{LinkMode, TcpLink};
