//! The server side of connections between processes.

use {
    super::limited_reader::LimitedReader,
    crate::{peer_capnp::gate, security::TlsServer},
    capnp::message::ReaderOptions,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::io::BufReader,
    std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        sync::Semaphore,
    },
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// The largest number of open connections of one listener.
const CONNECTIONS_MAX: usize = 512;
/// The longest time that a connection may stay open without login; also bounds the TLS handshake.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The traversal limit of a message, in words of 8 bytes.
const MESSAGE_MAX_WORDS: usize = 2 * 1024 * 1024;

/// Returns the limits on size and nesting of a received message.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_MAX_WORDS));
    options.nesting_limit(32);
    options
}

/// Whether a connection has logged in; shared by its login service and its reader.
#[derive(Debug, Clone, Default)]
pub struct LoginState(Rc<Cell<bool>>);

impl LoginState {
    /// Records the login, which lifts the limits on bytes and time before it.
    pub fn mark_logged_in(&self) {
        self.0.set(true);
    }
}

/// Serves connections without TLS; never ends. Must run in a `LocalSet`.
///
/// `new_gate` creates the login service of each connection.
pub async fn serve(listener: TcpListener, new_gate: impl Fn(LoginState) -> gate::Client) {
    serve_with_tls(listener, None, new_gate).await;
}

/// Serves connections as [`serve`] does, with TLS if `tls` is given.
pub async fn serve_with_tls(
    listener: TcpListener,
    tls: Option<TlsServer>,
    new_gate: impl Fn(LoginState) -> gate::Client,
) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("peer: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let login = LoginState::default();
        let gate = new_gate(login.clone());
        let tls = tls.clone();
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            match tls {
                Some(tls) => Box::pin(serve_tls(&tls, stream, address, gate, login)).await,
                None => {
                    let (reader, writer) = stream.into_split();
                    serve_connection(reader, writer, gate, login).await;
                }
            }
            drop(slot);
        });
    }
}

async fn serve_tls(
    tls: &TlsServer,
    stream: TcpStream,
    address: SocketAddr,
    gate: gate::Client,
    login: LoginState,
) {
    match tokio::time::timeout(LOGIN_TIMEOUT, tls.accept(stream, address)).await {
        Ok(Ok((stream, _))) => {
            let (reader, writer) = tokio::io::split(stream);
            serve_connection(reader, writer, gate, login).await;
        }
        Ok(Err(_)) => {}
        Err(_) => log::warn!("peer: the TLS handshake with {address} timed out."),
    }
}

async fn serve_connection(
    reader: impl AsyncRead + Unpin + 'static,
    writer: impl AsyncWrite + Unpin + 'static,
    gate: gate::Client,
    login: LoginState,
) {
    let reader = BufReader::new(LimitedReader::new(reader.compat(), login.0.clone()));
    let network = VatNetwork::new(
        reader,
        writer.compat_write(),
        Side::Server,
        reader_options(),
    );
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    let login_deadline = async {
        tokio::time::sleep(LOGIN_TIMEOUT).await;
        if login.0.get() {
            futures::future::pending::<()>().await;
        }
    };
    tokio::select! {
        ended = system => {
            if let Err(error) = ended {
                log::debug!("peer: a connection failed: {error}");
            }
        }
        () = login_deadline => log::warn!("peer: a connection was closed: login timed out."),
    }
}
