//! The quotas of workspaces, over all nodes; see `docs/design/quotas.md`.
//!
//! A few home nodes of each workspace hold a bucket each. Every other node asks them for the
//! allowance of a request before it sends the request to a runner.

mod allowance_bucket;
mod fair_level;
mod home_ledger;
mod home_list;
mod home_share;
mod leased_allowance;
mod quota_counters;
mod quota_exchange;
mod quota_message;
mod spent_allowance;

pub use {
    allowance_bucket::*, fair_level::*, home_ledger::*, home_list::*, home_share::*,
    leased_allowance::*, quota_counters::*, quota_exchange::*, quota_message::*,
    spent_allowance::*,
};
