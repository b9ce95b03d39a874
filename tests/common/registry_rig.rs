//! A test rig of a runner registry with runners, and requests for them.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    bytes::Bytes,
    greengagetrail::{
        discovery::{ResidentModel, RunnerEntry, RunnerKey, RunnerState},
        dispatch::{
            Assignment, DispatchRequest, Dispatcher, PassOn, ResidencyChange, RunnerRegistry,
        },
        quarantine::RequestDigest,
        relay::GenerationRequest,
        traffic::{
            ActiveConfig, CallerLimits, ConfigVersion, EngineSpec, ModelSpec, RouteTable,
            ServiceSpec, TrafficConfig,
        },
        workspaces::WorkspaceDirectory,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::Instant,
};

pub const ENGINE_SERVICE: &str = "engines";
pub const PLAIN_SERVICE: &str = "desk";
pub const SLOTS: u32 = 4;

/// A runner registry with the dispatcher that uses it.
pub struct Rig {
    pub registry: Arc<RunnerRegistry>,
    pub dispatcher: Dispatcher,
}

/// Creates a registry in the zone "east" with a configuration of an engine and a plain service.
pub fn rig(runners: Vec<RunnerEntry>) -> Rig {
    rig_with_memory(runners, 10_000)
}

/// Creates such a registry with engines whose KV cache holds a number of tokens.
pub fn rig_with_memory(runners: Vec<RunnerEntry>, kv_capacity_tokens: u64) -> Rig {
    rig_in("east", runners, kv_capacity_tokens)
}

/// Creates such a registry in a zone.
pub fn rig_in(zone: &str, runners: Vec<RunnerEntry>, kv_capacity_tokens: u64) -> Rig {
    let traffic = Arc::new(ActiveConfig::default());
    assert!(traffic.activate_if_newer(RouteTable::new(config(kv_capacity_tokens), Bytes::new())));
    let registry = Arc::new(RunnerRegistry::new(zone.into(), traffic));
    registry.set_runners(runners);
    let dispatcher = Dispatcher::new(registry.clone());
    Rig {
        registry,
        dispatcher,
    }
}

fn config(kv_capacity_tokens: u64) -> TrafficConfig {
    let models = ["m1", "m2", "rare"].map(|name| ModelSpec {
        name: name.into(),
        weights_mb: 10.0,
        load_from_store_s: 1.0,
        load_from_memory_s: 0.5,
        load_from_disk_s: 0.7,
        adapters: 2,
        adapter_mb: 1.0,
    });
    let engine = EngineSpec {
        slots: SLOTS,
        kv_capacity_tokens,
        weights_memory_mb: 20.0,
        adapter_slots: 2,
        store_loads_per_s: 1.0,
        models: models.into(),
    };
    let service = |name: &str, engine| ServiceSpec {
        name: name.into(),
        connections_max: 100,
        engine,
    };
    TrafficConfig {
        version: ConfigVersion(1),
        routes: Vec::new(),
        services: vec![
            service(PLAIN_SERVICE, None),
            service(ENGINE_SERVICE, Some(engine)),
        ],
        limits: CallerLimits {
            head_max_bytes: 1,
            body_max_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        workspaces: WorkspaceDirectory::default(),
    }
}

/// Returns the entry of a ready runner in the zone "east" that holds models with adapters.
pub fn runner(name: &str, models: &[(&str, &[&str])]) -> RunnerEntry {
    let models = models.iter().map(|(model, adapters)| ResidentModel {
        model: (*model).into(),
        version: 1,
        adapters: adapters.iter().map(|name| (*name).into()).collect(),
    });
    RunnerEntry {
        key: RunnerKey {
            id: name.into(),
            born_unix_ms: 1,
        },
        service: ENGINE_SERVICE.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "east".into(),
        slots: SLOTS,
        state: RunnerState::Ready,
        software: "v1".into(),
        cold_remaining_ms: 0,
        models: models.collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// Creates a registry with one runner for each of two models.
pub fn two_runners() -> Rig {
    rig(vec![
        runner("a", &[("m1", &[])]),
        runner("b", &[("m2", &[])]),
    ])
}

/// Returns the entry of a ready runner of the plain service.
pub fn plain_runner(name: &str) -> RunnerEntry {
    RunnerEntry {
        service: PLAIN_SERVICE.into(),
        ..runner(name, &[])
    }
}

/// Returns a digest that no other request has.
fn next_digest() -> RequestDigest {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    RequestDigest(REQUESTS.fetch_add(1, Ordering::Relaxed))
}

/// Returns a request for a short generation with a model or "model/adapter" within ten seconds.
pub fn generation_request(model: &str) -> DispatchRequest {
    let (model, adapter) = match model.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter.into())),
        None => (model, None),
    };
    let generation = GenerationRequest {
        model: model.into(),
        adapter,
        prompt_tokens: 100,
        output_tokens_max: 100,
        output_tokens_hint: None,
        prompt_parts: Vec::new(),
    };
    DispatchRequest {
        service: ENGINE_SERVICE.into(),
        generation: Some(generation),
        software: None,
        digest: next_digest(),
        priority: 1,
        is_urgent: false,
        target_at: Instant::now() + Duration::from_secs(1),
        assign_by: Instant::now() + Duration::from_secs(10),
        caller_deadline: Instant::now() + Duration::from_secs(10),
        tried_runners: Vec::new(),
        pass_on: PassOn::Impossible,
    }
}

/// Returns a request to the plain service.
pub fn plain_request() -> DispatchRequest {
    DispatchRequest {
        service: PLAIN_SERVICE.into(),
        generation: None,
        ..generation_request("m1")
    }
}

/// Returns a residency change of the runner's only start.
pub fn residency_change(
    runner: &str,
    model: &str,
    adapter: Option<&str>,
    held: bool,
) -> ResidencyChange {
    ResidencyChange {
        runner: runner.into(),
        born_unix_ms: 1,
        model: model.into(),
        adapter: adapter.map(Into::into),
        held,
    }
}

/// Returns the name of the assigned runner.
pub fn runner_name(assignment: &Assignment) -> &str {
    assignment.runner.key.id.as_str()
}

/// Lets other tasks run until they wait again.
pub async fn run_pending_tasks() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}
