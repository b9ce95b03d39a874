//! Mutual TLS by files that may be replaced.

use {
    super::{
        Access, Role, TlsError, TlsFiles, TlsServer,
        tls_configs::{TlsContents, TlsMaterial},
    },
    std::{
        io::{self, Read},
        net::SocketAddr,
        sync::{Arc, PoisonError, RwLock},
    },
    tokio::net::TcpStream,
    tokio_rustls::{TlsConnector, client::TlsStream, rustls::pki_types::ServerName},
};

/// Mutual TLS; clones share what the files held last.
#[derive(Debug, Clone)]
pub struct Tls(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    files: TlsFiles,
    current: RwLock<Current>,
}

#[derive(Debug)]
struct Current {
    digest: [u8; 32],
    material: Arc<TlsMaterial>,
}

impl Tls {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or used, or the key is not the certificate's.
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        let contents = TlsContents::read(&files)?;
        let current = Current {
            digest: contents.digest(),
            material: Arc::new(TlsMaterial::new(&files, &contents)?),
        };
        let current = RwLock::new(current);
        Ok(Self(Arc::new(Shared { files, current })))
    }

    /// Reads the files that the settings name, if they name any.
    ///
    /// # Errors
    ///
    /// Fails like [`Tls::load`].
    pub fn load_named(files: Option<&TlsFiles>) -> Result<Option<Self>, TlsError> {
        files.cloned().map(Self::load).transpose()
    }

    /// Reads the files again, and uses them for new handshakes; returns whether they differ.
    ///
    /// # Errors
    ///
    /// Fails like [`Tls::load`]; what the files held before then stays in use.
    pub fn reload(&self) -> Result<bool, TlsError> {
        let contents = TlsContents::read(&self.0.files)?;
        let digest = contents.digest();
        if self.current(|current| current.digest == digest) {
            return Ok(false);
        }
        let material = Arc::new(TlsMaterial::new(&self.0.files, &contents)?);
        let current = self.0.current.write();
        *current.unwrap_or_else(PoisonError::into_inner) = Current { digest, material };
        Ok(true)
    }

    /// Returns the listening side for callers with some roles.
    pub fn server(&self, access: Access) -> TlsServer {
        TlsServer::new(self.clone(), access)
    }

    /// Makes the handshake with a node, and waits until it took the own certificate.
    ///
    /// # Errors
    ///
    /// Fails when one end refuses the other; the cause is logged too.
    pub async fn connect(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> Result<TlsStream<TcpStream>, TlsError> {
        let shaken = self.shake_hands(stream).await;
        shaken.map_err(|cause| {
            let error = TlsError::handshake(peer, &cause);
            log::warn!(peer:% = peer; "{error}");
            error
        })
    }

    async fn shake_hands(&self, stream: TcpStream) -> io::Result<TlsStream<TcpStream>> {
        let name = ServerName::try_from(Role::Node.name()).map_err(io::Error::other)?;
        let connector = TlsConnector::from(self.material().client.clone());
        let mut stream = connector.connect(name, stream).await?;
        wait_until_accepted(&mut stream).await?;
        Ok(stream)
    }

    pub(super) fn material(&self) -> Arc<TlsMaterial> {
        self.current(|current| current.material.clone())
    }

    fn current<T>(&self, read: impl FnOnce(&Current) -> T) -> T {
        let current = self.0.current.read();
        read(&current.unwrap_or_else(PoisonError::into_inner))
    }
}

/// Waits for the first ticket: the other end sends it once it took the certificate.
async fn wait_until_accepted(stream: &mut TlsStream<TcpStream>) -> io::Result<()> {
    let (socket, connection) = stream.get_mut();
    while connection.tls13_tickets_received() == 0 {
        socket.readable().await?;
        match connection.read_tls(&mut Ready(socket)) {
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

/// Reads what a socket has at hand.
struct Ready<'a>(&'a TcpStream);

impl Read for Ready<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.try_read(buffer)
    }
}
