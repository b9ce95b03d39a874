//! Connections to other keepers that are kept between calls.

use {super::PeerClient, std::net::SocketAddr};

/// Connections that are kept at once.
const CONNECTIONS_MAX: usize = 16;

/// Connections to other keepers that are kept between calls, the oldest first.
#[derive(Default)]
pub struct PeerConnections {
    kept: Vec<(SocketAddr, PeerClient)>,
}

impl PeerConnections {
    /// Takes out the connection to an address, if one is kept.
    pub fn take(&mut self, address: SocketAddr) -> Option<PeerClient> {
        let position = self.kept.iter().position(|(known, _)| *known == address)?;
        Some(self.kept.remove(position).1)
    }

    /// Keeps a connection after a good call; the oldest one goes when there are too many.
    pub fn keep(&mut self, address: SocketAddr, peer: PeerClient) {
        if self.kept.len() >= CONNECTIONS_MAX {
            self.kept.remove(0);
        }
        self.kept.push((address, peer));
    }
}
