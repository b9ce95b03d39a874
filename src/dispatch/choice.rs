//! What it costs a request to go to a runner.

use super::TotalLoad;

/// Tokens of prompts that a runner reads in a millisecond.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 26.0;

/// The time that one more running request costs the request, in milliseconds.
const RUNNING_MS: f64 = 1.0;

/// The time that a plain service's request costs at a runner with all slots taken.
const PLAIN_FULL_MS: f64 = 60.0;

/// The time that it is worth to stay in the data centre, in milliseconds.
const OTHER_ZONE_MS: f64 = 4.0;

/// The time that a runner loses while it is slow after its start, in milliseconds.
const COLD_MS: f64 = 60.0;

/// What a request needs of a runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Tokens of its prompt; 0 at plain services.
    pub prompt_tokens: u64,
    /// The memory that its whole run needs.
    pub kv_tokens: u64,
    /// Tokens that a runner's requests share; `None` at plain services.
    pub kv_capacity_tokens: Option<u64>,
    /// Tokens of prompts of late that a runner may have.
    pub paced_tokens_max: u64,
    /// Whether no request is more urgent.
    pub most_urgent: bool,
}

/// What is known of a runner that could serve a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests that it processes at once.
    pub slots: u32,
    /// The load from this node.
    pub own_requests: u32,
    /// The load from all nodes.
    pub total: TotalLoad,
    /// Tokens of prompts that it has yet to read, was sent of late, or may be sent unheard.
    pub paced_tokens: u64,
    /// Tokens of the request's prompt that it keeps.
    pub kept_tokens: u64,
    /// Whether it is in the node's data centre.
    pub same_zone: bool,
    /// Whether it is slow after its start.
    pub cold: bool,
    /// How slow it is against others of its service.
    pub slowness: f64,
}

/// Returns the time that a request loses at a runner, in milliseconds; `None` if it has no room.
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

/// Returns whether a prompt may be sent after those of late.
///
/// A large one needs only half of the span's tokens to be free, so that small ones cannot keep it
/// waiting for good.
fn is_paced(sent: u64, prompt: u64, max: u64) -> bool {
    let half = max / 2;
    sent == 0 || sent + prompt <= max || (prompt > half && sent <= half)
}
