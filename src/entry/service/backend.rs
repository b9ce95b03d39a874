//! A backend server of a plain service, with its state as observed by this entry.

use {
    crate::units::DataCentreName,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

/// How long a backend server gets no new requests after a failure, unless there is no other.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(1);

/// How long a backend server that announced to leave gets no new requests.
///
/// The time is limited because a server that starts again at the same address cannot be
/// distinguished from the one that left.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// A backend server, with its state as observed by this entry.
#[derive(Debug)]
pub struct Backend {
    /// The name of the backend server.
    pub name: Arc<str>,
    /// The address that the backend server listens on.
    pub address: SocketAddr,
    /// The data centre of the backend server.
    pub data_centre: DataCentreName,
    in_flight: AtomicU32,
    observations: Mutex<Observations>,
}

#[derive(Debug, Default)]
struct Observations {
    leaving_until: Option<Instant>,
    failed_until: Option<Instant>,
}

impl Backend {
    /// Creates a backend server without observations.
    pub fn new(name: Arc<str>, address: SocketAddr, data_centre: DataCentreName) -> Self {
        Self {
            name,
            address,
            data_centre,
            in_flight: AtomicU32::new(0),
            observations: Mutex::default(),
        }
    }

    /// Counts a request to this backend server as in flight until the guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> BackendInFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        BackendInFlightGuard(self.clone())
    }

    /// Returns the number of requests of this entry that are in flight to this backend server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records that the backend server announced to leave.
    pub fn record_leaving(&self) {
        self.observations().leaving_until = Some(Instant::now() + LEAVING_TTL);
    }

    /// Returns whether the backend server announced to leave within [`LEAVING_TTL`].
    pub fn has_announced_leaving(&self) -> bool {
        let until = self.observations().leaving_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Records a refused, broken or timed-out connection.
    pub fn record_failure(&self) {
        self.observations().failed_until = Some(Instant::now() + FAILURE_COOLDOWN);
    }

    /// Returns whether a connection failed within [`FAILURE_COOLDOWN`].
    pub fn failed_recently(&self) -> bool {
        let until = self.observations().failed_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one request in flight to a backend server until the guard is dropped.
#[derive(Debug)]
pub struct BackendInFlightGuard(Arc<Backend>);

impl BackendInFlightGuard {
    /// Returns the backend server of the request.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.0
    }
}

impl Drop for BackendInFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
