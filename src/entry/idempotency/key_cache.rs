//! Cache of the callers' own idempotency keys that this entry has seen recently.

use {
    crate::units::RequestId,
    std::{
        collections::VecDeque,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// The number of shards, each under its own lock.
const KEY_SHARDS: usize = 16;

/// The most keys cached in one shard; evicted keys are still claimed in the store.
const KEYS_PER_SHARD_MAX: usize = 4096;

/// The most requests recorded as having released the same key.
const RELEASED_REQUESTS_MAX: usize = 16;

/// The digest of a service and a caller's key.
pub(super) type KeyDigest = [u8; 32];

#[derive(Debug)]
enum KeyState {
    /// A request holds the key, or has held it and its outcome is unknown.
    Held,
    /// The request that held the key got a response with this status.
    Answered(u16),
    /// No request ran; claims of the requests in `released_by` may still exist in the store.
    Released,
}

#[derive(Debug)]
struct CachedKey {
    digest: KeyDigest,
    state: KeyState,
    released_by: Vec<RequestId>,
}

/// The key is held, or its request got a response with this status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KeyInUse(pub(super) Option<u16>);

/// The keys of one shard.
#[derive(Debug, Default)]
struct KeyShard {
    /// The cached keys, sorted by digest.
    keys: Vec<CachedKey>,
    /// The digests in the order of their insertion, oldest first.
    insertion_order: VecDeque<KeyDigest>,
}

/// Cache of the callers' own idempotency keys that this entry has seen recently.
#[derive(Debug, Default)]
pub(super) struct KeyCache {
    shards: [Mutex<KeyShard>; KEY_SHARDS],
}

impl KeyCache {
    /// Holds a key and returns the requests that have released it before.
    pub(super) fn try_hold(&self, digest: KeyDigest) -> Result<Vec<RequestId>, KeyInUse> {
        let mut shard = self.shard(&digest);
        let Some(cached) = shard.find(&digest) else {
            shard.insert(digest);
            return Ok(Vec::new());
        };
        match cached.state {
            KeyState::Held => Err(KeyInUse(None)),
            KeyState::Answered(status) => Err(KeyInUse(Some(status))),
            KeyState::Released => {
                cached.state = KeyState::Held;
                Ok(cached.released_by.clone())
            }
        }
    }

    /// Releases a key, since the request `id` that held the key did not run.
    pub(super) fn release(&self, digest: &KeyDigest, id: RequestId) {
        if let Some(cached) = self.shard(digest).find(digest) {
            cached.state = KeyState::Released;
            if cached.released_by.len() >= RELEASED_REQUESTS_MAX {
                cached.released_by.remove(0);
            }
            cached.released_by.push(id);
        }
    }

    /// Records the status of the response to the request that holds a key.
    pub(super) fn finish(&self, digest: &KeyDigest, status: u16) {
        if let Some(cached) = self.shard(digest).find(digest) {
            cached.state = KeyState::Answered(status);
        }
    }

    fn shard(&self, digest: &KeyDigest) -> MutexGuard<'_, KeyShard> {
        let shard = &self.shards[usize::from(digest[0]) % KEY_SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KeyShard {
    fn find(&mut self, digest: &KeyDigest) -> Option<&mut CachedKey> {
        let position = self.position(digest).ok()?;
        self.keys.get_mut(position)
    }

    fn insert(&mut self, digest: KeyDigest) {
        if self.keys.len() >= KEYS_PER_SHARD_MAX {
            self.evict_oldest();
        }
        if let Err(position) = self.position(&digest) {
            let held = CachedKey {
                digest,
                state: KeyState::Held,
                released_by: Vec::new(),
            };
            self.keys.insert(position, held);
            self.insertion_order.push_back(digest);
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.insertion_order.pop_front() else {
            return;
        };
        if let Ok(position) = self.position(&oldest) {
            self.keys.remove(position);
        }
    }

    fn position(&self, digest: &KeyDigest) -> Result<usize, usize> {
        self.keys
            .binary_search_by(|cached| cached.digest.cmp(digest))
    }
}
