//! An estimate of the prompt prefixes in a runner's cache.

use {
    crate::relay::Generation,
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
    pub fn of(generation: &Generation) -> Self {
        let mut hasher = DefaultHasher::new();
        generation.model.hash(&mut hasher);
        generation.adapter.hash(&mut hasher);
        let links = generation.parts.iter().map(|part| {
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
struct Kept {
    hash: u64,
    tokens: u32,
    used: u64,
}

/// The prompt parts that a runner probably has in its prefix cache.
#[derive(Debug, Default)]
pub struct PrefixRecord {
    kept: Vec<Kept>,
    tokens: u64,
    uses: u64,
}

impl PrefixRecord {
    /// The most parts tracked per runner.
    const PARTS_MAX: usize = 192;

    /// Returns the number of tokens at the start of a prompt that the runner probably has cached.
    pub fn kept_tokens(&self, chain: &PromptChain) -> u32 {
        let kept = chain.links.iter().take_while(|link| {
            let found = self.kept.binary_search_by_key(&link.hash, |kept| kept.hash);
            found.is_ok()
        });
        kept.map(|link| link.tokens).sum()
    }

    /// Records that the runner processed a prompt; the cache holds at most `tokens_max` in all.
    pub fn read(&mut self, chain: &PromptChain, tokens_max: u64) {
        self.uses += 1;
        for link in &chain.links {
            match self.kept.binary_search_by_key(&link.hash, |kept| kept.hash) {
                Ok(position) => self.kept[position].used = self.uses,
                Err(position) => {
                    let kept = Kept {
                        hash: link.hash,
                        tokens: link.tokens,
                        used: self.uses,
                    };
                    self.kept.insert(position, kept);
                    self.tokens += u64::from(link.tokens);
                }
            }
        }
        while self.kept.len() > Self::PARTS_MAX || self.tokens > tokens_max {
            if !self.drop_oldest() {
                break;
            }
        }
    }

    /// Removes all parts.
    pub fn clear(&mut self) {
        self.kept.clear();
        self.tokens = 0;
    }

    fn drop_oldest(&mut self) -> bool {
        let oldest = (0..self.kept.len()).min_by_key(|position| self.kept[*position].used);
        let Some(position) = oldest else {
            return false;
        };
        let kept = self.kept.remove(position);
        self.tokens = self.tokens.saturating_sub(u64::from(kept.tokens));
        true
    }
}
