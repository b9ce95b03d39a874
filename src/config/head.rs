//! The record of one published revision.

use {
    crate::units::{PublishId, Revision},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The SHA-256 digest of a piece of content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of some content.
    pub fn of(content: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(sha2::Sha256::digest(content).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl std::str::FromStr for Digest {
    type Err = crate::units::UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| crate::units::UnitError {
            expected: "digest",
            text: text.chars().take(80).collect(),
            reason: "it is not 64 hexadecimal digits",
        })?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = crate::units::UnitError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}

/// The record of one published revision; the chain of all heads is the audit trail of publishing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The published revision.
    pub revision: Revision,
    /// The digest of the snapshot's manifest.
    pub digest: Digest,
    /// The publishing attempt that wrote the record.
    pub publish_id: PublishId,
    /// The operator who published the revision.
    pub author: String,
    /// The author's message on the reason of the change.
    pub message: String,
    /// The time of publication, in milliseconds since 1970.
    pub published_at_ms: u64,
}
