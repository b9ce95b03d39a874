//! Load generator: open-loop load, comparison and saturation runs, and their reports.

mod call;
mod client;
mod compare;
mod latency;
mod line_chart;
mod moves;
mod open_loop;
mod outcome;
mod plot;
mod popularity;
mod report;
mod report_text;
mod run;
mod saturate;
mod schedule;
mod settings;
mod tally;
mod verify;

pub use {
    call::*, client::*, compare::*, latency::*, line_chart::*, moves::*, open_loop::*, outcome::*,
    plot::*, popularity::*, report::*, run::*, saturate::*, schedule::*, settings::*, tally::*,
    verify::*,
};
