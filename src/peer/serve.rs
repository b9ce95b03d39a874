//! The listening side.

use {
    super::limited_reader::LimitedReader,
    crate::peer_capnp::gate,
    capnp::message::ReaderOptions,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    futures::io::BufReader,
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
    },
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Connections that one listener keeps at once.
const CONNECTIONS_MAX: usize = 512;
/// The longest that a connection may stay without logging in.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The largest message, in words of 8 bytes.
const MESSAGE_MAX_WORDS: usize = 2 * 1024 * 1024;

/// Returns the limits on what a message may contain.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_MAX_WORDS));
    options.nesting_limit(32);
    options
}

/// Signals to a listener that a connection has logged in.
#[derive(Debug, Clone, Default)]
pub struct LoginMark(Rc<Cell<bool>>);

impl LoginMark {
    /// Lifts the limits for connections that have not logged in.
    pub fn set(&self) {
        self.0.set(true);
    }
}

/// Serves connections for ever; each gets a gate of its own. Needs a `LocalSet`.
pub async fn serve(listener: TcpListener, new_gate: impl Fn(LoginMark) -> gate::Client) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("peer: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let mark = LoginMark::default();
        let gate = new_gate(mark.clone());
        tokio::task::spawn_local(async move {
            serve_connection(stream, gate, mark).await;
            drop(slot);
        });
    }
}

async fn serve_connection(stream: TcpStream, gate: gate::Client, mark: LoginMark) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let reader = BufReader::new(LimitedReader::new(reader.compat(), mark.0.clone()));
    let network = VatNetwork::new(
        reader,
        writer.compat_write(),
        Side::Server,
        reader_options(),
    );
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    let login_deadline = async {
        tokio::time::sleep(LOGIN_TIMEOUT).await;
        if mark.0.get() {
            futures::future::pending::<()>().await;
        }
    };
    tokio::select! {
        ended = system => {
            if let Err(error) = ended {
                log::debug!("peer: connection ended: {error}");
            }
        }
        () = login_deadline => log::warn!("peer: no login in time."),
    }
}
