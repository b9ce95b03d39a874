//! The limited prefix cache of a stand-in engine.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The bytes of prompt in one block of the cache.
pub const BLOCK_BYTES: usize = 64;
/// The bytes of prompt that count as one token.
pub const PROMPT_TOKEN_BYTES: usize = 4;

#[derive(Debug, Clone, Copy)]
struct Block {
    hash: u64,
    last_use: u64,
}

/// What one prompt did to the cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheUse {
    /// The tokens of the prompt.
    pub tokens: u32,
    /// The tokens that were found in the cache.
    pub tokens_cached: u32,
    /// The blocks that were added.
    pub stored: Vec<u64>,
    /// The blocks that had to go.
    pub removed: Vec<u64>,
}

/// The blocks of prompts in the cache, sorted by hash; the least recently used go first.
#[derive(Debug)]
pub struct PrefixCache {
    blocks: Vec<Block>,
    blocks_max: usize,
    uses: u64,
}

impl PrefixCache {
    /// Makes a cache of this many blocks.
    pub fn new(blocks_max: usize) -> Self {
        Self {
            blocks: Vec::new(),
            blocks_max,
            uses: 0,
        }
    }

    /// Returns the share of the cache in use, in thousandths.
    pub fn used_permille(&self) -> u16 {
        (self.blocks.len() * 1000 / self.blocks_max.max(1)) as u16
    }

    /// Looks a prompt up and stores its blocks.
    pub fn use_prompt(&mut self, name: &str, prompt: &str) -> CacheUse {
        self.uses += 1;
        let mut cached = 0;
        let mut stored = Vec::new();
        for hash in block_hashes(name, prompt) {
            match self.blocks.binary_search_by_key(&hash, |block| block.hash) {
                Ok(at) => {
                    self.blocks[at].last_use = self.uses;
                    cached += usize::from(stored.is_empty());
                }
                Err(_) if self.blocks_max == 0 => {}
                Err(at) => {
                    let last_use = self.uses;
                    self.blocks.insert(at, Block { hash, last_use });
                    stored.push(hash);
                }
            }
        }
        CacheUse {
            tokens: prompt.len().div_ceil(PROMPT_TOKEN_BYTES) as u32,
            tokens_cached: (cached * BLOCK_BYTES / PROMPT_TOKEN_BYTES) as u32,
            stored,
            removed: self.evict(),
        }
    }

    /// Removes the least recently used blocks beyond the limit.
    fn evict(&mut self) -> Vec<u64> {
        let over = self.blocks.len().saturating_sub(self.blocks_max);
        if over == 0 {
            return Vec::new();
        }
        let mut by_use: Vec<(u64, u64)> = self
            .blocks
            .iter()
            .map(|block| (block.last_use, block.hash))
            .collect();
        by_use.select_nth_unstable(over - 1);
        let mut gone: Vec<u64> = by_use[..over].iter().map(|(_, hash)| *hash).collect();
        gone.sort_unstable();
        self.blocks
            .retain(|block| gone.binary_search(&block.hash).is_err());
        gone
    }
}

/// Returns the hash of each whole block, each over all that stands before it.
fn block_hashes(name: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let hashes = blocks.map(|block| {
        hasher.write(block);
        hasher.finish()
    });
    hashes.collect()
}
