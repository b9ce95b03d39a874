//! What a prompt costs the streams that a runner serves already.

/// The delay at which a runner's streams are valued if they wait as long as their routes allow.
const DISTURBED_STREAM_COST_MS: f64 = 10.0;

/// The mean of the random cost at which nodes choose among runners of different speeds.
const CHOICE_SPREAD_MS: f64 = 6.0;

/// Returns the cost of a prompt for the streams at a runner.
///
/// Answers the load of long prompts at slow runners: a runner reads prompts between the events of
/// its streams, so that one prompt can hold up all of them for longer than their callers expect.
/// `prompt_tokens` are those that the runner reads or read lately, with the new ones;
/// `budget_tokens` those that it reads within the longest pause of a stream. The cost grows with
/// the square, since short pauses harm nobody.
pub fn disturbance_ms(streams: u32, prompt_tokens: u64, budget_tokens: u64) -> f64 {
    let share = prompt_tokens as f64 / budget_tokens.max(1) as f64;
    f64::from(streams) * share * share * DISTURBED_STREAM_COST_MS
}

/// Returns the random cost of a runner from a number drawn from 0 to 1.
///
/// Answers the load of many nodes that learn of each other's requests late: with this cost each
/// runner is chosen in proportion, so that they don't all choose the one that looked best last.
pub fn spread_cost_ms(drawn: f64) -> f64 {
    let drawn = drawn.clamp(1e-9, 1.0 - 1e-9);
    (-drawn.ln()).ln() * CHOICE_SPREAD_MS
}

/// Returns the prompt tokens that a runner of a slowness reads while one of the mean speed reads
/// `tokens`.
pub fn tokens_at_speed(tokens: u64, slowness: f64) -> u64 {
    (tokens as f64 / slowness) as u64
}
