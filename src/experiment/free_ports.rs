//! Allocation of free ports on the loopback interface.

use {
    super::ExperimentError,
    std::net::{SocketAddr, TcpListener},
};

/// Ports that may be used. Higher ports are ephemeral: the operating system assigns them to outgoing
/// connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Loopback addresses that were free when they were found, each handed out once.
#[derive(Debug)]
pub(super) struct FreePorts {
    needed: usize,
    free: std::vec::IntoIter<SocketAddr>,
}

impl FreePorts {
    /// Finds free addresses, starting at a random port so that parallel runs rarely collide.
    ///
    /// # Errors
    ///
    /// Fails if fewer than `needed` ports are free.
    pub(super) fn find(needed: usize) -> Result<Self, ExperimentError> {
        let first = rand::random_range(PORT_RANGE);
        let ports = (first..PORT_RANGE.end).chain(PORT_RANGE.start..first);
        let addresses = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        let is_free = |address: &SocketAddr| TcpListener::bind(address).is_ok();
        let free: Vec<SocketAddr> = addresses.filter(is_free).take(needed).collect();
        if free.len() < needed {
            return Err(ExperimentError::Ports { needed });
        }
        Ok(Self {
            needed,
            free: free.into_iter(),
        })
    }

    /// Returns the next address.
    ///
    /// # Errors
    ///
    /// Fails if all addresses were handed out.
    pub(super) fn next(&mut self) -> Result<SocketAddr, ExperimentError> {
        let needed = self.needed;
        self.free.next().ok_or(ExperimentError::Ports { needed })
    }
}
