//! The cost of sending a request to a runner.

use super::TotalLoad;

/// The rate at which a runner processes prompts (prefill).
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 26.0;

/// The delay that each request running at the engine adds.
const RUNNING_REQUEST_COST_MS: f64 = 1.0;

/// The delay of a request at a runner of a plain service with all slots in use.
const FULL_PLAIN_RUNNER_COST_MS: f64 = 60.0;

/// The delay that is accepted to stay in the own data centre.
const OTHER_ZONE_COST_MS: f64 = 4.0;

/// The delay at a runner that is still slow after its start.
const COLD_START_COST_MS: f64 = 60.0;

/// The resources that a request needs of a runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunnerRequirements {
    /// Tokens of the prompt; 0 for plain services.
    pub prompt_tokens: u64,
    /// KV cache that the request needs until its end, in tokens.
    pub kv_tokens: u64,
    /// KV cache of a runner in tokens, shared by its requests; `None` for plain services.
    pub kv_capacity_tokens: Option<u64>,
    /// Recently sent prompt tokens up to which a runner gets another prompt.
    pub pace_budget_tokens: u64,
    /// Whether the request has the most urgent priority.
    pub most_urgent: bool,
}

/// The state of a runner that could serve a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests that the runner processes at once.
    pub slots: u32,
    /// Requests in flight from this node.
    pub own_requests: u32,
    /// The load from all nodes.
    pub total: TotalLoad,
    /// Prompt tokens that the runner has not processed yet or was sent recently, with those that
    /// peers may send before their next report.
    pub recent_prompt_tokens: u64,
    /// Tokens of the request's prompt in the runner's prefix cache.
    pub cached_tokens: u64,
    /// Whether the runner is in this node's data centre.
    pub same_zone: bool,
    /// Whether the runner is still slow after its start.
    pub cold: bool,
    /// The runner's response time relative to the other runners of its service.
    pub slowness: f64,
}

/// Returns the expected delay of a request at a runner, in milliseconds; `None` if the runner
/// has no free capacity.
pub fn cost_ms(needs: &RunnerRequirements, candidate: &Candidate) -> Option<f64> {
    if !has_capacity(needs, candidate) {
        return None;
    }
    let total = &candidate.total;
    let busy_ms = if needs.kv_capacity_tokens.is_some() {
        let uncached_tokens = needs.prompt_tokens.saturating_sub(candidate.cached_tokens);
        let prefill_ms = (total.prefill_tokens + uncached_tokens) as f64 / PREFILL_TOKENS_PER_MS;
        prefill_ms + f64::from(total.requests) * RUNNING_REQUEST_COST_MS
    } else {
        f64::from(total.requests + 1) / f64::from(candidate.slots.max(1))
            * FULL_PLAIN_RUNNER_COST_MS
    };
    let zone_ms = if candidate.same_zone {
        0.0
    } else {
        OTHER_ZONE_COST_MS
    };
    let cold_ms = if candidate.cold {
        COLD_START_COST_MS
    } else {
        0.0
    };
    Some(busy_ms * candidate.slowness.max(0.5) + zone_ms + cold_ms)
}

fn has_capacity(needs: &RunnerRequirements, candidate: &Candidate) -> bool {
    let total = &candidate.total;
    let Some(capacity) = needs.kv_capacity_tokens else {
        let slots = candidate.slots.max(1);
        return candidate.own_requests < slots && total.requests < slots.saturating_mul(2);
    };
    if total.requests == 0 {
        return true;
    }
    let extra_slots = if needs.most_urgent {
        candidate.slots / 8
    } else {
        0
    };
    let uncached_tokens = needs.prompt_tokens.saturating_sub(candidate.cached_tokens);
    let is_paced = pace_allows(
        candidate.recent_prompt_tokens,
        uncached_tokens,
        needs.pace_budget_tokens,
    );
    total.requests < candidate.slots + extra_slots
        && total.kv_tokens + needs.kv_tokens <= capacity
        && is_paced
}

/// Returns whether the pace of prompts allows another one.
///
/// A prompt above half of the budget needs only half of the budget to be free, so that small
/// prompts cannot starve it.
fn pace_allows(recent_tokens: u64, prompt_tokens: u64, budget_tokens: u64) -> bool {
    let half = budget_tokens / 2;
    recent_tokens == 0
        || recent_tokens + prompt_tokens <= budget_tokens
        || (prompt_tokens > half && recent_tokens <= half)
}
