//! The configuration: the objects that operators edit, their checks, and their publication.

mod catalog;
mod check;
mod diff;
mod fault;
mod follow;
mod head;
mod object;
mod object_id;
mod publish;
mod read;
mod snapshot;

pub use {
    catalog::*, check::*, diff::*, fault::*, follow::*, head::*, object::*, object_id::*,
    publish::*, read::*, snapshot::*,
};
