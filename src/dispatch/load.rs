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
    /// The adapter; `None` for the base model.
    pub adapter: Option<AdapterId>,
}

impl Variant {
    /// Returns the variant that a generation uses.
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
    /// The model and adapter that the request uses; `None` for plain services.
    pub variant: Option<Variant>,
    /// KV cache that the request needs until its end, in tokens.
    pub kv_tokens: u64,
    /// Prompt tokens that the runner has not processed yet.
    pub prefill_tokens: u64,
}

/// The load from one node on a runner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeLoad {
    /// Requests in flight.
    pub requests: u32,
    /// KV cache that the requests need until their end, in tokens.
    pub kv_tokens: u64,
    /// Prompt tokens that the runner has not processed yet.
    pub prefill_tokens: u64,
    /// Recently sent prompt tokens, processed or not.
    pub recent_tokens: u64,
    /// Requests in flight by variant, sorted; empty for plain services.
    pub in_use: Vec<(Variant, u32)>,
}

impl NodeLoad {
    /// Adds the load of a request.
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

    /// Removes the load of a request.
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

    /// Removes the prompt of a request, which the runner has processed.
    pub fn record_prompt_processed(&mut self, request: &mut RequestLoad) {
        let tokens = std::mem::take(&mut request.prefill_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(tokens);
    }
}

/// The load on a runner from all nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TotalLoad {
    /// Requests in flight.
    pub requests: u32,
    /// KV cache that the requests need until their end, in tokens.
    pub kv_tokens: u64,
    /// Prompt tokens that the runner has not processed yet.
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
