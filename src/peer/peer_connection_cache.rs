//! A cache of idle connections to other keepers.

use {super::PeerClient, std::net::SocketAddr};

/// The largest number of cached connections.
const CONNECTIONS_MAX: usize = 16;

/// Idle connections to other keepers, in the order of insertion.
#[derive(Default)]
pub struct PeerConnectionCache {
    connections: Vec<(SocketAddr, PeerClient)>,
}

impl PeerConnectionCache {
    /// Removes and returns the connection to an address, if one is cached.
    pub fn remove(&mut self, address: SocketAddr) -> Option<PeerClient> {
        let position = self
            .connections
            .iter()
            .position(|(known, _)| *known == address)?;
        Some(self.connections.remove(position).1)
    }

    /// Caches a connection after a successful call; a full cache drops its oldest connection.
    pub fn insert(&mut self, address: SocketAddr, peer: PeerClient) {
        if self.connections.len() >= CONNECTIONS_MAX {
            self.connections.remove(0);
        }
        self.connections.push((address, peer));
    }
}
