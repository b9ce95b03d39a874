//! Verifies client certificates and the roles that they name.

use {
    super::{AllowedRoles, Role},
    std::sync::Arc,
    tokio_rustls::rustls::{
        CertificateError, DigitallySignedStruct, DistinguishedName, Error, SignatureScheme,
        client::danger::HandshakeSignatureValid,
        pki_types::{CertificateDer, UnixTime},
        server::danger::{ClientCertVerified, ClientCertVerifier},
    },
};

/// Verifies a client certificate with another verifier, and then its role.
#[derive(Debug)]
pub(super) struct RoleVerifier {
    pub(super) chain_verifier: Arc<dyn ClientCertVerifier>,
    pub(super) allowed_roles: AllowedRoles,
}

impl ClientCertVerifier for RoleVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        self.chain_verifier.root_hint_subjects()
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        intermediates: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        let verified = self
            .chain_verifier
            .verify_client_cert(end_entity, intermediates, now)?;
        match Role::from_certificate(end_entity) {
            Some(role) if self.allowed_roles.includes(role) => Ok(verified),
            _ => Err(CertificateError::ApplicationVerificationFailure.into()),
        }
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.chain_verifier
            .verify_tls12_signature(message, certificate, signature)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.chain_verifier
            .verify_tls13_signature(message, certificate, signature)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.chain_verifier.supported_verify_schemes()
    }
}
