//! The objects that operators edit, and the checked whole that is published.

mod catalog;
mod check;
mod diff;
mod fault;
mod head;
mod object;
mod object_id;
mod read;
mod snapshot;

pub use {
    catalog::*, check::*, diff::*, fault::*, head::*, object::*, object_id::*, read::*, snapshot::*,
};
