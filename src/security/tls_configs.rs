//! What handshakes use, made from the files of TLS.

use {
    super::{Access, TlsError, TlsFiles, role_verifier::RoleVerifier, tls_files::read_file},
    sha2::{Digest, Sha256},
    std::{path::Path, sync::Arc},
    tokio_rustls::rustls::{
        ClientConfig, RootCertStore, ServerConfig,
        client::Resumption,
        crypto::{CryptoProvider, ring},
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
        server::{StoresServerSessions, WebPkiClientVerifier, danger::ClientCertVerifier},
        version::TLS13,
    },
};

/// The contents of the files of TLS.
pub(super) struct TlsContents {
    certificate: Vec<u8>,
    key: Vec<u8>,
    authorities: Vec<u8>,
}

impl TlsContents {
    pub(super) fn read(files: &TlsFiles) -> Result<Self, TlsError> {
        Ok(Self {
            certificate: read_file(&files.certificate_file)?,
            key: read_file(&files.key_file)?,
            authorities: read_file(&files.authorities_file)?,
        })
    }

    /// Returns what tells these contents from others.
    pub(super) fn digest(&self) -> [u8; 32] {
        let parts = [&self.certificate, &self.key, &self.authorities];
        let hash = parts.iter().fold(Sha256::new(), |hash, part| {
            hash.chain_update((part.len() as u64).to_be_bytes())
                .chain_update(part)
        });
        hash.finalize().into()
    }
}

/// What handshakes use.
#[derive(Debug)]
pub(super) struct TlsMaterial {
    pub(super) client: Arc<ClientConfig>,
    nodes: Arc<ServerConfig>,
    operators: Arc<ServerConfig>,
    all: Arc<ServerConfig>,
}

impl TlsMaterial {
    pub(super) fn new(files: &TlsFiles, contents: &TlsContents) -> Result<Self, TlsError> {
        let chain = certificates(&files.certificate_file, &contents.certificate)?;
        let key = PrivateKeyDer::from_pem_slice(&contents.key)
            .map_err(|cause| TlsError::form(&files.key_file, cause))?;
        let roots = Arc::new(authorities(&files.authorities_file, &contents.authorities)?);
        let provider = Arc::new(ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(unusable)?;
        let own = Own {
            provider,
            chain,
            key,
        };
        Ok(Self {
            client: own.client(roots)?,
            nodes: own.server(verifier.clone(), Access::Nodes)?,
            operators: own.server(verifier.clone(), Access::Operators)?,
            all: own.server(verifier, Access::All)?,
        })
    }

    pub(super) fn server(&self, access: Access) -> &Arc<ServerConfig> {
        match access {
            Access::Nodes => &self.nodes,
            Access::Operators => &self.operators,
            Access::All => &self.all,
        }
    }
}

/// The own certificate with its key.
struct Own {
    provider: Arc<CryptoProvider>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Own {
    fn client(&self, roots: Arc<RootCertStore>) -> Result<Arc<ClientConfig>, TlsError> {
        let mut config = ClientConfig::builder_with_provider(self.provider.clone())
            .with_protocol_versions(&[&TLS13])
            .map_err(unusable)?
            .with_root_certificates(roots)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        config.resumption = Resumption::disabled();
        Ok(Arc::new(config))
    }

    fn server(
        &self,
        chain: Arc<dyn ClientCertVerifier>,
        access: Access,
    ) -> Result<Arc<ServerConfig>, TlsError> {
        let verifier = Arc::new(RoleVerifier { chain, access });
        let mut config = ServerConfig::builder_with_provider(self.provider.clone())
            .with_protocol_versions(&[&TLS13])
            .map_err(unusable)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        config.session_storage = Arc::new(NoSessions);
        config.send_tls13_tickets = 1;
        Ok(Arc::new(config))
    }
}

/// Lets a ticket be sent, which tells a caller that it is accepted, and resumes no session: a
/// resumed one would not check the certificate again.
#[derive(Debug)]
struct NoSessions;

impl StoresServerSessions for NoSessions {
    fn put(&self, _key: Vec<u8>, _value: Vec<u8>) -> bool {
        true
    }

    fn get(&self, _key: &[u8]) -> Option<Vec<u8>> {
        None
    }

    fn take(&self, _key: &[u8]) -> Option<Vec<u8>> {
        None
    }

    fn can_cache(&self) -> bool {
        true
    }
}

fn certificates(file: &Path, content: &[u8]) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let read = CertificateDer::pem_slice_iter(content).collect::<Result<Vec<_>, _>>();
    match read {
        Ok(found) if found.is_empty() => Err(TlsError::form(file, "it holds no certificate")),
        Ok(found) => Ok(found),
        Err(cause) => Err(TlsError::form(file, cause)),
    }
}

fn authorities(file: &Path, content: &[u8]) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(file, content)? {
        let added = roots.add(certificate);
        added.map_err(|cause| TlsError::form(file, cause))?;
    }
    Ok(roots)
}

fn unusable(cause: impl ToString) -> TlsError {
    TlsError::Unusable(cause.to_string())
}
