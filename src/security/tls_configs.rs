//! TLS configurations built from the TLS files.

use {
    super::{AllowedRoles, TlsError, TlsFiles, role_verifier::RoleVerifier, tls_files::read_file},
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

/// The contents of the TLS files.
pub(super) struct TlsFileContents {
    certificate: Vec<u8>,
    key: Vec<u8>,
    authorities: Vec<u8>,
}

impl TlsFileContents {
    pub(super) fn read(files: &TlsFiles) -> Result<Self, TlsError> {
        Ok(Self {
            certificate: read_file(&files.certificate_file)?,
            key: read_file(&files.key_file)?,
            authorities: read_file(&files.authorities_file)?,
        })
    }

    /// Returns a digest of the contents, to detect changes.
    pub(super) fn digest(&self) -> [u8; 32] {
        let parts = [&self.certificate, &self.key, &self.authorities];
        let hash = parts.iter().fold(Sha256::new(), |hash, part| {
            hash.chain_update((part.len() as u64).to_be_bytes())
                .chain_update(part)
        });
        hash.finalize().into()
    }
}

/// The TLS configurations for handshakes: one as client, and one as server for each set of roles.
#[derive(Debug)]
pub(super) struct TlsConfigs {
    pub(super) client: Arc<ClientConfig>,
    nodes: Arc<ServerConfig>,
    operators: Arc<ServerConfig>,
    all: Arc<ServerConfig>,
}

impl TlsConfigs {
    pub(super) fn new(files: &TlsFiles, contents: &TlsFileContents) -> Result<Self, TlsError> {
        let chain = certificates(&files.certificate_file, &contents.certificate)?;
        let key = PrivateKeyDer::from_pem_slice(&contents.key)
            .map_err(|cause| TlsError::parse_failure(&files.key_file, cause))?;
        let roots = Arc::new(authorities(&files.authorities_file, &contents.authorities)?);
        let provider = Arc::new(ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(unusable)?;
        let own = OwnCertificate {
            provider,
            chain,
            key,
        };
        Ok(Self {
            client: own.client(roots)?,
            nodes: own.server(verifier.clone(), AllowedRoles::Nodes)?,
            operators: own.server(verifier.clone(), AllowedRoles::Operators)?,
            all: own.server(verifier, AllowedRoles::All)?,
        })
    }

    pub(super) fn server(&self, allowed_roles: AllowedRoles) -> &Arc<ServerConfig> {
        match allowed_roles {
            AllowedRoles::Nodes => &self.nodes,
            AllowedRoles::Operators => &self.operators,
            AllowedRoles::All => &self.all,
        }
    }
}

/// The own certificate chain with its key.
struct OwnCertificate {
    provider: Arc<CryptoProvider>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl OwnCertificate {
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
        chain_verifier: Arc<dyn ClientCertVerifier>,
        allowed_roles: AllowedRoles,
    ) -> Result<Arc<ServerConfig>, TlsError> {
        let verifier = Arc::new(RoleVerifier {
            chain_verifier,
            allowed_roles,
        });
        let mut config = ServerConfig::builder_with_provider(self.provider.clone())
            .with_protocol_versions(&[&TLS13])
            .map_err(unusable)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        config.session_storage = Arc::new(NoSessionResumption);
        config.send_tls13_tickets = 1;
        Ok(Arc::new(config))
    }
}

/// A session storage that sends tickets but resumes no session.
///
/// The ticket confirms to a client that its certificate was accepted. A resumed session would not
/// check the certificate again.
#[derive(Debug)]
struct NoSessionResumption;

impl StoresServerSessions for NoSessionResumption {
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
        Ok(found) if found.is_empty() => Err(TlsError::parse_failure(
            file,
            "the file contains no certificate",
        )),
        Ok(found) => Ok(found),
        Err(cause) => Err(TlsError::parse_failure(file, cause)),
    }
}

fn authorities(file: &Path, content: &[u8]) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(file, content)? {
        let added = roots.add(certificate);
        added.map_err(|cause| TlsError::parse_failure(file, cause))?;
    }
    Ok(roots)
}

fn unusable(cause: impl ToString) -> TlsError {
    TlsError::Unusable(cause.to_string())
}
