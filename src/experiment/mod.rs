//! Experiments: one schedule of load and disruptions over several settings and seeds, through
//! processes of the system and its stand-ins.

mod addresses;
mod args;
mod charts;
mod child;
mod copies_chart;
mod deployment;
mod disruption;
mod error;
mod http_call;
mod moves_meter;
mod page;
mod plan;
mod player;
mod process_spec;
mod processes;
mod report;
mod residency;
mod run;
mod sampler;
mod settings;
mod trial;

pub use {
    args::*, charts::*, copies_chart::*, disruption::*, error::*, moves_meter::*, page::*, plan::*,
    player::*, report::*, residency::*, run::*, settings::*,
};
