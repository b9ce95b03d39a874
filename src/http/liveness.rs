//! Socket options with which the kernel detects dead connections.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// The limits after which the kernel closes a connection whose peer does not respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Liveness {
    /// The time without traffic after which keep-alive probes are sent.
    probe_after: Duration,
    /// The longest time for which sent data and probes may stay unacknowledged. It also decides
    /// when probes give up, whatever the number of them is set to.
    unacknowledged_max: Duration,
}

impl Liveness {
    /// For connections that carry requests of callers.
    pub const PATIENT: Self = Self {
        probe_after: Duration::from_secs(5),
        unacknowledged_max: Duration::from_secs(10),
    };

    /// For connections that are often idle but whose peer must be reachable: a lost probe closes
    /// them.
    pub const PROMPT: Self = Self {
        probe_after: Duration::from_secs(1),
        unacknowledged_max: Duration::from_secs(2),
    };
}

/// The interval between keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Disables Nagle's algorithm and enables the detection of a dead peer on a connection.
pub(crate) fn set_up(stream: &TcpStream) -> io::Result<()> {
    set_up_with(stream, Liveness::PATIENT)
}

/// Sets up a connection like [`set_up`], with the given limits.
pub(crate) fn set_up_with(stream: &TcpStream, liveness: Liveness) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(liveness.probe_after)
        .with_interval(PROBE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(liveness.unacknowledged_max))
}
