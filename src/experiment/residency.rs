//! Record of the model copies on each runner over time.

use {
    crate::engine::EngineStatus,
    serde::{Deserialize, Serialize},
};

/// A period during which a runner had a copy of a model in one state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CopyInterval {
    /// The name of the runner.
    pub runner: String,
    /// The name of the model.
    pub model: String,
    /// Whether the copy was ready to serve; otherwise it was loading or unloading.
    pub ready: bool,
    /// The begin of the period, in seconds after the start of the load.
    pub from_s: f64,
    /// The end of the period, in seconds after the start of the load.
    pub to_s: f64,
}

/// Derives the periods of copies from sampled runner statuses.
#[derive(Debug, Clone, Default)]
pub struct ResidencyLog {
    open: Vec<CopyInterval>,
    closed: Vec<CopyInterval>,
}

impl ResidencyLog {
    /// Records the status of a runner at a time.
    ///
    /// `None` stands for a runner that did not respond; the periods of its copies end.
    pub fn record_status(&mut self, at_s: f64, runner: &str, status: Option<&EngineStatus>) {
        let models = status.map_or(&[][..], |status| &status.models);
        let mut index = 0;
        while index < self.open.len() {
            let copy = &mut self.open[index];
            let is_unchanged = models
                .iter()
                .any(|model| model.model.as_str() == copy.model && model.ready == copy.ready);
            if copy.runner != runner {
                index += 1;
            } else if is_unchanged {
                copy.to_s = at_s;
                index += 1;
            } else {
                copy.to_s = at_s;
                self.closed.push(self.open.swap_remove(index));
            }
        }
        for model in models {
            let name = model.model.as_str();
            let is_open = |copy: &CopyInterval| copy.runner == runner && copy.model == name;
            if !self.open.iter().any(is_open) {
                self.open.push(CopyInterval {
                    runner: runner.to_owned(),
                    model: name.to_owned(),
                    ready: model.ready,
                    from_s: at_s,
                    to_s: at_s,
                });
            }
        }
    }

    /// Returns all periods, sorted by runner, model and time.
    pub fn finish(mut self) -> Vec<CopyInterval> {
        self.closed.append(&mut self.open);
        self.closed.sort_by(|a, b| {
            let names = (&a.runner, &a.model).cmp(&(&b.runner, &b.model));
            names.then(a.from_s.total_cmp(&b.from_s))
        });
        self.closed
    }
}
