//! The encoding of the datagrams between nodes.

use {
    super::{DatagramKind, Item},
    crate::traffic::NodeName,
    flate2::Crc,
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// The largest datagram that is sent, in bytes, unless one item alone is larger.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;

/// The prefix of every datagram; its last byte is the version of the encoding.
const MAGIC: [u8; 4] = *b"ggt\x03";

const CHECKSUM_OFFSET: usize = MAGIC.len();
const BODY_OFFSET: usize = CHECKSUM_OFFSET + 4;

/// The largest encoded size of a datagram's kind without the names in it, in bytes.
const KIND_BYTES_MAX: usize = 40;

/// The sender of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The name of the sending node.
    pub node: NodeName,
    /// Identifies the process of the node; chosen at random when the process starts.
    pub start: u64,
    /// The configuration version of the sending node, 0 for none.
    pub config_version: u64,
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    /// The sending node.
    pub sender: Sender,
    /// The purpose of the datagram.
    pub kind: DatagramKind,
    /// The content, in order.
    pub items: Vec<Item>,
}

/// The reason why received bytes are not accepted as a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The prefix differs: not a gossip datagram, or one of another version.
    #[error("the datagram has an unknown format or version")]
    UnknownFormat,
    /// The checksum differs.
    #[error("the datagram's checksum does not match")]
    Checksum,
    /// No accepted key matches the message authentication code.
    #[error("the datagram's authentication code matches no accepted key")]
    Mac,
    /// The contents cannot be decoded.
    #[error("the datagram's contents cannot be decoded")]
    Malformed,
}

/// Encodes items for a peer into as few datagrams as their order allows, at least one.
pub fn encode(sender: &Sender, items: impl IntoIterator<Item = Item>) -> Vec<Vec<u8>> {
    let bodies = encode_bodies(sender, items);
    let bodies = bodies.iter();
    bodies
        .map(|body| encode_datagram(sender, &DatagramKind::Direct, body))
        .collect()
}

/// Encodes items into the bodies of as few datagrams as their order allows, at least one.
pub fn encode_bodies(sender: &Sender, items: impl IntoIterator<Item = Item>) -> Vec<Vec<u8>> {
    let head = BODY_OFFSET + append_encoded(sender, Vec::new()).len() + KIND_BYTES_MAX;
    let body_max = DATAGRAM_BYTES_MAX.saturating_sub(head);
    let mut bodies = Vec::new();
    let mut current = Vec::with_capacity(body_max);
    for item in items {
        let before = current.len();
        current = append_encoded(&item, current);
        if current.len() > body_max && before > 0 {
            let next = current.split_off(before);
            bodies.push(std::mem::replace(&mut current, next));
        }
    }
    bodies.push(current);
    bodies
}

/// Encodes a datagram from its head and an encoded body, with a checksum.
pub fn encode_datagram(sender: &Sender, kind: &DatagramKind, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(DATAGRAM_BYTES_MAX);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[0; 4]);
    bytes = append_encoded(kind, append_encoded(sender, bytes));
    bytes.extend_from_slice(body);
    let checksum = checksum(&bytes[BODY_OFFSET..]);
    bytes[CHECKSUM_OFFSET..BODY_OFFSET].copy_from_slice(&checksum);
    bytes
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error when the prefix is unknown, the checksum differs or the contents are malformed.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
    if !bytes.starts_with(&MAGIC) || bytes.len() < BODY_OFFSET {
        return Err(DatagramError::UnknownFormat);
    }
    let (head, body) = bytes.split_at(BODY_OFFSET);
    if head[CHECKSUM_OFFSET..] != checksum(body) {
        return Err(DatagramError::Checksum);
    }
    let (sender, rest) = postcard::take_from_bytes(body).map_err(|_| DatagramError::Malformed)?;
    let (kind, rest) = postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
    let items = decode_items(rest)?;
    Ok(Datagram {
        sender,
        kind,
        items,
    })
}

/// Decodes the items of a body.
fn decode_items(mut rest: &[u8]) -> Result<Vec<Item>, DatagramError> {
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, after) =
            postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
        items.push(item);
        rest = after;
    }
    Ok(items)
}

/// Appends an encoded value; encoding into memory does not fail.
fn append_encoded<T: Serialize>(value: &T, bytes: Vec<u8>) -> Vec<u8> {
    postcard::to_extend(value, bytes).unwrap_or_default()
}

fn checksum(body: &[u8]) -> [u8; 4] {
    let mut crc = Crc::new();
    crc.update(body);
    crc.sum().to_be_bytes()
}
