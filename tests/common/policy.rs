//! Small catalogs and runner states for the tests of the decisions.

use greengagetrail::{
    config::{Model, Runner},
    engine::ModelResident,
    fleet::RunnerState,
    units::{Epoch, Incarnation, MemoryMib},
};

/// Makes a runner with one accelerator and room for 100 GiB.
pub fn runner(name: &str, data_centre: &str) -> Runner {
    serde_json::from_value(serde_json::json!({
        "name": name, "address": "127.0.0.1:1", "data_centre": data_centre, "accelerators": 1,
        "memory_mib": 102_400, "adapter_pool_mib": 2_048, "fencing": "honoured",
        "order_lateness_max_ms": 1_000,
    }))
    .expect("the object is valid")
}

/// Makes a model of 10 GiB.
pub fn model(name: &str) -> Model {
    Model {
        name: name.parse().expect("the name is valid"),
        version: "1".to_owned(),
        memory_mib: MemoryMib(10_240),
    }
}

/// Makes the state of a runner that holds ready copies of models.
pub fn state(name: &str, models: &[&str]) -> RunnerState {
    let resident = |name: &&str| ModelResident {
        model: name.parse().expect("the name is valid"),
        version: "1".to_owned(),
        ready: true,
    };
    RunnerState {
        name: name.parse().expect("the name is valid"),
        epoch: Epoch(1),
        incarnation: Incarnation(1),
        leaving: false,
        reachable: true,
        models: models.iter().map(resident).collect(),
        adapters: Vec::new(),
    }
}
