//! The digest by which nodes recognise a request that comes again.

use {
    crate::units::UnitError,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{fmt, str::FromStr},
};

/// Identifies requests that are the same in path, caller and body; written in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Returns the digest of a request's fields, which are told apart by their position.
    pub fn of(fields: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let bytes: [u8; 32] = hash.finalize().into();
        let start = bytes.first_chunk().copied().unwrap_or_default();
        Self(u64::from_be_bytes(start))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| UnitError {
            expected: "request digest",
            text: text.chars().take(80).collect(),
            reason: "it is not a hexadecimal number",
        })
    }
}
