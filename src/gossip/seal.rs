//! Message authentication codes of datagrams, by shared keys (HMAC-SHA-256, truncated).

use {
    crate::security::{KeyRing, SharedKey},
    hmac::{Hmac, KeyInit, Mac},
    sha2::Sha256,
    std::borrow::Cow,
};

/// The length of the code at the end of an authenticated datagram, in bytes.
pub const SEAL_BYTES: usize = 16;

/// Appends the code of the first key; returns the bytes unchanged if there are no keys.
pub fn seal<'a>(bytes: &'a [u8], keys: &KeyRing) -> Cow<'a, [u8]> {
    let code = keys.with(|keys| Some(code_of(keys.first()?, bytes)?.finalize()));
    match code {
        Some(code) => [bytes, &code.into_bytes()[..SEAL_BYTES]].concat().into(),
        None => bytes.into(),
    }
}

/// Returns the content if its code matches one of the keys; all bytes if there are no keys.
pub fn open<'a>(bytes: &'a [u8], keys: &KeyRing) -> Option<&'a [u8]> {
    if keys.is_empty() {
        return Some(bytes);
    }
    let (content, code) = bytes.split_at_checked(bytes.len().checked_sub(SEAL_BYTES)?)?;
    let fits = |key: &SharedKey| {
        code_of(key, content).is_some_and(|known| known.verify_truncated_left(code).is_ok())
    };
    keys.with(|keys| keys.iter().any(fits)).then_some(content)
}

fn code_of(key: &SharedKey, bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut code = Hmac::new_from_slice(key.as_bytes()).ok()?;
    code.update(bytes);
    Some(code)
}
