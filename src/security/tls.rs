//! Mutual TLS with files that can be replaced at run time.

use {
    super::{
        AllowedRoles, Role, TlsError, TlsFiles, TlsServer,
        tls_configs::{TlsConfigs, TlsFileContents},
    },
    std::{
        io::{self, Read},
        net::SocketAddr,
        sync::{Arc, PoisonError, RwLock},
    },
    tokio::net::TcpStream,
    tokio_rustls::{TlsConnector, client::TlsStream, rustls::pki_types::ServerName},
};

/// Mutual TLS with certificate, key and authorities from files; clones share the loaded state.
#[derive(Debug, Clone)]
pub struct Tls(Arc<SharedTls>);

#[derive(Debug)]
struct SharedTls {
    files: TlsFiles,
    current: RwLock<CurrentConfigs>,
}

#[derive(Debug)]
struct CurrentConfigs {
    digest: [u8; 32],
    configs: Arc<TlsConfigs>,
}

impl Tls {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or parsed, or the key doesn't belong to the certificate.
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        let contents = TlsFileContents::read(&files)?;
        let current = CurrentConfigs {
            digest: contents.digest(),
            configs: Arc::new(TlsConfigs::new(&files, &contents)?),
        };
        let current = RwLock::new(current);
        Ok(Self(Arc::new(SharedTls { files, current })))
    }

    /// Loads the files if the settings name any.
    ///
    /// # Errors
    ///
    /// Fails like [`Tls::load`].
    pub fn load_if_configured(files: Option<&TlsFiles>) -> Result<Option<Self>, TlsError> {
        files.cloned().map(Self::load).transpose()
    }

    /// Reloads the files for new handshakes, and returns whether their contents changed.
    ///
    /// # Errors
    ///
    /// Fails like [`Tls::load`]; the contents loaded before then stay in use.
    pub fn reload(&self) -> Result<bool, TlsError> {
        let contents = TlsFileContents::read(&self.0.files)?;
        let digest = contents.digest();
        if self.current(|current| current.digest == digest) {
            return Ok(false);
        }
        let configs = Arc::new(TlsConfigs::new(&self.0.files, &contents)?);
        let current = self.0.current.write();
        *current.unwrap_or_else(PoisonError::into_inner) = CurrentConfigs { digest, configs };
        Ok(true)
    }

    /// Returns the server side for a listener that accepts some roles.
    pub fn server(&self, allowed_roles: AllowedRoles) -> TlsServer {
        TlsServer::new(self.clone(), allowed_roles)
    }

    /// Performs the handshake with a node, and waits until it has accepted the own certificate.
    ///
    /// # Errors
    ///
    /// Fails when one end refuses the other; the cause is also logged.
    pub async fn connect(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> Result<TlsStream<TcpStream>, TlsError> {
        let result = self.handshake(stream).await;
        result.map_err(|cause| {
            let error = TlsError::handshake_failure(peer, &cause);
            log::warn!(peer:% = peer; "{error}");
            error
        })
    }

    async fn handshake(&self, stream: TcpStream) -> io::Result<TlsStream<TcpStream>> {
        let name = ServerName::try_from(Role::Node.name()).map_err(io::Error::other)?;
        let connector = TlsConnector::from(self.configs().client.clone());
        let mut stream = connector.connect(name, stream).await?;
        wait_until_accepted(&mut stream).await?;
        Ok(stream)
    }

    pub(super) fn configs(&self) -> Arc<TlsConfigs> {
        self.current(|current| current.configs.clone())
    }

    fn current<T>(&self, read: impl FnOnce(&CurrentConfigs) -> T) -> T {
        let current = self.0.current.read();
        read(&current.unwrap_or_else(PoisonError::into_inner))
    }
}

/// Waits for the first session ticket, which the server sends once it has accepted the client's
/// certificate.
///
/// In TLS 1.3, the client's handshake ends before the server has checked the certificate.
async fn wait_until_accepted(stream: &mut TlsStream<TcpStream>) -> io::Result<()> {
    let (socket, connection) = stream.get_mut();
    while connection.tls13_tickets_received() == 0 {
        socket.readable().await?;
        match connection.read_tls(&mut ReadyBytes(socket)) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {
                let processed = connection.process_new_packets();
                processed.map_err(|cause| io::Error::new(io::ErrorKind::InvalidData, cause))?;
            }
            Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => {}
            Err(cause) => return Err(cause),
        }
    }
    Ok(())
}

/// Reads the bytes that a socket has ready, without waiting.
struct ReadyBytes<'a>(&'a TcpStream);

impl Read for ReadyBytes<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.try_read(buffer)
    }
}
