//! What became of the keys that this entry has seen lately.

use {
    crate::units::RequestId,
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// The number of shards, each under its own lock.
const SHARDS: usize = 16;

/// The keys cached in one shard; evicted ones are still in the store.
const KEYS_PER_SHARD_MAX: usize = 4096;

/// The requests remembered that released one key.
const RELEASED_MAX: usize = 16;

/// The digest of a service and a caller's key.
pub(super) type KeyDigest = [u8; 32];

#[derive(Debug)]
enum KeyState {
    /// A request holds the key, or held it and its outcome is unknown.
    Held,
    /// A request was answered.
    Answered(u16),
    /// No request ran; the claims of these requests may stand in the store.
    Released,
}

#[derive(Debug)]
struct RememberedKey {
    digest: KeyDigest,
    state: KeyState,
    released: Vec<RequestId>,
}

/// The key is held, or its request was answered with this status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KeyTaken(pub(super) Option<u16>);

/// The keys of one shard.
#[derive(Debug, Default)]
struct Shard {
    /// Sorted by digest.
    keys: Vec<RememberedKey>,
    /// The digests, oldest first.
    order: VecDeque<KeyDigest>,
}

/// What became of the keys that this entry has seen lately.
#[derive(Debug, Default)]
pub(super) struct KeyMemory {
    shards: [Mutex<Shard>; SHARDS],
}

impl KeyMemory {
    /// Holds a key and returns the requests that have released it.
    pub(super) fn hold(&self, digest: KeyDigest) -> Result<Vec<RequestId>, KeyTaken> {
        let mut shard = self.shard(&digest);
        let Some(known) = shard.find(&digest) else {
            shard.insert(digest);
            return Ok(Vec::new());
        };
        match known.state {
            KeyState::Held => Err(KeyTaken(None)),
            KeyState::Answered(status) => Err(KeyTaken(Some(status))),
            KeyState::Released => {
                known.state = KeyState::Held;
                Ok(known.released.clone())
            }
        }
    }

    /// Takes note that the request which held a key did not run.
    pub(super) fn release(&self, digest: &KeyDigest, id: RequestId) {
        if let Some(known) = self.shard(digest).find(digest) {
            known.state = KeyState::Released;
            if known.released.len() >= RELEASED_MAX {
                known.released.remove(0);
            }
            known.released.push(id);
        }
    }

    /// Remembers the status of an answer.
    pub(super) fn finish(&self, digest: &KeyDigest, status: u16) {
        if let Some(known) = self.shard(digest).find(digest) {
            known.state = KeyState::Answered(status);
        }
    }

    fn shard(&self, digest: &KeyDigest) -> MutexGuard<'_, Shard> {
        let shard = &self.shards[usize::from(digest[0]) % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shard {
    fn find(&mut self, digest: &KeyDigest) -> Option<&mut RememberedKey> {
        let position = self.position(digest).ok()?;
        self.keys.get_mut(position)
    }

    fn insert(&mut self, digest: KeyDigest) {
        if self.keys.len() >= KEYS_PER_SHARD_MAX {
            self.forget_oldest();
        }
        if let Err(position) = self.position(&digest) {
            let held = RememberedKey {
                digest,
                state: KeyState::Held,
                released: Vec::new(),
            };
            self.keys.insert(position, held);
            self.order.push_back(digest);
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        if let Ok(position) = self.position(&oldest) {
            self.keys.remove(position);
        }
    }

    fn position(&self, digest: &KeyDigest) -> Result<usize, usize> {
        self.keys.binary_search_by(|known| known.digest.cmp(digest))
    }
}
