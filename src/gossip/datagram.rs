//! The form of the datagrams between nodes.

use {
    super::{Item, Kind},
    crate::traffic::NodeName,
    flate2::Crc,
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// The largest datagram that is sent, unless one item alone is larger.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;

/// What every datagram begins with; the last byte is the version of the form.
const MAGIC: [u8; 4] = *b"ggt\x03";

const CHECKSUM_AT: usize = MAGIC.len();
const BODY_AT: usize = CHECKSUM_AT + 4;

/// The bytes that the kind of a datagram takes at most, but for names.
const KIND_BYTES_MAX: usize = 40;

/// Who sends a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The node.
    pub node: NodeName,
    /// Differs at each start of the node.
    pub start: u64,
    /// The version of its configuration, 0 for none.
    pub config_version: u64,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    /// Who sends it.
    pub sender: Sender,
    /// What it is for.
    pub kind: Kind,
    /// What it tells.
    pub items: Vec<Item>,
}

/// Bytes that are no datagram of this form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// It begins otherwise.
    #[error("the datagram has another form")]
    Foreign,
    /// The checksum differs.
    #[error("the datagram is damaged")]
    Checksum,
    /// It is not sealed with an accepted key.
    #[error("the datagram is not sealed with an accepted key")]
    Seal,
    /// Its contents cannot be read.
    #[error("the datagram cannot be read")]
    Contents,
}

/// Packs items for a peer into as few datagrams as their order allows, at least one.
pub fn encode(sender: &Sender, items: impl IntoIterator<Item = Item>) -> Vec<Vec<u8>> {
    let bodies = pack(sender, items);
    let bodies = bodies.iter();
    bodies
        .map(|body| frame(sender, &Kind::Direct, body))
        .collect()
}

/// Packs items into the bodies of as few datagrams as their order allows, at least one.
pub fn pack(sender: &Sender, items: impl IntoIterator<Item = Item>) -> Vec<Vec<u8>> {
    let head = BODY_AT + append(sender, Vec::new()).len() + KIND_BYTES_MAX;
    let room = DATAGRAM_BYTES_MAX.saturating_sub(head);
    let mut bodies = Vec::new();
    let mut current = Vec::with_capacity(room);
    for item in items {
        let before = current.len();
        current = append(&item, current);
        if current.len() > room && before > 0 {
            let next = current.split_off(before);
            bodies.push(std::mem::replace(&mut current, next));
        }
    }
    bodies.push(current);
    bodies
}

/// Makes a datagram of a packed body.
pub fn frame(sender: &Sender, kind: &Kind, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(DATAGRAM_BYTES_MAX);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&[0; 4]);
    bytes = append(kind, append(sender, bytes));
    bytes.extend_from_slice(body);
    let checksum = checksum(&bytes[BODY_AT..]);
    bytes[CHECKSUM_AT..BODY_AT].copy_from_slice(&checksum);
    bytes
}

/// Reads a datagram.
///
/// # Errors
///
/// Fails when it has another form or is damaged.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
    if !bytes.starts_with(&MAGIC) || bytes.len() < BODY_AT {
        return Err(DatagramError::Foreign);
    }
    let (head, body) = bytes.split_at(BODY_AT);
    if head[CHECKSUM_AT..] != checksum(body) {
        return Err(DatagramError::Checksum);
    }
    let (sender, rest) = postcard::take_from_bytes(body).map_err(|_| DatagramError::Contents)?;
    let (kind, rest) = postcard::take_from_bytes(rest).map_err(|_| DatagramError::Contents)?;
    let items = unpack(rest)?;
    Ok(Datagram {
        sender,
        kind,
        items,
    })
}

/// Reads the items of a packed body.
fn unpack(mut rest: &[u8]) -> Result<Vec<Item>, DatagramError> {
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, after) = postcard::take_from_bytes(rest).map_err(|_| DatagramError::Contents)?;
        items.push(item);
        rest = after;
    }
    Ok(items)
}

/// Appends a value; writing to memory does not fail.
fn append<T: Serialize>(value: &T, bytes: Vec<u8>) -> Vec<u8> {
    postcard::to_extend(value, bytes).unwrap_or_default()
}

fn checksum(body: &[u8]) -> [u8; 4] {
    let mut crc = Crc::new();
    crc.update(body);
    crc.sum().to_be_bytes()
}
