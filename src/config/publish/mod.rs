//! Publishes a checked configuration to the key-value service.

mod blob_writer;
mod garbage_collector;
mod outcome;
mod published_state;
mod publisher;
mod retention;
mod revision_reader;
mod swap_resolution;

pub use {garbage_collector::*, outcome::*, publisher::*, retention::*, revision_reader::*};
