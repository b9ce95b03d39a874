//! What a verdict is about.

use {
    super::{PartId, RequestDigest},
    crate::units::UnitError,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// The text before the digest of a request.
const REQUEST_PREFIX: &str = "request-";

/// A prompt part, or a request that comes again unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ContentId {
    /// A prompt part, written as its number in hexadecimal.
    Part(PartId),
    /// A whole request, written as its digest after `request-`.
    Request(RequestDigest),
}

impl fmt::Display for ContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Request(digest) => write!(f, "{REQUEST_PREFIX}{digest}"),
        }
    }
}

impl FromStr for ContentId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.strip_prefix(REQUEST_PREFIX) {
            Some(digest) => digest.parse().map(Self::Request),
            None => text.parse().map(Self::Part),
        }
    }
}
