//! Encodings of integers and bytes in the gateway's JSON, and the parts common to all responses.

use {
    base64::{Engine, prelude::BASE64_STANDARD},
    bytes::Bytes,
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error},
};

/// A 64-bit integer that is encoded as decimal text; numbers are accepted as well.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

/// Bytes that are encoded as base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Base64(pub Bytes);

impl Base64 {
    /// Copies the UTF-8 bytes of a text.
    pub fn from_text(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = BASE64_STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// The header of every response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The version of the key space.
    pub revision: Int64,
}

impl Header {
    /// Creates the header of a response at a version.
    pub fn at(version: crate::store::StoreVersion) -> Self {
        Self {
            revision: Int64(version.0),
        }
    }
}

/// The response to a failed call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorReply {
    /// The gRPC status code.
    pub code: i32,
    /// A description for people.
    pub message: String,
}
