//! Reads objects from JSON files and reports every malformed one.

mod files;
mod parse;
mod shape;
mod shape_table;
mod strict_json;

pub use {files::*, parse::*};
