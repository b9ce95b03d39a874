//! Free ports of the loopback interface.

use {
    super::ExperimentError,
    std::net::{SocketAddr, TcpListener},
};

/// The ports that are tried; the system gives those above to outgoing connections.
const TRIED: std::ops::Range<u16> = 10_000..32_000;

/// Addresses that were free when they were found, each given out once.
#[derive(Debug)]
pub(super) struct Ports {
    wanted: usize,
    free: std::vec::IntoIter<SocketAddr>,
}

impl Ports {
    /// Finds so many addresses, in an order that differs between runs.
    ///
    /// # Errors
    ///
    /// Fails when there are not enough.
    pub(super) fn find(wanted: usize) -> Result<Self, ExperimentError> {
        let first = rand::random_range(TRIED);
        let ports = (first..TRIED.end).chain(TRIED.start..first);
        let addresses = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
        let is_free = |address: &SocketAddr| TcpListener::bind(address).is_ok();
        let free: Vec<SocketAddr> = addresses.filter(is_free).take(wanted).collect();
        if free.len() < wanted {
            return Err(ExperimentError::Ports { wanted });
        }
        Ok(Self {
            wanted,
            free: free.into_iter(),
        })
    }

    /// Returns the next address.
    ///
    /// # Errors
    ///
    /// Fails when all were given out.
    pub(super) fn next(&mut self) -> Result<SocketAddr, ExperimentError> {
        let wanted = self.wanted;
        self.free.next().ok_or(ExperimentError::Ports { wanted })
    }
}
