//! The client side of connections between processes.

use {
    super::{Credentials, PeerError, serve::reader_options},
    crate::peer_capnp::{entry_link, forward, gate, operator, peer},
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::io::BufReader,
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
        task::JoinHandle,
    },
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// The timeout of each step of connecting: the TCP connection, the TLS handshake and the login.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// A connection to another process; dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Runs a call with a timeout.
///
/// # Errors
///
/// Fails with [`PeerError::Timeout`] when no reply comes in time.
pub async fn with_timeout<T, E: Into<PeerError>>(
    limit: Duration,
    call: impl Future<Output = Result<T, E>>,
) -> Result<T, PeerError> {
    match tokio::time::timeout(limit, call).await {
        Ok(reply) => reply.map_err(Into::into),
        Err(_) => Err(PeerError::Timeout),
    }
}

async fn connect(
    address: SocketAddr,
    credentials: &Credentials,
) -> Result<(Connection, gate::Client), PeerError> {
    let connected = async {
        TcpStream::connect(address)
            .await
            .map_err(PeerError::Connect)
    };
    let stream = with_timeout(CONNECT_TIMEOUT, connected).await?;
    let _ = stream.set_nodelay(true);
    let Some(tls) = &credentials.tls else {
        let (reader, writer) = stream.into_split();
        return Ok(start_rpc(reader, writer));
    };
    let stream = with_timeout(CONNECT_TIMEOUT, tls.connect(stream, address)).await?;
    let (reader, writer) = tokio::io::split(stream);
    Ok(start_rpc(reader, writer))
}

/// Starts capnp-rpc over a connection, and returns the login interface of the other end.
fn start_rpc(
    reader: impl AsyncRead + Unpin + 'static,
    writer: impl AsyncWrite + Unpin + 'static,
) -> (Connection, gate::Client) {
    let reader = BufReader::new(reader.compat());
    let network = VatNetwork::new(
        reader,
        writer.compat_write(),
        Side::Client,
        reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate = system.bootstrap(Side::Server);
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = system.await {
            log::debug!("peer: a connection failed: {error}");
        }
    });
    (Connection { driver }, gate)
}

/// Connects to a keeper as a peer. Must run in a `LocalSet`.
///
/// # Errors
///
/// Fails when connecting fails or times out, or the key is refused.
pub async fn connect_peer(
    address: SocketAddr,
    credentials: &Credentials,
) -> Result<(Connection, peer::Client), PeerError> {
    let (connection, gate) = connect(address, credentials).await?;
    let mut request = gate.peer_request();
    request.get().set_key(credentials.key.as_bytes());
    let reply = with_timeout(CONNECT_TIMEOUT, request.send().promise).await?;
    Ok((connection, reply.get()?.get_peer()?))
}

/// Connects to the keeper of this VM as its entry. Must run in a `LocalSet`.
///
/// # Errors
///
/// Fails when connecting fails or times out, or the key is refused.
pub async fn connect_entry_link(
    address: SocketAddr,
    credentials: &Credentials,
) -> Result<(Connection, entry_link::Client), PeerError> {
    let (connection, gate) = connect(address, credentials).await?;
    let mut request = gate.entry_request();
    request.get().set_key(credentials.key.as_bytes());
    let reply = with_timeout(CONNECT_TIMEOUT, request.send().promise).await?;
    Ok((connection, reply.get()?.get_link()?))
}

/// Connects to a keeper as an operator. Must run in a `LocalSet`.
///
/// # Errors
///
/// Fails when connecting fails or times out, or the key is refused.
pub async fn connect_operator(
    address: SocketAddr,
    credentials: &Credentials,
) -> Result<(Connection, operator::Client), PeerError> {
    let (connection, gate) = connect(address, credentials).await?;
    let mut request = gate.operator_request();
    request.get().set_key(credentials.key.as_bytes());
    let reply = with_timeout(CONNECT_TIMEOUT, request.send().promise).await?;
    Ok((connection, reply.get()?.get_operator()?))
}

/// Connects to another entry. Must run in a `LocalSet`.
///
/// # Errors
///
/// Fails when connecting fails or times out, or the key is refused.
pub async fn connect_forward(
    address: SocketAddr,
    credentials: &Credentials,
) -> Result<(Connection, forward::Client), PeerError> {
    let (connection, gate) = connect(address, credentials).await?;
    let mut request = gate.forward_request();
    request.get().set_key(credentials.key.as_bytes());
    let reply = with_timeout(CONNECT_TIMEOUT, request.send().promise).await?;
    Ok((connection, reply.get()?.get_forward()?))
}
