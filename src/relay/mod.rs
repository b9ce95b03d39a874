//! Forwards callers' requests to runners by the rules of their routes, with bounded retries.

mod answer;
mod attempt;
mod call;
mod event_splitter;
mod head;
mod plain_answer;
mod progress;
mod refusal;
#[allow(clippy::module_inception)]
mod relay;
mod relay_counts;
mod retry_budget;
mod run;
mod runner_connection;
mod runner_pool;
mod sent_place;
mod serve;
mod stream_relay;
mod verdict;
mod write_watch;

use {
    attempt::*, call::*, progress::*, refusal::*, relay_counts::CancellationGuard,
    relay_counts::ResponseOutcome, run::*, runner_connection::*, runner_pool::*, sent_place::*,
    stream_relay::*, verdict::*, write_watch::*,
};
pub use {event_splitter::*, head::*, relay::*, relay_counts::RelayCounters, retry_budget::*};
