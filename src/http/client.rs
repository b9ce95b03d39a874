//! The client for backend servers: HTTP/1.1, one request at a time on each connection.

use {
    super::{Body, Connection, Liveness, SendError, idle::IdleConnections, liveness},
    crate::security::Tls,
    hyper::{Request, Response, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        time,
    },
};

/// How often a request moves to another connection because an idle one had closed.
const STALE_CONNECTIONS_MAX: usize = 8;

/// The largest response head accepted, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// A client that keeps idle connections.
#[derive(Debug, Clone)]
pub struct Client {
    connect_timeout: Duration,
    liveness: Liveness,
    idle: Arc<IdleConnections>,
    tls: Option<Tls>,
}

/// A response whose body is yet to be read, and its connection.
#[derive(Debug)]
pub struct Exchange {
    /// The response.
    pub response: Response<Incoming>,
    /// Its connection; to be kept until the body was read.
    pub connection: Connection,
}

impl Client {
    /// Makes a client with an empty pool.
    pub fn new(connect_timeout: Duration) -> Self {
        Self::with_liveness(connect_timeout, Liveness::PATIENT)
    }

    /// Makes a client with an empty pool that closes silent connections by `liveness`.
    pub fn with_liveness(connect_timeout: Duration, liveness: Liveness) -> Self {
        Self {
            connect_timeout,
            liveness,
            idle: Arc::default(),
            tls: None,
        }
    }

    /// Makes connections by TLS from now on, if given.
    pub fn with_tls(self, tls: Option<Tls>) -> Self {
        Self { tls, ..self }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// With [`SendError::Broken`] the request may have run; with the others it never left.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Exchange, SendError> {
        for _ in 0..STALE_CONNECTIONS_MAX {
            let mut connection = self.connection(address).await?;
            let Some(sent) = connection.send(request).await else {
                return Err(SendError::NotConnected("the connection is gone".to_owned()));
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
        let text = "idle connections kept closing";
        Err(SendError::NotConnected(text.to_owned()))
    }

    /// Closes the idle connections to an address, after one of them went silent.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.clear(address);
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, SendError> {
        while let Some(idle) = self.idle.take(address) {
            let mut connection = Connection::reuse(address, idle, self.idle.clone());
            let ready = time::timeout(self.connect_timeout, connection.ready());
            if ready.await == Ok(true) {
                return Ok(connection);
            }
        }
        match time::timeout(self.connect_timeout, self.connect(address)).await {
            Ok(connected) => connected,
            Err(_) => Err(SendError::NotConnected(
                "the connection timed out".to_owned(),
            )),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let stream = TcpStream::connect(address).await.map_err(connect_error)?;
        let failed = |cause: String| SendError::NotConnected(cause);
        liveness::set_up_with(&stream, self.liveness).map_err(|cause| failed(cause.to_string()))?;
        match &self.tls {
            None => self.start(address, stream).await,
            Some(tls) => {
                let connecting = Box::pin(tls.connect(stream, address));
                let stream = connecting
                    .await
                    .map_err(|cause| failed(cause.to_string()))?;
                self.start(address, stream).await
            }
        }
    }

    /// Begins to speak HTTP over a connection.
    async fn start(
        &self,
        address: SocketAddr,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    ) -> Result<Connection, SendError> {
        let failed = |cause: String| SendError::NotConnected(cause);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake::<_, Body>(TokioIo::new(stream))
            .await
            .map_err(|cause| failed(cause.to_string()))?;
        let task = tokio::spawn(async move {
            let _ = driver.await;
        });
        let idle = self.idle.clone();
        Ok(Connection::new(address, sender, task.abort_handle(), idle))
    }
}

fn connect_error(cause: io::Error) -> SendError {
    match cause.kind() {
        io::ErrorKind::ConnectionRefused => SendError::ConnectionRefused,
        _ => SendError::NotConnected(cause.to_string()),
    }
}
