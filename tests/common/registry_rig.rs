//! A board with runners, and requests for them.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    bytes::Bytes,
    greengagetrail::{
        discovery::{ResidentModel, RunnerEntry, RunnerKey, RunnerState},
        dispatch::{Assignment, DispatchRequest, Dispatcher, ResidencyChange, RunnerRegistry},
        relay::Generation,
        traffic::{
            CallerLimits, ConfigVersion, EngineSpec, ModelSpec, RouteMap, ServiceSpec,
            TrafficBoard, TrafficConfig,
        },
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

pub const ENGINES: &str = "engines";
pub const DESK: &str = "desk";
pub const SLOTS: u32 = 4;

pub struct Rig {
    pub board: Arc<RunnerRegistry>,
    pub dispatcher: Dispatcher,
}

/// Makes a board in the zone "east" with a configuration of an engine and a plain service.
pub fn rig(runners: Vec<RunnerEntry>) -> Rig {
    rig_with_memory(runners, 10_000)
}

/// Makes such a board with engines that have memory for a number of tokens.
pub fn rig_with_memory(runners: Vec<RunnerEntry>, kv_capacity_tokens: u64) -> Rig {
    rig_in("east", runners, kv_capacity_tokens)
}

/// Makes such a board in a zone.
pub fn rig_in(zone: &str, runners: Vec<RunnerEntry>, kv_capacity_tokens: u64) -> Rig {
    let traffic = Arc::new(TrafficBoard::default());
    assert!(traffic.offer(RouteMap::new(config(kv_capacity_tokens), Bytes::new())));
    let board = Arc::new(RunnerRegistry::new(zone.into(), traffic));
    board.set_runners(runners);
    let dispatcher = Dispatcher::new(board.clone());
    Rig { board, dispatcher }
}

fn config(kv_capacity_tokens: u64) -> TrafficConfig {
    let models = ["m1", "m2", "rare"].map(|name| ModelSpec {
        name: name.into(),
        weights_mb: 10.0,
        load_s: 1.0,
        warm_s: 0.5,
        disk_s: 0.7,
        adapters: 2,
        adapter_mb: 1.0,
    });
    let engine = EngineSpec {
        slots: SLOTS,
        kv_capacity_tokens,
        weights_mb: 20.0,
        adapter_slots: 2,
        loads_per_s: 1.0,
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
        services: vec![service(DESK, None), service(ENGINES, Some(engine))],
        limits: CallerLimits {
            head_max_bytes: 1,
            body_max_bytes: 1,
            head_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
    }
}

/// Describes a ready runner in the zone "east" that holds models with adapters.
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
        service: ENGINES.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "east".into(),
        slots: SLOTS,
        state: RunnerState::Ready,
        cold_remaining_ms: 0,
        models: models.collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// Makes a board with a runner for each of two models.
pub fn two_runners() -> Rig {
    rig(vec![
        runner("a", &[("m1", &[])]),
        runner("b", &[("m2", &[])]),
    ])
}

/// Describes a ready runner of the plain service.
pub fn desk(name: &str) -> RunnerEntry {
    RunnerEntry {
        service: DESK.into(),
        ..runner(name, &[])
    }
}

/// Wants a short generation with a model or "model/adapter" within ten seconds.
pub fn wanted(model: &str) -> DispatchRequest {
    let (model, adapter) = match model.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter.into())),
        None => (model, None),
    };
    let generation = Generation {
        model: model.into(),
        adapter,
        prompt_tokens: 100,
        output_tokens_max: 100,
        output_tokens_hint: None,
        parts: Vec::new(),
    };
    DispatchRequest {
        service: ENGINES.into(),
        generation: Some(generation),
        priority: 1,
        target_at: Instant::now() + Duration::from_secs(1),
        assign_by: Instant::now() + Duration::from_secs(10),
        caller_deadline: Instant::now() + Duration::from_secs(10),
        tried_runners: Vec::new(),
    }
}

/// Wants an answer of the plain service.
pub fn wanted_desk() -> DispatchRequest {
    DispatchRequest {
        service: DESK.into(),
        generation: None,
        ..wanted("m1")
    }
}

pub fn note(runner: &str, model: &str, adapter: Option<&str>, held: bool) -> ResidencyChange {
    ResidencyChange {
        runner: runner.into(),
        born_unix_ms: 1,
        model: model.into(),
        adapter: adapter.map(Into::into),
        held,
    }
}

pub fn name(place: &Assignment) -> &str {
    place.runner.key.id.as_str()
}

/// Lets other tasks go on.
pub async fn settle() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}
