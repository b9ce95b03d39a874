//! The roles of certificate holders.

use {
    std::fmt,
    tokio_rustls::rustls::{
        client::verify_server_name,
        pki_types::{CertificateDer, ServerName},
        server::ParsedCertificate,
    },
};

/// The DNS name in the certificate of a node or another process of the system.
pub const NODE_NAME: &str = "node.ggt.internal";
/// The DNS name in the certificate of an operator.
pub const OPERATOR_NAME: &str = "operator.ggt.internal";

/// The role of a certificate's holder, given by a DNS name in the subject alternative names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A node, or another process of the system.
    Node,
    /// An operator.
    Operator,
}

impl Role {
    /// Returns the DNS name of the role.
    pub fn name(self) -> &'static str {
        match self {
            Self::Node => NODE_NAME,
            Self::Operator => OPERATOR_NAME,
        }
    }

    /// Reads the role from a certificate; `None` when the certificate names no role.
    ///
    /// A certificate that names both roles is an operator's.
    pub fn from_certificate(certificate: &CertificateDer<'_>) -> Option<Self> {
        let parsed = ParsedCertificate::try_from(certificate).ok()?;
        [Self::Operator, Self::Node].into_iter().find(|role| {
            let name = ServerName::try_from(role.name());
            name.is_ok_and(|name| verify_server_name(&parsed, &name).is_ok())
        })
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Node => "node",
            Self::Operator => "operator",
        })
    }
}

/// The roles that a listener accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowedRoles {
    /// Only nodes.
    Nodes,
    /// Only operators.
    Operators,
    /// Nodes and operators.
    All,
}

impl AllowedRoles {
    /// Returns whether a role may connect.
    pub fn includes(self, role: Role) -> bool {
        match self {
            Self::Nodes => role == Role::Node,
            Self::Operators => role == Role::Operator,
            Self::All => true,
        }
    }
}
