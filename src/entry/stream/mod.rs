//! Streams of model engines: event parsing, validation, relay to the caller and resumption.

mod chunk_buffer;
mod engine_stream;
mod event_id;
mod resume;
mod sse_parser;
mod stream_relay;
mod stream_validator;

pub(super) use stream_relay::*;
use {chunk_buffer::*, engine_stream::*};
pub use {event_id::*, sse_parser::*, stream_validator::*};
