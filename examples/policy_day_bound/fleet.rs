//! The runners that hold weights, second by second.

use crate::{
    demand::length_s,
    site::{Day, Disruption, Site},
};

/// The time after which removed runners are replaced, in seconds.
const REPLACED_AFTER_S: f64 = 4.0;

/// The runners within a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fleet {
    /// The runners that are up and hold weights.
    pub runners: f64,
    /// The copies of models that the runners can hold.
    pub places: f64,
}

/// Returns the runners of each second, under the most favourable assumptions about the day.
pub fn fleets(site: &Site, day: &Day) -> Vec<Fleet> {
    let Some((service, engine, all)) = site.model_service() else {
        return Vec::new();
    };
    let load_s = site
        .models
        .iter()
        .map(|model| model.load_s)
        .fold(f64::INFINITY, f64::min);
    let disk_s = site
        .models
        .iter()
        .map(|model| model.disk_s)
        .fold(f64::INFINITY, f64::min);
    let seconds = length_s(site, day).ceil() as usize;
    let events = day.plan.iter().chain(&day.faults);
    let events = events.filter(|event| {
        event
            .service
            .as_ref()
            .is_none_or(|name| *name == service.name)
    });
    let events: Vec<&Disruption> = events.collect();
    let fleet = |second: usize| {
        let changes = events
            .iter()
            .map(|event| change(event, all, second as f64 + 0.5, load_s, disk_s));
        let runners = (all + changes.sum::<f64>()).max(1.0);
        Fleet {
            runners,
            places: runners * engine.resident,
        }
    };
    (0..seconds).map(fleet).collect()
}

/// Returns the change in the number of runners that a disruption causes at an instant.
fn change(event: &Disruption, all: f64, at_s: f64, load_s: f64, disk_s: f64) -> f64 {
    let within = |from: f64, until: f64| {
        if at_s >= from && at_s < until {
            1.0
        } else {
            0.0
        }
    };
    match event.kind.as_str() {
        "srv_crash" => {
            -event.fewest_of(all, 0.15) * within(event.at, event.at + event.for_s + disk_s)
        }
        "scale_in" if event.how.contains("spot") => {
            let gone = event.at + event.x.unwrap_or(2.0);
            -event.fewest_of(all, 0.15) * within(gone, gone + REPLACED_AFTER_S + load_s)
        }
        "scale_in" => -event.fewest_of(all, 0.15) * within(event.at, f64::INFINITY),
        "scale_out" => event.fewest_of(all, 0.3) * within(event.at + load_s, f64::INFINITY),
        _ => 0.0,
    }
}
