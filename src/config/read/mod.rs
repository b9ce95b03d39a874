//! Reads objects from JSON files and reports every malformed one.

mod files;
mod object_schemas;
mod parse;
mod schema;
mod strict_json;

pub use {files::*, parse::*};
