//! The pool of connections to runners.

use {
    super::{RequestWrites, RunnerConnection, WriteTracker},
    crate::{
        discovery::{RunnerEntry, RunnerKey},
        http::{Body, HeadAllowance, HeadGuard, Liveness, set_up_liveness_with},
        request_memory::RequestMemory,
    },
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{self, Instant},
    },
};

/// The longest wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest wait for an idle connection to become ready.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// The idle timeout of a connection whose runner states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// The longest idle timeout that counts, whatever a runner states.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(3_600);

/// The smallest margin before the end of the idle timeout in which a connection is not reused.
const IDLE_MARGIN_MIN: Duration = Duration::from_millis(300);

/// How long no connection to a runner is reused after a response that belongs to another request.
const QUARANTINE_TIME: Duration = Duration::from_secs(5);

/// The largest head of a runner's response, in bytes.
const RESPONSE_HEAD_MAX_BYTES: usize = 64 * 1024;

/// The reason why there is no connection to a runner; no byte of the request was sent.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// This node's share of the runner's connections is used up.
    #[error("all connections to the runner are in use")]
    NoFreeConnection,
    /// The connection was not established in time.
    #[error("connecting timed out")]
    TimedOut,
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Io(#[from] io::Error),
    /// The HTTP handshake failed.
    #[error("the HTTP handshake failed: {0}")]
    Handshake(#[from] hyper::Error),
}

/// An established connection.
#[derive(Debug)]
pub(super) struct OpenConnection {
    pub(super) sender: SendRequest<Body>,
    task: AbortHandle,
    pub(super) writes: RequestWrites,
    /// The bytes that may be read before the head of a response.
    pub(super) head: HeadAllowance,
    /// The end of the time in which an idle connection may be reused.
    usable_until: Instant,
    _reservation: Arc<()>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The connections to one runner.
#[derive(Debug)]
struct RunnerConnections {
    runner: RunnerKey,
    idle: Vec<OpenConnection>,
    /// The end of the time in which each request gets a new connection.
    quarantined_until: Option<Instant>,
    /// Each open connection holds a clone; the strong count is the number of connections plus one.
    open_count: Arc<()>,
}

impl RunnerConnections {
    /// Closes the idle connections that may not be reused any more.
    fn prune(&mut self) {
        let now = Instant::now();
        let usable = |open: &OpenConnection| open.usable_until > now && !open.sender.is_closed();
        self.idle.retain(usable);
    }

    fn is_quarantined(&self) -> bool {
        self.quarantined_until
            .is_some_and(|until| Instant::now() < until)
    }

    fn is_needed(&self) -> bool {
        Arc::strong_count(&self.open_count) > 1 || self.is_quarantined()
    }
}

/// The connections of a node to runners; each serves one request at a time.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    runners: Mutex<Vec<RunnerConnections>>,
    /// The memory of responses on these connections.
    pub(super) memory: RequestMemory,
}

impl ConnectionPool {
    /// Creates a pool without connections, whose responses use this memory.
    pub(super) fn new(memory: RequestMemory) -> Arc<Self> {
        Arc::new(Self {
            runners: Mutex::default(),
            memory,
        })
    }

    /// Returns a connection to a runner: an idle one if possible and `may_reuse`.
    ///
    /// # Errors
    ///
    /// Returns an error when all connections are in use or a new one cannot be established.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        runner: &RunnerEntry,
        connections_max: usize,
        may_reuse: bool,
    ) -> Result<RunnerConnection, ConnectError> {
        let new_connection = |open, is_reused| RunnerConnection {
            runner: runner.key.clone(),
            open: Some(open),
            pool: self.clone(),
            is_reused,
        };
        while may_reuse && let Some(mut open) = self.pop_idle(&runner.key) {
            let ready = time::timeout(READY_TIMEOUT, open.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(new_connection(open, true));
            }
        }
        let reservation = self.reserve(&runner.key, connections_max)?;
        let connecting = connect(runner.address, reservation);
        match time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(connected) => Ok(new_connection(connected?, false)),
            Err(_) => Err(ConnectError::TimedOut),
        }
    }

    /// Adds an idle connection, unless the runner responded before it read the whole request.
    pub(super) fn return_idle(
        &self,
        runner: &RunnerKey,
        mut open: OpenConnection,
        limit_s: Option<u64>,
    ) {
        if open.writes.is_pending() || open.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let stated = limit_s.map(|limit_s| Duration::from_secs(limit_s).min(IDLE_TIMEOUT_MAX));
        let idle = stated.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let margin = IDLE_MARGIN_MIN.max(idle / 5);
        open.usable_until = now + idle.saturating_sub(margin);
        let mut runners = self.lock();
        let Ok(position) = position(&runners, runner) else {
            return;
        };
        if !runners[position].is_quarantined() {
            runners[position].idle.push(open);
        }
    }

    /// Closes the idle connections to a runner after one of them stopped responding.
    pub(super) fn close_idle(&self, runner: &RunnerKey) {
        let mut runners = self.lock();
        if let Ok(position) = position(&runners, runner) {
            runners[position].idle.clear();
        }
    }

    /// Stops the reuse of connections to a runner for a while, after one of them carried a response
    /// to another request.
    pub(super) fn quarantine(&self, runner: &RunnerKey) {
        let mut runners = self.lock();
        if let Ok(position) = position(&runners, runner) {
            runners[position].idle.clear();
            runners[position].quarantined_until = Some(Instant::now() + QUARANTINE_TIME);
        }
    }

    /// Removes and returns the idle connection that was used last.
    fn pop_idle(&self, runner: &RunnerKey) -> Option<OpenConnection> {
        let mut runners = self.lock();
        let position = position(&runners, runner).ok()?;
        let idle = &mut runners[position].idle;
        let now = Instant::now();
        loop {
            let open = idle.pop()?;
            if open.usable_until > now && !open.sender.is_closed() {
                return Some(open);
            }
        }
    }

    /// Counts a new connection.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError::NoFreeConnection`] when this node's share is used up.
    fn reserve(&self, runner: &RunnerKey, connections_max: usize) -> Result<Arc<()>, ConnectError> {
        let mut runners = self.lock();
        runners.retain_mut(|entry| {
            entry.prune();
            entry.runner == *runner || entry.is_needed()
        });
        let position = position(&runners, runner).unwrap_or_else(|position| {
            let entry = RunnerConnections {
                runner: runner.clone(),
                idle: Vec::new(),
                quarantined_until: None,
                open_count: Arc::default(),
            };
            runners.insert(position, entry);
            position
        });
        let entry = &mut runners[position];
        if Arc::strong_count(&entry.open_count) > connections_max {
            return Err(ConnectError::NoFreeConnection);
        }
        Ok(entry.open_count.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RunnerConnections>> {
        self.runners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn position(runners: &[RunnerConnections], runner: &RunnerKey) -> Result<usize, usize> {
    runners.binary_search_by(|entry| entry.runner.cmp(runner))
}

async fn connect(
    address: SocketAddr,
    reservation: Arc<()>,
) -> Result<OpenConnection, ConnectError> {
    let stream = TcpStream::connect(address).await?;
    set_up_liveness_with(&stream, Liveness::PROMPT)?;
    let stream = WriteTracker::new(stream);
    let writes = stream.writes();
    let stream = HeadGuard::new(stream);
    let head = stream.allowance();
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(RESPONSE_HEAD_MAX_BYTES)
        .handshake::<_, Body>(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move {
        let _ = driver.await;
    });
    Ok(OpenConnection {
        sender,
        task: task.abort_handle(),
        writes,
        head,
        usable_until: Instant::now(),
        _reservation: reservation,
    })
}
