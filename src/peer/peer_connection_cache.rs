//! Connections to other keepers that are kept between calls.

use {super::PeerClient, std::net::SocketAddr};

/// Connections that are kept at once.
const CONNECTIONS_MAX: usize = 16;

/// Connections to other keepers that are kept between calls, the oldest first.
#[derive(Default)]
pub struct PeerConnectionCache {
    connections: Vec<(SocketAddr, PeerClient)>,
}

impl PeerConnectionCache {
    /// Takes out the connection to an address, if one is kept.
    pub fn remove(&mut self, address: SocketAddr) -> Option<PeerClient> {
        let position = self
            .connections
            .iter()
            .position(|(known, _)| *known == address)?;
        Some(self.connections.remove(position).1)
    }

    /// Keeps a connection after a good call; the oldest one goes when there are too many.
    pub fn insert(&mut self, address: SocketAddr, peer: PeerClient) {
        if self.connections.len() >= CONNECTIONS_MAX {
            self.connections.remove(0);
        }
        self.connections.push((address, peer));
    }
}
