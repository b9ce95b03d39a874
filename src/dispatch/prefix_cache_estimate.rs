//! An estimate of the prompt prefixes in a runner's cache.

use {
    crate::relay::GenerationRequest,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// The hash chain of a prompt's parts: each link covers a part with all parts before it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptChain {
    links: Vec<ChainLink>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ChainLink {
    hash: u64,
    tokens: u32,
}

impl PromptChain {
    /// Computes the chain of a generation's prompt.
    pub fn of(generation: &GenerationRequest) -> Self {
        let mut hasher = DefaultHasher::new();
        generation.model.hash(&mut hasher);
        generation.adapter.hash(&mut hasher);
        let links = generation.prompt_parts.iter().map(|part| {
            part.id.hash(&mut hasher);
            ChainLink {
                hash: hasher.finish(),
                tokens: part.tokens,
            }
        });
        Self {
            links: links.collect(),
        }
    }

    /// Returns the hash of the first part, which all nodes compute alike.
    pub fn first_hash(&self) -> Option<u64> {
        self.links.first().map(|link| link.hash)
    }
}

#[derive(Debug)]
struct CachedPart {
    hash: u64,
    tokens: u32,
    last_use: u64,
}

/// The prompt parts that a runner probably has in its prefix cache.
#[derive(Debug, Default)]
pub struct PrefixCacheEstimate {
    parts: Vec<CachedPart>,
    tokens: u64,
    prompt_count: u64,
}

impl PrefixCacheEstimate {
    /// The most parts tracked per runner.
    const CACHED_PARTS_MAX: usize = 192;

    /// Returns the number of tokens at the start of a prompt that the runner probably has cached.
    pub fn cached_tokens(&self, chain: &PromptChain) -> u32 {
        let cached_links = chain.links.iter().take_while(|link| {
            let found = self
                .parts
                .binary_search_by_key(&link.hash, |part| part.hash);
            found.is_ok()
        });
        cached_links.map(|link| link.tokens).sum()
    }

    /// Records that the runner processed a prompt; the cache holds at most `tokens_max` in all.
    pub fn record_prompt(&mut self, chain: &PromptChain, tokens_max: u64) {
        self.prompt_count += 1;
        for link in &chain.links {
            match self
                .parts
                .binary_search_by_key(&link.hash, |part| part.hash)
            {
                Ok(position) => self.parts[position].last_use = self.prompt_count,
                Err(position) => {
                    let part = CachedPart {
                        hash: link.hash,
                        tokens: link.tokens,
                        last_use: self.prompt_count,
                    };
                    self.parts.insert(position, part);
                    self.tokens += u64::from(link.tokens);
                }
            }
        }
        while self.parts.len() > Self::CACHED_PARTS_MAX || self.tokens > tokens_max {
            if !self.evict_least_recently_used() {
                break;
            }
        }
    }

    /// Removes all parts.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }

    fn evict_least_recently_used(&mut self) -> bool {
        let least_recent =
            (0..self.parts.len()).min_by_key(|position| self.parts[*position].last_use);
        let Some(position) = least_recent else {
            return false;
        };
        let part = self.parts.remove(position);
        self.tokens = self.tokens.saturating_sub(u64::from(part.tokens));
        true
    }
}
