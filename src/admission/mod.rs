//! Admission control: decides which requests run, wait or are refused, and limits retries.

mod class_targets;
mod controller;
mod gate;
mod permit;
mod refusal;
mod retry_budget;
mod slot_limit;

pub use {class_targets::*, controller::*, permit::*, refusal::*, retry_budget::*};
