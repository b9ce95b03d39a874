//! Message authentication codes of datagrams, by shared keys (HMAC-SHA-256, truncated).

use {
    crate::security::{KeyRing, SharedKey},
    hmac::{Hmac, KeyInit, Mac},
    sha2::Sha256,
    std::borrow::Cow,
};

/// The length of the code at the end of an authenticated datagram, in bytes.
pub const MAC_BYTES: usize = 16;

/// Appends the code of the first key; returns the bytes unchanged if there are no keys.
pub fn append_mac<'a>(bytes: &'a [u8], keys: &KeyRing) -> Cow<'a, [u8]> {
    let mac = keys.with_keys(|keys| Some(mac_of(keys.first()?, bytes)?.finalize()));
    match mac {
        Some(mac) => [bytes, &mac.into_bytes()[..MAC_BYTES]].concat().into(),
        None => bytes.into(),
    }
}

/// Returns the content if its code matches one of the keys; all bytes if there are no keys.
pub fn verify_mac<'a>(bytes: &'a [u8], keys: &KeyRing) -> Option<&'a [u8]> {
    if keys.is_empty() {
        return Some(bytes);
    }
    let (content, mac) = bytes.split_at_checked(bytes.len().checked_sub(MAC_BYTES)?)?;
    let matches_key = |key: &SharedKey| {
        mac_of(key, content).is_some_and(|computed| computed.verify_truncated_left(mac).is_ok())
    };
    keys.with_keys(|keys| keys.iter().any(matches_key))
        .then_some(content)
}

fn mac_of(key: &SharedKey, bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::new_from_slice(key.as_bytes()).ok()?;
    mac.update(bytes);
    Some(mac)
}
