//! Experiments: runs one schedule of load and disruptions for several settings and seeds, on
//! processes of the system and stand-ins of its environment.

mod args;
mod charts;
mod child;
mod copies_chart;
mod deployment;
mod disruption;
mod error;
mod free_ports;
mod http_call;
mod move_counter;
mod page;
mod plan;
mod process_spec;
mod processes;
mod report;
mod residency;
mod run;
mod sampler;
mod settings;
mod step_runner;
mod trial;

pub use {
    args::*, charts::*, copies_chart::*, disruption::*, error::*, move_counter::*, page::*,
    plan::*, report::*, residency::*, run::*, settings::*, step_runner::*,
};
