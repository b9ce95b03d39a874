//! Requests to models: read, admitted, sent to a runner and answered.

mod answer;
mod attempts;
mod copy_choice;
mod inference_request;
mod load_header;
mod models;

pub(super) use attempts::*;
pub use {inference_request::*, load_header::*};
