//! Requests to plain services: parsing, idempotency, attempts at backend servers and responses.

mod backend;
mod backend_choice;
mod key_problem;
mod long_response;
mod service_call;
mod service_dispatch;
mod service_request;
mod ticket_call;

pub(super) use key_problem::*;
pub use {backend::*, backend_choice::*, service_request::*};
