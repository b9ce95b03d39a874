//! Has the kernel notice connections whose other end is gone.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// How long a connection may be quiet before it is probed.
const PROBE_AFTER: Duration = Duration::from_secs(5);

/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The probes without an answer after which a connection is closed.
const PROBES_MAX: u32 = 5;

/// How long sent bytes may stay without an acknowledgement.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(10);

/// Sets up a connection: small writes leave at once, and a vanished other end is noticed.
pub(crate) fn set_up(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MAX);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
