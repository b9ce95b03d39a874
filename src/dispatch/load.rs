//! The load that requests put on a runner.

use {
    crate::{
        relay::GenerationRequest,
        traffic::{AdapterId, ModelId},
    },
    serde::{Deserialize, Serialize},
};

/// A model, or one of its adapters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Variant {
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<AdapterId>,
}

impl Variant {
    /// Returns the variant that a request generates with.
    pub fn of(generation: &GenerationRequest) -> Self {
        Self {
            model: generation.model.clone(),
            adapter: generation.adapter.clone(),
        }
    }
}

/// The load of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestLoad {
    /// What it generates with; `None` at plain services.
    pub variant: Option<Variant>,
    /// The memory that its whole run will need.
    pub kv_tokens: u64,
    /// Tokens of its prompt that the runner has yet to read.
    pub prefill_tokens: u64,
}

/// The load that one node puts on a runner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeLoad {
    /// Requests in flight.
    pub requests: u32,
    /// The memory that they will need.
    pub kv_tokens: u64,
    /// Tokens of prompts that the runner has yet to read.
    pub prefill_tokens: u64,
    /// Tokens of prompts that were sent of late, whether read or not.
    pub recent_tokens: u64,
    /// Requests in flight by variant, sorted; empty at plain services.
    pub in_use: Vec<(Variant, u32)>,
}

impl NodeLoad {
    /// Counts a request in.
    pub fn add(&mut self, request: &RequestLoad) {
        self.requests += 1;
        self.kv_tokens += request.kv_tokens;
        self.prefill_tokens += request.prefill_tokens;
        let Some(variant) = &request.variant else {
            return;
        };
        match self
            .in_use
            .binary_search_by(|(known, _)| known.cmp(variant))
        {
            Ok(position) => self.in_use[position].1 += 1,
            Err(position) => self.in_use.insert(position, (variant.clone(), 1)),
        }
    }

    /// Counts a request out.
    pub fn remove(&mut self, request: &RequestLoad) {
        self.requests = self.requests.saturating_sub(1);
        self.kv_tokens = self.kv_tokens.saturating_sub(request.kv_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(request.prefill_tokens);
        let Some(variant) = &request.variant else {
            return;
        };
        if let Ok(position) = self
            .in_use
            .binary_search_by(|(known, _)| known.cmp(variant))
        {
            self.in_use[position].1 -= 1;
            if self.in_use[position].1 == 0 {
                self.in_use.remove(position);
            }
        }
    }

    /// Notes that the prompt of a request has been read.
    pub fn prompt_read(&mut self, request: &mut RequestLoad) {
        let tokens = std::mem::take(&mut request.prefill_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(tokens);
    }
}

/// The load of a runner from all nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TotalLoad {
    /// Requests in flight.
    pub requests: u32,
    /// The memory that they will need.
    pub kv_tokens: u64,
    /// Tokens of prompts that the runner has yet to read.
    pub prefill_tokens: u64,
}

impl TotalLoad {
    /// Adds the load from one node.
    pub fn add(&mut self, load: &NodeLoad) {
        self.requests = self.requests.saturating_add(load.requests);
        self.kv_tokens = self.kv_tokens.saturating_add(load.kv_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_add(load.prefill_tokens);
    }
}
