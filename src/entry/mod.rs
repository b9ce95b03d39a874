//! The entry: accepts callers' HTTP requests, routes them to runners and backend servers, and
//! relays the responses.

mod call;
#[allow(clippy::module_inception)]
mod entry;
mod entry_metrics;
mod forward;
mod idempotency;
mod inference;
mod limits;
mod response_head;
mod run;
mod serve;
mod service;
mod settings;
mod stream;
mod view;

use response_head::*;
pub use {
    call::*, entry::*, entry_metrics::*, forward::*, idempotency::*, inference::*, limits::*,
    run::*, service::*, settings::*, stream::*, view::*,
};
