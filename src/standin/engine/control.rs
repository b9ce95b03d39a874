//! The control of a stand-in engine.

use {
    super::{EngineFaults, StandinEngine},
    crate::standin::Controlled,
    serde_json::Value,
};

impl Controlled for StandinEngine {
    type Faults = EngineFaults;

    fn faults(&self) -> EngineFaults {
        StandinEngine::faults(self)
    }

    fn set_faults(&self, faults: EngineFaults) {
        StandinEngine::set_faults(self, faults);
    }

    fn record(&self) -> Value {
        serde_json::to_value(StandinEngine::record(self)).unwrap_or_default()
    }

    fn run_command(&self, name: &str) -> bool {
        let known = name == "restart";
        if known {
            self.restart();
        }
        known
    }
}
