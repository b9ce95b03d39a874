//! Reads objects from JSON files and reports every malformed object.

mod files;
mod object_schemas;
mod parse;
mod schema;
mod strict_json;

pub use {files::*, parse::*};
