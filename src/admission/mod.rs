//! Decides which requests wait, run or are refused, and how often a failed one is retried.

mod class_targets;
mod controller;
mod gate;
mod permit;
mod refusal;
mod retry_budget;
mod slot_limit;

pub use {class_targets::*, controller::*, permit::*, refusal::*, retry_budget::*};
