//! The entry: callers' HTTP, routing and streams.

mod attempt;
mod backend;
mod body_space;
mod call;
mod choose;
mod copy_choice;
mod demand;
#[allow(clippy::module_inception)]
mod entry;
mod entry_metrics;
mod event_id;
mod forward_call;
mod forward_link;
mod forward_service;
mod forward_wire;
mod idempotency;
mod inference;
mod inference_request;
mod joined;
mod key_problem;
mod leaving;
mod load_header;
mod long_answer;
mod models;
mod open_requests;
mod relay;
mod response_head;
mod resume;
mod routes;
mod run;
mod serve;
mod service_call;
mod service_dispatch;
mod service_request;
mod settings;
mod sse;
mod stream_check;
mod stream_source;
mod ticket_call;
mod view;

use {attempt::*, joined::*, key_problem::*, relay::*, response_head::*, stream_source::*};
pub use {
    backend::*, body_space::*, call::*, choose::*, demand::*, entry::*, entry_metrics::*,
    event_id::*, forward_link::*, forward_wire::*, idempotency::*, inference_request::*,
    leaving::*, load_header::*, open_requests::*, routes::*, run::*, service_request::*,
    settings::*, sse::*, stream_check::*, view::*,
};
