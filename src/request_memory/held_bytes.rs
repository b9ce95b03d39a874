//! Bytes that return their memory with their last reference.

use {
    super::{MemoryShare, UNCOUNTED_BYTES},
    bytes::Bytes,
};

/// Bytes with the share that counts them.
#[derive(Debug)]
struct HeldBytes<T> {
    bytes: T,
    _share: MemoryShare,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns bytes that keep their share until the last reference to them is dropped.
pub fn hold<T>(bytes: T, share: MemoryShare) -> Bytes
where
    T: AsRef<[u8]> + Into<Bytes> + Send + 'static,
{
    match bytes.as_ref().len() <= UNCOUNTED_BYTES {
        true => bytes.into(),
        false => Bytes::from_owner(HeldBytes {
            bytes,
            _share: share,
        }),
    }
}
