//! The cost of sending a request to a runner.

use super::TotalLoad;

/// The rate at which a runner processes prompts (prefill).
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 26.0;

/// The delay that each request running at the engine adds.
const RUNNING_MS: f64 = 1.0;

/// The delay of a request at a runner of a plain service with all slots in use.
const PLAIN_FULL_MS: f64 = 60.0;

/// The delay that is accepted to stay in the own data centre.
const OTHER_ZONE_MS: f64 = 4.0;

/// The delay at a runner that is still slow after its start.
const COLD_MS: f64 = 60.0;

/// The resources that a request needs of a runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Tokens of the prompt; 0 for plain services.
    pub prompt_tokens: u64,
    /// KV cache that the request needs until its end, in tokens.
    pub kv_tokens: u64,
    /// KV cache of a runner in tokens, shared by its requests; `None` for plain services.
    pub kv_capacity_tokens: Option<u64>,
    /// Recently sent prompt tokens up to which a runner gets another prompt.
    pub paced_tokens_max: u64,
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
    pub paced_tokens: u64,
    /// Tokens of the request's prompt in the runner's prefix cache.
    pub kept_tokens: u64,
    /// Whether the runner is in this node's data centre.
    pub same_zone: bool,
    /// Whether the runner is still slow after its start.
    pub cold: bool,
    /// The runner's answer time relative to the other runners of its service.
    pub slowness: f64,
}

/// Returns the expected delay of a request at a runner, in milliseconds; `None` if the runner
/// has no free capacity.
pub fn cost_ms(need: &Need, candidate: &Candidate) -> Option<f64> {
    if !has_room(need, candidate) {
        return None;
    }
    let total = &candidate.total;
    let busy_ms = if need.kv_capacity_tokens.is_some() {
        let unread = need.prompt_tokens.saturating_sub(candidate.kept_tokens);
        let reading_ms = (total.prefill_tokens + unread) as f64 / PREFILL_TOKENS_PER_MS;
        reading_ms + f64::from(total.requests) * RUNNING_MS
    } else {
        f64::from(total.requests + 1) / f64::from(candidate.slots.max(1)) * PLAIN_FULL_MS
    };
    let zone_ms = if candidate.same_zone {
        0.0
    } else {
        OTHER_ZONE_MS
    };
    let cold_ms = if candidate.cold { COLD_MS } else { 0.0 };
    Some(busy_ms * candidate.slowness.max(0.5) + zone_ms + cold_ms)
}

fn has_room(need: &Need, candidate: &Candidate) -> bool {
    let total = &candidate.total;
    let Some(capacity) = need.kv_capacity_tokens else {
        let slots = candidate.slots.max(1);
        return candidate.own_requests < slots && total.requests < slots.saturating_mul(2);
    };
    if total.requests == 0 {
        return true;
    }
    let overhang = if need.most_urgent {
        candidate.slots / 8
    } else {
        0
    };
    let unread = need.prompt_tokens.saturating_sub(candidate.kept_tokens);
    let paced = is_paced(candidate.paced_tokens, unread, need.paced_tokens_max);
    total.requests < candidate.slots + overhang
        && total.kv_tokens + need.kv_tokens <= capacity
        && paced
}

/// Returns whether the pace of prompts allows another one.
///
/// A prompt above half of the budget needs only half of the budget to be free, so that small
/// prompts cannot starve it.
fn is_paced(sent: u64, prompt: u64, max: u64) -> bool {
    let half = max / 2;
    sent == 0 || sent + prompt <= max || (prompt > half && sent <= half)
}
