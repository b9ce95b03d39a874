//! The cost of sending a prompt to a runner of a service whose runners differ in speed.

use {
    super::{Candidate, RunnerRequirements, cost_ms},
    crate::capacity::{disturbance_ms, spread_cost_ms, tokens_at_speed},
};

/// Returns the cost of a request at a runner whose `slowness` was learned from its streams, in
/// milliseconds; `None` if the runner has no free capacity.
///
/// Answers the load of prompts over runners of unequal speed: a slow runner gets fewer and shorter
/// prompts, as each one holds up the streams there for longer. `drawn` is a random number from 0 to
/// 1 that spreads the requests of nodes with the same knowledge.
pub fn uneven_cost_ms(
    needs: &RunnerRequirements,
    candidate: &Candidate,
    drawn: f64,
) -> Option<f64> {
    let needs = RunnerRequirements {
        pace_budget_tokens: tokens_at_speed(needs.pace_budget_tokens, candidate.slowness),
        ..*needs
    };
    let cost = cost_ms(&needs, candidate)?;
    let uncached_tokens = needs.prompt_tokens.saturating_sub(candidate.cached_tokens);
    let prompt_tokens = candidate.recent_prompt_tokens + uncached_tokens;
    let streams = candidate.total.requests;
    let disturbance = disturbance_ms(streams, prompt_tokens, needs.pace_budget_tokens);
    Some(cost + disturbance + spread_cost_ms(drawn))
}
