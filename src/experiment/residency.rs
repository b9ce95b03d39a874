//! Where the copies were over time.

use {
    crate::engine::EngineStatus,
    serde::{Deserialize, Serialize},
};

/// A time during which a runner held a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldCopy {
    /// The runner.
    pub runner: String,
    /// The model.
    pub model: String,
    /// Whether it could serve; else it loaded or unloaded.
    pub ready: bool,
    /// From when, in seconds after the start of the load.
    pub from_s: f64,
    /// Until when, in seconds after the start of the load.
    pub to_s: f64,
}

/// Makes times out of what the runners said of themselves.
#[derive(Debug, Clone, Default)]
pub struct ResidencyLog {
    open: Vec<HeldCopy>,
    closed: Vec<HeldCopy>,
}

impl ResidencyLog {
    /// Takes what a runner held at a time; a runner that gave no answer held nothing that is
    /// known.
    pub fn take(&mut self, at_s: f64, runner: &str, status: Option<&EngineStatus>) {
        let models = status.map_or(&[][..], |status| &status.models);
        let mut index = 0;
        while index < self.open.len() {
            let copy = &mut self.open[index];
            let goes_on = models
                .iter()
                .any(|model| model.model.as_str() == copy.model && model.ready == copy.ready);
            if copy.runner != runner {
                index += 1;
            } else if goes_on {
                copy.to_s = at_s;
                index += 1;
            } else {
                copy.to_s = at_s;
                self.closed.push(self.open.swap_remove(index));
            }
        }
        for model in models {
            let name = model.model.as_str();
            let is_open = |copy: &HeldCopy| copy.runner == runner && copy.model == name;
            if !self.open.iter().any(is_open) {
                self.open.push(HeldCopy {
                    runner: runner.to_owned(),
                    model: name.to_owned(),
                    ready: model.ready,
                    from_s: at_s,
                    to_s: at_s,
                });
            }
        }
    }

    /// Returns all times, sorted by runner, model and time.
    pub fn finish(mut self) -> Vec<HeldCopy> {
        self.closed.append(&mut self.open);
        self.closed.sort_by(|a, b| {
            let names = (&a.runner, &a.model).cmp(&(&b.runner, &b.model));
            names.then(a.from_s.total_cmp(&b.from_s))
        });
        self.closed
    }
}
