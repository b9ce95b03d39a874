//! The listening side of TLS.

use {
    super::{Access, Role, Tls, TlsError},
    std::{io, net::SocketAddr},
    tokio::net::TcpStream,
    tokio_rustls::{TlsAcceptor, server::TlsStream},
};

/// Makes the handshakes of a listener that takes some roles.
#[derive(Debug, Clone)]
pub struct TlsServer {
    tls: Tls,
    access: Access,
}

impl TlsServer {
    pub(super) fn new(tls: Tls, access: Access) -> Self {
        Self { tls, access }
    }

    /// Makes the handshake with a caller; returns the role that its certificate names.
    ///
    /// # Errors
    ///
    /// Fails when one end refuses the other; the cause is logged too.
    pub async fn accept(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> Result<(TlsStream<TcpStream>, Role), TlsError> {
        let shaken = self.shake_hands(stream).await;
        shaken.map_err(|cause| {
            let error = TlsError::handshake(peer, &cause);
            log::warn!(peer:% = peer; "{error}");
            error
        })
    }

    async fn shake_hands(&self, stream: TcpStream) -> io::Result<(TlsStream<TcpStream>, Role)> {
        let config = self.tls.material().server(self.access).clone();
        let stream = TlsAcceptor::from(config).accept(stream).await?;
        let certificates = stream.get_ref().1.peer_certificates();
        let role = certificates.and_then(<[_]>::first).and_then(Role::of);
        let role = role.ok_or(io::ErrorKind::PermissionDenied)?;
        Ok((stream, role))
    }
}
