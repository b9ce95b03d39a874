//! Has the kernel notice connections whose other end is gone.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// When the kernel gives up a connection whose other end is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Liveness {
    /// How long a connection may be quiet before it is probed.
    probe_after: Duration,
    /// The probes without an answer after which a connection is closed.
    probes_max: u32,
    /// How long bytes and probes may stay without an acknowledgement.
    unacknowledged_max: Duration,
}

impl Liveness {
    /// For connections that carry requests of callers.
    pub const PATIENT: Self = Self {
        probe_after: Duration::from_secs(5),
        probes_max: 5,
        unacknowledged_max: Duration::from_secs(10),
    };

    /// For connections on which silence is long but the other end must be there.
    pub const PROMPT: Self = Self {
        probe_after: Duration::from_secs(1),
        probes_max: 2,
        unacknowledged_max: Duration::from_secs(2),
    };

    /// For connections that cost little to open again: one lost probe ends them.
    pub const STRICT: Self = Self {
        probes_max: 1,
        ..Self::PROMPT
    };
}

/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets up a connection: small writes leave at once, and a vanished other end is noticed.
pub(crate) fn set_up(stream: &TcpStream) -> io::Result<()> {
    set_up_with(stream, Liveness::PATIENT)
}

/// Sets up a connection like [`set_up`], with limits of its own.
pub(crate) fn set_up_with(stream: &TcpStream, liveness: Liveness) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(liveness.probe_after)
        .with_interval(PROBE_INTERVAL)
        .with_retries(liveness.probes_max);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(liveness.unacknowledged_max))
}
