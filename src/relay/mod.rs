//! Forwards callers' requests to runners by the rules of their routes, with bounded retries.

mod attempt;
mod attempt_progress;
mod call;
mod connection_pool;
mod cutoff;
mod end_probe;
mod event_splitter;
mod event_stream;
mod first_write;
mod forwarded_call;
mod head;
mod key_check;
mod pass_on;
mod peer_reach;
mod plain_response;
mod refusal;
#[allow(clippy::module_inception)]
mod relay;
mod relay_counters;
mod response_class;
mod response_head;
mod retry_budget;
mod runner_connection;
mod runner_wishes;
mod sent_assignment;
mod serve;
mod usual_times;
mod write_tracker;

use {
    attempt::*, attempt_progress::*, call::*, connection_pool::*, cutoff::*, end_probe::*,
    event_stream::*, first_write::*, forwarded_call::*, key_check::*, refusal::*,
    relay_counters::CancellationGuard, relay_counters::ResponseOutcome, response_class::*,
    runner_connection::*, sent_assignment::*, write_tracker::*,
};
pub use {
    event_splitter::*, head::*, pass_on::PASSED_ON, relay::*, relay_counters::RelayCounters,
    retry_budget::*, serve::PASSED_ON_HEAD_MAX_BYTES,
};
