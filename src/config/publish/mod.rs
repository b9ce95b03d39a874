//! Publishes a checked configuration to the key-value service.

mod archive;
mod base;
mod blob_writer;
mod collector;
mod outcome;
mod publisher;
mod resolve;
mod retention;

pub use {archive::*, collector::*, outcome::*, publisher::*, retention::*};
