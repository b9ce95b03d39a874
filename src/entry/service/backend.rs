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
const COOLDOWN: Duration = Duration::from_secs(1);

/// How long a backend server that said it is leaving gets no new work; one that starts again at
/// the same address cannot be told from it.
const LEAVING_MAX: Duration = Duration::from_secs(600);

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
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
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
            seen: Mutex::default(),
        }
    }

    /// Counts a request in flight to this backend server.
    pub fn enter(self: &Arc<Self>) -> BackendUse {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        BackendUse(self.clone())
    }

    /// Returns the requests of this entry that are with it.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Takes note that it is leaving.
    pub fn set_leaving(&self) {
        self.seen().leaving_until = Some(Instant::now() + LEAVING_MAX);
    }

    /// Returns whether it said lately that it is leaving.
    pub fn was_leaving(&self) -> bool {
        let until = self.seen().leaving_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Takes note of a refused or silent connection.
    pub fn set_failed(&self) {
        self.seen().failed_until = Some(Instant::now() + COOLDOWN);
    }

    /// Returns whether a connection failed lately.
    pub fn failed_lately(&self) -> bool {
        let until = self.seen().failed_until;
        until.is_some_and(|until| Instant::now() < until)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one request at a backend server until it is dropped.
#[derive(Debug)]
pub struct BackendUse(Arc<Backend>);

impl BackendUse {
    /// Returns the backend server.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.0
    }
}

impl Drop for BackendUse {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
