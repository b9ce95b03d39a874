//! A client connection that is in use by one request.

use {
    super::{
        Body,
        idle_connections::{IdleConnection, IdleConnections},
    },
    hyper::{Request, Response, body::Incoming, client::conn::TrySendError},
    std::{net::SocketAddr, sync::Arc},
    tokio::time::Instant,
};

/// A client connection in use.
///
/// Dropping it closes the connection, which cancels its request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    open: Option<IdleConnection>,
    idle: Arc<IdleConnections>,
}

impl Connection {
    pub(super) fn new(
        address: SocketAddr,
        open: IdleConnection,
        idle: Arc<IdleConnections>,
    ) -> Self {
        Self {
            address,
            open: Some(open),
            idle,
        }
    }

    /// Waits until the connection can send a request; returns false if it is closed.
    pub(super) async fn ready(&mut self) -> bool {
        match &mut self.open {
            Some(open) => open.sender.ready().await.is_ok(),
            None => false,
        }
    }

    pub(super) async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Option<Result<Response<Incoming>, TrySendError<Request<Body>>>> {
        let open = self.open.as_mut()?;
        open.head.begin();
        let sent = open.sender.try_send_request(request).await;
        open.head.end();
        Some(sent)
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connection to the pool; its response must have been read completely.
    pub fn recycle(mut self) {
        let Some(mut open) = self.open.take() else {
            return;
        };
        if open.sender.is_closed() {
            return;
        }
        open.idle_since = Instant::now();
        self.idle.insert(self.address, open);
    }
}
