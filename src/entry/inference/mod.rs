//! Inference requests: parsing, admission, attempts at runners and responses.

mod copy_choice;
mod inference_call;
mod inference_request;
mod load_header;
mod models;
mod runner_attempts;

pub(super) use runner_attempts::*;
pub use {inference_request::*, load_header::*};
