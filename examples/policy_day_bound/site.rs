//! The parts of a site file that the bound needs; everything else is ignored.

use serde::Deserialize;

/// A deployment and its standard days.
#[derive(Debug, Deserialize)]
pub struct Site {
    pub name: String,
    pub lead_s: f64,
    pub length_s: f64,
    pub machines: Vec<Machines>,
    pub services: Vec<Service>,
    pub classes: Vec<Class>,
    pub models: Vec<Model>,
    pub bounds: Bounds,
    pub prices: Prices,
    pub goal: Goal,
    pub day: Vec<Day>,
}

#[derive(Debug, Deserialize)]
pub struct Machines {
    pub count: u32,
}

#[derive(Debug, Deserialize)]
pub struct Service {
    pub name: String,
    pub servers: Vec<Runners>,
    pub llm: Option<Engine>,
}

#[derive(Debug, Deserialize)]
pub struct Runners {
    pub count: u32,
}

/// An engine that generates in batches.
#[derive(Debug, Deserialize)]
pub struct Engine {
    pub batch: f64,
    pub step_ms: f64,
    pub step_ms_per_slot: f64,
    pub context_ms_per_k: f64,
    pub prefill_tokens_per_ms: f64,
    pub pairs_ms_per_m: f64,
    pub stride: f64,
    pub kv_tokens: f64,
    pub resident: f64,
}

#[derive(Debug, Deserialize)]
pub struct Class {
    pub name: String,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    pub worth: f64,
    pub late_worth: f64,
    pub service: String,
    pub kind: String,
    pub attempts: i32,
    pub retries: i32,
    #[serde(default)]
    pub error_share: f64,
    pub stream: Option<Stream>,
}

#[derive(Debug, Deserialize)]
pub struct Stream {
    pub pieces: Spread,
    pub resume: bool,
    pub prompt_tokens: Spread,
    pub chain: Vec<Part>,
    pub only: Vec<usize>,
    pub only_now: Option<usize>,
    pub model_skew: f64,
}

#[derive(Debug, Deserialize)]
pub struct Spread {
    pub mean: f64,
}

#[derive(Debug, Deserialize)]
pub struct Part {
    pub tokens: Spread,
}

#[derive(Debug, Deserialize)]
pub struct Model {
    pub load_s: f64,
    pub disk_s: f64,
    pub pace: f64,
    pub share: f64,
}

#[derive(Debug, Deserialize)]
pub struct Bounds {
    pub recover_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct Prices {
    pub machine_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct Goal {
    pub mean: f64,
    pub window: f64,
    pub class: f64,
    pub zone: f64,
}

#[derive(Debug, Deserialize)]
pub struct Day {
    pub name: String,
    pub one: f64,
    pub closing: Option<Closing>,
    #[serde(default)]
    pub plan: Vec<Disruption>,
    #[serde(default)]
    pub faults: Vec<Disruption>,
    #[serde(default)]
    pub classes: Vec<DayClass>,
    pub traffic: Vec<Traffic>,
}

#[derive(Debug, Deserialize)]
pub struct Closing {
    pub down_s: f64,
}

/// A disruption; `at` is in seconds from the start of traffic.
#[derive(Debug, Clone, Deserialize)]
pub struct Disruption {
    pub at: f64,
    pub kind: String,
    #[serde(default = "Disruption::usual_span_s")]
    pub for_s: f64,
    pub x: Option<f64>,
    pub share: Option<f64>,
    pub count: Option<usize>,
    #[serde(default)]
    pub how: String,
    pub class: Option<String>,
    pub service: Option<String>,
}

impl Disruption {
    fn usual_span_s() -> f64 {
        5.0
    }

    /// Returns whether the disruption is active at an instant.
    pub fn holds(&self, at_s: f64) -> bool {
        at_s >= self.at && at_s < self.at + self.for_s
    }

    /// Returns how many of a number of runners the disruption affects; a share is rounded down,
    /// to at least one.
    pub fn fewest_of(&self, runners: f64, usual_share: f64) -> f64 {
        match self.count {
            Some(count) => count as f64,
            None => (self.share.unwrap_or(usual_share) * runners)
                .floor()
                .max(1.0),
        }
    }
}

#[derive(Debug, Deserialize)]
pub struct DayClass {
    pub name: String,
    pub stream: DayStream,
}

#[derive(Debug, Deserialize)]
pub struct DayStream {
    pub only: Vec<usize>,
}

#[derive(Debug, Deserialize)]
pub struct Traffic {
    pub mix: std::collections::BTreeMap<String, f64>,
    pub per_s: f64,
    pub shape: Shape,
}

#[derive(Debug, Deserialize)]
pub struct Shape {
    pub swing: f64,
    pub period_s: f64,
    pub phase: f64,
}

impl Site {
    /// Returns the service with model runners, its engine and its number of runners.
    pub fn model_service(&self) -> Option<(&Service, &Engine, f64)> {
        self.services.iter().find_map(|service| {
            let engine = service.llm.as_ref()?;
            let runners: u32 = service.servers.iter().map(|group| group.count).sum();
            Some((service, engine, f64::from(runners)))
        })
    }
}
