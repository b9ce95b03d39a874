//! The server side of TLS.

use {
    super::{AllowedRoles, Role, Tls, TlsError},
    std::{io, net::SocketAddr},
    tokio::net::TcpStream,
    tokio_rustls::{TlsAcceptor, server::TlsStream},
};

/// Performs the handshakes of a listener that accepts some roles.
#[derive(Debug, Clone)]
pub struct TlsServer {
    tls: Tls,
    allowed_roles: AllowedRoles,
}

impl TlsServer {
    pub(super) fn new(tls: Tls, allowed_roles: AllowedRoles) -> Self {
        Self { tls, allowed_roles }
    }

    /// Performs the handshake with a client, and returns the role that its certificate names.
    ///
    /// # Errors
    ///
    /// Fails when one end refuses the other; the cause is also logged.
    pub async fn accept(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> Result<(TlsStream<TcpStream>, Role), TlsError> {
        let result = self.handshake(stream).await;
        result.map_err(|cause| {
            let error = TlsError::handshake_failure(peer, &cause);
            log::warn!(peer:% = peer; "{error}");
            error
        })
    }

    async fn handshake(&self, stream: TcpStream) -> io::Result<(TlsStream<TcpStream>, Role)> {
        let config = self.tls.configs().server(self.allowed_roles).clone();
        let stream = TlsAcceptor::from(config).accept(stream).await?;
        let certificates = stream.get_ref().1.peer_certificates();
        let role = certificates
            .and_then(<[_]>::first)
            .and_then(Role::from_certificate);
        let role = role.ok_or(io::ErrorKind::PermissionDenied)?;
        Ok((stream, role))
    }
}
