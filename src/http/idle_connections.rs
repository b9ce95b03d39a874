//! The pool of idle connections of a client, by address.

use {
    super::{Body, HeadAllowance},
    hyper::client::conn::http1::SendRequest,
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{task::AbortHandle, time::Instant},
};

/// The number of shards of the pool, each with its own lock.
const SHARD_COUNT: usize = 16;

/// The longest time for which an idle connection can be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The largest number of idle connections for one address.
const IDLE_PER_ADDRESS_MAX: usize = 256;

/// An open connection that is not in use by a request.
#[derive(Debug)]
pub(super) struct IdleConnection {
    pub(super) sender: SendRequest<Body>,
    pub(super) task: AbortHandle,
    /// The bytes that may be read before the head of a response.
    pub(super) head: HeadAllowance,
    pub(super) idle_since: Instant,
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A part of the pool, sorted by address.
#[derive(Debug, Default)]
struct Shard(Vec<(SocketAddr, Vec<IdleConnection>)>);

/// The idle connections of a client.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    shards: [Mutex<Shard>; SHARD_COUNT],
}

impl IdleConnections {
    /// Removes and returns the most recently used connection to an address.
    ///
    /// If it has been idle for too long, closes all idle connections to the address.
    pub(super) fn checkout(&self, address: SocketAddr) -> Option<IdleConnection> {
        let mut shard = self.shard(address);
        let position = shard.0.binary_search_by_key(&address, |entry| entry.0);
        let idle = &mut shard.0[position.ok()?].1;
        let connection = idle.pop()?;
        if connection.idle_since.elapsed() > IDLE_TIMEOUT {
            idle.clear();
            return None;
        }
        Some(connection)
    }

    /// Adds a connection, or closes it if the address has too many.
    pub(super) fn insert(&self, address: SocketAddr, connection: IdleConnection) {
        let mut shard = self.shard(address);
        let position = match shard.0.binary_search_by_key(&address, |entry| entry.0) {
            Ok(position) => position,
            Err(position) => {
                shard.0.insert(position, (address, Vec::new()));
                position
            }
        };
        let idle = &mut shard.0[position].1;
        if idle.len() < IDLE_PER_ADDRESS_MAX {
            idle.push(connection);
        }
    }

    /// Closes all idle connections to an address.
    pub(super) fn close_all(&self, address: SocketAddr) {
        let mut shard = self.shard(address);
        shard.0.retain(|entry| entry.0 != address);
    }

    fn shard(&self, address: SocketAddr) -> MutexGuard<'_, Shard> {
        let octets = match address.ip() {
            std::net::IpAddr::V4(ip) => u32::from(ip) as usize,
            std::net::IpAddr::V6(ip) => u128::from(ip) as usize,
        };
        let shard = (octets + usize::from(address.port())) % SHARD_COUNT;
        self.shards[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
