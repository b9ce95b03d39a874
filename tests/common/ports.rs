//! Ports that no other process takes during a test.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    std::net::{Ipv4Addr, SocketAddr},
    tokio::net::TcpSocket,
};

/// Ports on loopback that stay reserved for the processes of a test.
///
/// A socket that is bound but does not listen keeps others from the port, while a listener that
/// allows the address to be reused, as those of the programs do, can still take it.
#[derive(Debug)]
pub struct ReservedPorts(Vec<TcpSocket>);

impl ReservedPorts {
    /// Reserves ports on the usual address.
    pub fn new(count: usize) -> Self {
        Self::on(Ipv4Addr::LOCALHOST, count)
    }

    /// Reserves ports on an address.
    pub fn on(ip: Ipv4Addr, count: usize) -> Self {
        let reserve = |_| {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_reuseaddr(true).unwrap();
            socket.bind(SocketAddr::from((ip, 0))).unwrap();
            socket
        };
        Self((0..count).map(reserve).collect())
    }

    /// Returns the address of one of them.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.0[index].local_addr().unwrap()
    }
}
