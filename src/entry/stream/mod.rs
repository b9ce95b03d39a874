//! Streams of model engines: split into events, checked, relayed and resumed.

mod event_id;
mod joined;
mod relay;
mod resume;
mod sse_parser;
mod stream_check;
mod stream_source;

pub(super) use relay::*;
pub use {event_id::*, sse_parser::*, stream_check::*};
use {joined::*, stream_source::*};
