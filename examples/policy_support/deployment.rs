//! The two deployments at the sizes of today.

use greengagetrail::config::{Catalog, Object};
use serde_json::json;

/// One deployment with its catalog and its load.
pub struct DeploymentCase {
    pub name: &'static str,
    pub catalog: Catalog,
    /// Requests per second at which every accelerator is busy.
    pub capacity_per_s: f64,
    /// The share of each class among the requests, with priority and target.
    pub classes: &'static [(f64, u8, f64)],
    /// The share of the capacity that is asked for in each fifth of the trace.
    pub phases: [f64; 5],
    /// Whether the shares of the models stay as they are, without bursts and shifts.
    pub steady: bool,
}

impl DeploymentCase {
    /// Makes the demand steady at a share of the capacity.
    pub fn into_steady(mut self, share: f64) -> Self {
        self.phases = [share; 5];
        self.steady = true;
        self
    }
}

/// Tokens per second that one accelerator generates with a full batch and cached prompts.
pub const TOKENS_PER_ACCELERATOR_S: f64 = 500.0;
/// The mean number of tokens of an answer.
pub const TOKENS_MEAN: f64 = 60.0;

/// Phone notes, contract drafts and summaries of the exchange.
pub fn maltgrain(memory_mib: u64) -> DeploymentCase {
    DeploymentCase {
        name: "maltgrain",
        catalog: catalog(18, 30, 4, 100, memory_mib, (5.0, 2.5, 3, 24)),
        capacity_per_s: 18.0 * TOKENS_PER_ACCELERATOR_S / TOKENS_MEAN,
        classes: &[(0.4, 0, 1_000.0), (0.4, 1, 3_000.0), (0.2, 2, 10_000.0)],
        phases: [0.5, 0.6, 0.85, 0.6, 0.75],
        steady: false,
    }
}

/// Captions and critiques of the portfolio host.
pub fn kente(memory_mib: u64) -> DeploymentCase {
    DeploymentCase {
        name: "kente",
        catalog: catalog(9, 13, 3, 60, memory_mib, (20.0, 1.0, 7, 56)),
        capacity_per_s: 9.0 * TOKENS_PER_ACCELERATOR_S / TOKENS_MEAN,
        classes: &[(0.4, 0, 3_000.0), (0.6, 2, 20_000.0)],
        phases: [0.35, 0.5, 0.9, 0.9, 0.5],
        steady: false,
    }
}

fn catalog(
    runners: usize,
    models: usize,
    places: usize,
    adapters: usize,
    memory_mib: u64,
    (weight, loads_per_s, at_once, adapters_at_once): (f64, f64, u32, u32),
) -> Catalog {
    let mut objects = vec![json!({
        "kind": "deployment", "move_weight": weight, "model_loads_per_s": loads_per_s,
        "model_loads_at_once_max": at_once, "adapter_loads_at_once_max": adapters_at_once,
    })];
    for place in 0..places {
        objects.push(json!({"kind": "data_centre", "name": format!("dc{place}"), "region": "r"}));
    }
    for runner in 0..runners {
        objects.push(json!({
            "kind": "runner", "name": format!("r{runner:02}"), "address": "127.0.0.1:1",
            "data_centre": format!("dc{}", runner % places), "accelerators": 1,
            "memory_mib": memory_mib, "adapter_pool_mib": 2_000, "fencing": "honoured",
            "order_lateness_max_ms": 1_000,
        }));
    }
    for model in 0..models {
        objects.push(json!({
            "kind": "model", "name": format!("m{model:02}"), "version": "1",
            "memory_mib": 14_000 + model % 4 * 4_000,
        }));
    }
    for adapter in 0..adapters {
        objects.push(json!({
            "kind": "adapter", "name": format!("a{adapter:03}"),
            "model": format!("m{:02}", adapter % models), "memory_mib": 100,
        }));
    }
    let parse = |value| serde_json::from_value::<Object>(value).expect("the object is valid");
    Catalog::from_objects(objects.into_iter().map(parse))
}
