//! Which of a listener's connections closes when there are too many.
//!
//! Answers clients that open many connections and finish no request on them, or leave answers
//! unread: the connection without a request in work that was used longest ago closes for a new one.

use {
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::time::Instant,
    tokio_util::sync::CancellationToken,
};

/// Identifies an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

#[derive(Debug)]
struct Entry {
    id: ConnectionId,
    requests: usize,
    used_at: Instant,
    close: CancellationToken,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    connections_max: usize,
    /// By id, as ids increase.
    entries: Vec<Entry>,
    last_id: u64,
}

impl ConnectionTable {
    /// Creates a table without connections.
    pub fn new(connections_max: usize) -> Self {
        Self {
            connections_max,
            entries: Vec::new(),
            last_id: 0,
        }
    }

    /// Adds a connection that `close` closes; at the limit another one closes, or `None` returns
    /// as all have requests in work.
    pub fn admit(&mut self, now: Instant, close: CancellationToken) -> Option<ConnectionId> {
        if self.entries.len() >= self.connections_max {
            let entries = self.entries.iter().enumerate();
            let unused = entries.filter(|(_, entry)| entry.requests == 0);
            let (at, _) = unused.min_by_key(|(_, entry)| entry.used_at)?;
            self.entries.remove(at).close.cancel();
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.entries.push(Entry {
            id,
            requests: 0,
            used_at: now,
            close,
        });
        Some(id)
    }

    /// Notes that a request on a connection begins.
    pub fn begin_request(&mut self, id: ConnectionId) {
        if let Some(entry) = self.find(id) {
            entry.requests += 1;
        }
    }

    /// Notes that the answer to a request was handed over.
    pub fn end_request(&mut self, id: ConnectionId, now: Instant) {
        if let Some(entry) = self.find(id) {
            entry.requests -= 1;
            entry.used_at = now;
        }
    }

    /// Removes a connection that closed.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Ok(at) = self.entries.binary_search_by_key(&id, |entry| entry.id) {
            self.entries.remove(at);
        }
    }

    fn find(&mut self, id: ConnectionId) -> Option<&mut Entry> {
        let at = self.entries.binary_search_by_key(&id, |entry| entry.id);
        self.entries.get_mut(at.ok()?)
    }
}

/// The open connections of a listener, shared by their tasks.
#[derive(Debug, Clone)]
pub(crate) struct OpenConnections(Arc<Mutex<ConnectionTable>>);

impl OpenConnections {
    pub(crate) fn new(connections_max: usize) -> Self {
        Self(Arc::new(Mutex::new(ConnectionTable::new(connections_max))))
    }

    /// Adds a connection; `None` if it must be refused.
    pub(crate) fn admit(&self) -> Option<OpenGuard> {
        let close = CancellationToken::new();
        let id = self.lock().admit(Instant::now(), close.clone())?;
        Some(OpenGuard {
            connections: self.clone(),
            id,
            close,
        })
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection, removed when it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard {
    connections: OpenConnections,
    id: ConnectionId,
    /// Cancelled when the connection must close for another.
    pub(crate) close: CancellationToken,
}

impl OpenGuard {
    /// Returns a guard of a request on the connection, which ends when it is dropped.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        self.connections.lock().begin_request(self.id);
        RequestGuard {
            connections: self.connections.clone(),
            id: self.id,
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.connections.lock().remove(self.id);
    }
}

/// A request in work on a connection.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connections: OpenConnections,
    id: ConnectionId,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connections.lock().end_request(self.id, Instant::now());
    }
}
