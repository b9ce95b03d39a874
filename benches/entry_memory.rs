//! What open streams cost an entry in memory: `cargo bench --bench entry_memory`.

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
    hyper::Method,
    serde_json::json,
    std::{fs, time::Duration},
};

/// The numbers of streams that are open at once, in turn.
const OPEN: [usize; 4] = [0, 240, 480, 960];
/// The models, each alone on an engine, so that admission has a slot for every stream.
const MODELS: usize = 16;
/// The tokens of each stream, far more than are read.
const TOKENS: u32 = 2000;
/// The pause after opening, so that all streams flow.
const SETTLE: Duration = Duration::from_secs(3);

fn main() {
    // `cargo test --all-targets` runs this as well, without the argument.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(measure());
}

async fn measure() {
    println!("| open streams | memory of the entry | more per stream |");
    println!("|---|---|---|");
    let mut base_kib = 0;
    for open in OPEN {
        let resident_kib = resident_with(open).await;
        if open == 0 {
            base_kib = resident_kib;
        }
        let more_kib = resident_kib.saturating_sub(base_kib) as f64 / open.max(1) as f64;
        println!("| {open} | {} KiB | {more_kib:.1} KiB |", resident_kib);
    }
}

/// Returns the resident memory of an entry with some open streams.
async fn resident_with(open: usize) -> u64 {
    let cluster = Cluster::start_published(plan()).await;
    let entry = cluster.vms[0].callers_address;
    let mut streams = Vec::new();
    for index in 0..open {
        let body = json!({
            "model": format!("model-{}", index % MODELS), "prompt": format!("stream {index}"),
            "max_tokens": TOKENS, "stream": true
        });
        let headers = [("content-type", "application/json")];
        let opening = cluster.caller.open(
            Method::POST,
            entry,
            "/v1/completions",
            &headers,
            body.to_string(),
        );
        let response = opening.await.expect("a stream opens");
        assert!(response.status().is_success(), "{}", response.status());
        streams.push(response);
    }
    tokio::time::sleep(SETTLE).await;
    let status = fs::read_to_string(format!("/proc/{}/status", cluster.vms[0].entry.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.unwrap()
        .trim()
        .trim_end_matches("kB")
        .trim()
        .parse()
        .unwrap()
}

fn plan() -> ClusterPlan {
    ClusterPlan {
        vms: 1,
        engines: MODELS,
        models: MODELS,
        model_mib: 30_000,
        adapters: 0,
        engine: json!({
            "memory_mib": 40_000, "adapter_pool_mib": 2_000, "token_us": 36_000,
            "token_us_per_sequence": 0, "prompt_token_us": 0, "batch_max": 4000,
            "waiting_max": 4000, "records_runs": false
        }),
        entry: json!({"log_level": "warn"}),
        ..ClusterPlan::default()
    }
}
