//! An HTTP/1.1 client that pools connections and sends one request at a time on each.

use {
    super::{
        Body, Connection, HeadGuard, Liveness, SendError,
        idle_connections::{IdleConnection, IdleConnections},
        liveness,
    },
    crate::security::Tls,
    hyper::{Request, Response, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        time::{self, Instant},
    },
};

/// The largest number of connections on which a request is tried.
///
/// An idle connection may prove to be closed, so that the request was not sent.
const SEND_ATTEMPTS_MAX: usize = 8;

/// The largest accepted response head, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// An HTTP client with a pool of idle connections.
#[derive(Debug, Clone)]
pub struct Client {
    connect_timeout: Duration,
    liveness: Liveness,
    idle: Arc<IdleConnections>,
    tls: Option<Tls>,
}

/// A response whose body has not been read, and its connection.
#[derive(Debug)]
pub struct Exchange {
    /// The response.
    pub response: Response<Incoming>,
    /// The connection of the response; dropping it before the body is read aborts the response.
    pub connection: Connection,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new(connect_timeout: Duration) -> Self {
        Self::with_liveness(connect_timeout, Liveness::PATIENT)
    }

    /// Creates a client with an empty pool whose connections have the timeouts of `liveness`.
    pub fn with_liveness(connect_timeout: Duration, liveness: Liveness) -> Self {
        Self {
            connect_timeout,
            liveness,
            idle: Arc::default(),
            tls: None,
        }
    }

    /// Returns a client that connects by TLS if `tls` is given, and in plain text otherwise.
    pub fn with_tls(self, tls: Option<Tls>) -> Self {
        Self { tls, ..self }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// After [`SendError::Broken`] the request may have run; after other errors it was not sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Exchange, SendError> {
        for _ in 0..SEND_ATTEMPTS_MAX {
            let mut connection = self.checkout_or_connect(address).await?;
            let Some(sent) = connection.send(request).await else {
                return Err(SendError::NotConnected(
                    "the connection is closed".to_owned(),
                ));
            };
            let mut failure = match sent {
                Ok(response) => {
                    return Ok(Exchange {
                        response,
                        connection,
                    });
                }
                Err(failure) => failure,
            };
            match failure.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(SendError::Broken(failure.into_error().to_string())),
            }
        }
        let text = "too many idle connections were closed";
        Err(SendError::NotConnected(text.to_owned()))
    }

    /// Closes the idle connections to an address.
    ///
    /// Called after one connection to the address timed out, since the others may be dead too.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.close_all(address);
    }

    async fn checkout_or_connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        while let Some(idle) = self.idle.checkout(address) {
            let mut connection = Connection::new(address, idle, self.idle.clone());
            let ready = time::timeout(self.connect_timeout, connection.ready());
            if ready.await == Ok(true) {
                return Ok(connection);
            }
        }
        match time::timeout(self.connect_timeout, self.connect(address)).await {
            Ok(connected) => connected,
            Err(_) => Err(SendError::NotConnected(
                "the connection attempt timed out".to_owned(),
            )),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let stream = TcpStream::connect(address).await.map_err(connect_error)?;
        let not_connected = |cause: String| SendError::NotConnected(cause);
        liveness::set_up_with(&stream, self.liveness)
            .map_err(|cause| not_connected(cause.to_string()))?;
        match &self.tls {
            None => self.handshake(address, stream).await,
            Some(tls) => {
                let connecting = Box::pin(tls.connect(stream, address));
                let stream = connecting
                    .await
                    .map_err(|cause| not_connected(cause.to_string()))?;
                self.handshake(address, stream).await
            }
        }
    }

    /// Performs the HTTP handshake on a new connection and starts the task that drives it.
    async fn handshake(
        &self,
        address: SocketAddr,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    ) -> Result<Connection, SendError> {
        let not_connected = |cause: String| SendError::NotConnected(cause);
        let stream = HeadGuard::new(stream);
        let head = stream.allowance();
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake::<_, Body>(TokioIo::new(stream))
            .await
            .map_err(|cause| not_connected(cause.to_string()))?;
        let task = tokio::spawn(async move {
            let _ = driver.await;
        });
        let open = IdleConnection {
            sender,
            task: task.abort_handle(),
            head,
            idle_since: Instant::now(),
        };
        Ok(Connection::new(address, open, self.idle.clone()))
    }
}

fn connect_error(cause: io::Error) -> SendError {
    match cause.kind() {
        io::ErrorKind::ConnectionRefused => SendError::ConnectionRefused,
        _ => SendError::NotConnected(cause.to_string()),
    }
}
