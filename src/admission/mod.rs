//! Admission control: decides which requests run, wait or are refused, and limits retries.

mod admission_controller;
mod class_targets;
mod model_admission;
mod permit;
mod refusal;
mod retry_budget;
mod slot_limit;

pub use {admission_controller::*, class_targets::*, permit::*, refusal::*, retry_budget::*};
