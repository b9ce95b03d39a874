//! One node: everything that runs on a VM, in one process.

mod parts;
mod port;
mod run;
mod settings;

pub use {parts::*, port::*, run::*, settings::*};
