//! Free ports of the loopback interface.

use {
    super::ExperimentError,
    std::net::{SocketAddr, TcpListener},
};

/// The ports that are tried; the system gives those above to outgoing connections.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Finds free ports, in an order that differs between runs.
///
/// # Errors
///
/// Fails when there are not enough.
pub(super) fn find_addresses(wanted: usize) -> Result<Vec<SocketAddr>, ExperimentError> {
    let first = rand::random_range(PORTS);
    let ports = (first..PORTS.end).chain(PORTS.start..first);
    let addresses = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let is_free = |address: &SocketAddr| TcpListener::bind(address).is_ok();
    let free: Vec<SocketAddr> = addresses.filter(is_free).take(wanted).collect();
    if free.len() < wanted {
        return Err(ExperimentError::Ports { wanted });
    }
    Ok(free)
}
