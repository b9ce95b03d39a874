//! A backend server of a plain service as seen from this entry.

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

/// How long a backend server that failed gets no new work while others can take it.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(1);

/// How long a backend server that said it is leaving gets no new work; one that starts again at
/// the same address cannot be told from it.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// A backend server, with what this entry has seen of it.
#[derive(Debug)]
pub struct Backend {
    /// Its name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it is in.
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
    /// Makes a backend server of which nothing has been seen.
    pub fn new(name: Arc<str>, address: SocketAddr, data_centre: DataCentreName) -> Self {
        Self {
            name,
            address,
            data_centre,
            in_flight: AtomicU32::new(0),
            observations: Mutex::default(),
        }
    }

    /// Counts a request in flight to this backend server.
    pub fn start_request(self: &Arc<Self>) -> BackendInFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        BackendInFlightGuard(self.clone())
    }

    /// Returns the requests of this entry that are with it.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Takes note that it is leaving.
    pub fn record_leaving(&self) {
        self.observations().leaving_until = Some(Instant::now() + LEAVING_TTL);
    }

    /// Returns whether it said lately that it is leaving.
    pub fn has_announced_leaving(&self) -> bool {
        let until = self.observations().leaving_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Takes note of a refused or silent connection.
    pub fn record_failure(&self) {
        self.observations().failed_until = Some(Instant::now() + FAILURE_COOLDOWN);
    }

    /// Returns whether a connection failed lately.
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

/// Counts one request at a backend server until it is dropped.
#[derive(Debug)]
pub struct BackendInFlightGuard(Arc<Backend>);

impl BackendInFlightGuard {
    /// Returns the backend server.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.0
    }
}

impl Drop for BackendInFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
