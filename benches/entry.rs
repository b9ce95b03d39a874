//! What an entry adds to a call, and what one entry carries: `cargo bench --bench entry`.

#[path = "../tests/common"]
mod common {
    pub mod caller;
    pub mod cluster;
    pub mod links;
    pub mod ports;
    pub mod process;
}

use {
    common::cluster::{Cluster, ClusterPlan},
    greengagetrail::{
        load::{LoadSettings, run_compare, run_saturate},
        settings::Settings,
    },
    serde_json::{Value, json},
    std::sync::Arc,
};

/// The worker threads of the measured entry.
const ENTRY_THREADS: usize = 6;
/// The worker threads that make the calls.
const CALLER_THREADS: usize = 5;

fn main() {
    // `cargo test --all-targets` runs this as well, without the argument.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder
        .worker_threads(CALLER_THREADS)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(measure_all());
}

async fn measure_all() {
    let cores = std::thread::available_parallelism().unwrap();
    println!("{cores} cores; the entry has {ENTRY_THREADS} threads");
    for tokens_per_event in [1, 8] {
        let cluster = Cluster::start_published(plan(tokens_per_event)).await;
        println!("\n{tokens_per_event} tokens per event");
        measure(&cluster).await;
    }
}

async fn measure(cluster: &Cluster) {
    let direct = cluster.engines[0].address;
    let whole = settings(
        cluster,
        json!({"kind": "whole", "tokens": 1, "pairs": 5000}),
    );
    println!("whole answers of one token:");
    print!("{}", run_compare(&whole, direct).await);
    let stream = settings(
        cluster,
        json!({"kind": "stream", "tokens": 16, "pairs": 2000}),
    );
    println!("streams of 16 tokens:");
    print!("{}", run_compare(&stream, direct).await);
    println!("saturated with whole answers of one token:");
    print!("{}", run_saturate(Arc::new(whole)).await);
    let long = settings(
        cluster,
        json!({"kind": "stream", "tokens": 4000, "pairs": 1}),
    );
    println!("saturated with streams of 4000 tokens:");
    print!("{}", run_saturate(Arc::new(long)).await);
}

/// One entry VM and three engines that take no time for a token.
fn plan(tokens_per_event: u32) -> ClusterPlan {
    ClusterPlan {
        vms: 1,
        engines: 3,
        models: 1,
        adapters: 0,
        engine: json!({
            "memory_mib": 40_000, "adapter_pool_mib": 2_000, "token_us": 0,
            "token_us_per_sequence": 0, "prompt_token_us": 0, "batch_max": 1024,
            "tokens_per_event": tokens_per_event, "records_runs": false
        }),
        entry: json!({"threads": ENTRY_THREADS, "log_level": "warn"}),
        keeper: json!({
            "log_level": "warn", "planning_interval_ms": 200, "status_interval_ms": 200
        }),
        ..ClusterPlan::default()
    }
}

fn settings(cluster: &Cluster, call: Value) -> LoadSettings {
    let object = json!({
        "entries": [cluster.vms[0].callers_address], "names": ["model-0"],
        "duration_s": 5.0, "workers": 64, "pairs": call["pairs"],
        "process_ids": [cluster.vms[0].entry.id()],
        "classes": [{
            "name": "all", "share": 1.0, "kind": call["kind"], "first_token_target_ms": 1000,
            "tokens_min": call["tokens"], "tokens_max": call["tokens"]
        }]
    });
    LoadSettings::from_object(object.as_object().unwrap()).unwrap()
}
