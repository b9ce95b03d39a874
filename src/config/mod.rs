//! The objects that operators edit, and the checked whole that is published.

mod catalog;
mod head;
mod object;

pub use {catalog::*, head::*, object::*};
