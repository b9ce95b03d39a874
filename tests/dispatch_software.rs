//! Requests that only runners of one software version may serve.

mod common {
    pub mod registry_rig;
}

use {
    common::registry_rig::{Rig, generation_request, rig, run_pending_tasks, runner, runner_name},
    greengagetrail::{
        discovery::RunnerEntry,
        dispatch::{
            Assignment, DispatchRefusal, DispatchRequest, NodeReport, RefusalCause, RunnerRegistry,
        },
    },
    std::time::Duration,
    tokio::{task::JoinHandle, time::advance},
};

fn of_version(name: &str, software: &str) -> RunnerEntry {
    RunnerEntry {
        software: software.into(),
        ..runner(name, &[("m1", &[])])
    }
}

fn two_versions() -> Rig {
    rig(vec![of_version("a", "v1"), of_version("b", "v1.1")])
}

fn request_at(software: &str) -> DispatchRequest {
    DispatchRequest {
        software: Some(software.into()),
        ..generation_request("m1")
    }
}

fn assign(rig: &Rig, request: DispatchRequest) -> JoinHandle<Result<Assignment, DispatchRefusal>> {
    let dispatcher = rig.dispatcher.clone();
    tokio::spawn(async move { dispatcher.assign(&request).await })
}

/// Takes all slots of the runner with a version.
async fn fill(rig: &Rig, software: &str) -> Vec<Assignment> {
    let mut held = Vec::new();
    for _ in 0..common::registry_rig::SLOTS {
        held.push(rig.dispatcher.assign(&request_at(software)).await.unwrap());
    }
    held
}

fn list(registry: &RunnerRegistry, runners: Vec<RunnerEntry>) {
    registry.set_runners(runners);
}

#[tokio::test(start_paused = true)]
async fn only_runners_of_the_version_are_assigned() {
    let rig = two_versions();
    for _ in 0..3 {
        let assignment = rig.dispatcher.assign(&request_at("v1.1")).await.unwrap();
        assert_eq!(runner_name(&assignment), "b");
    }
}

// Guards against waits for a version that no order brings back.
#[tokio::test(start_paused = true)]
async fn a_request_without_a_runner_of_its_version_is_refused_at_once() {
    let rig = two_versions();
    let refused = assign(&rig, request_at("v2"));
    run_pending_tasks().await;
    assert!(refused.is_finished());
    let refusal = refused.await.unwrap().unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::NoSoftware);

    let _held = fill(&rig, "v1").await;
    let waiting = assign(&rig, request_at("v1"));
    run_pending_tasks().await;
    assert!(!waiting.is_finished());
    list(&rig.registry, vec![of_version("b", "v1.1")]);
    run_pending_tasks().await;
    assert!(waiting.is_finished());
    let refusal = waiting.await.unwrap().unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::NoSoftware);
}

// Guards against requests that wait behind one that only some runners may serve.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_for_one_version_holds_up_no_other() {
    let rig = two_versions();
    let _v1 = fill(&rig, "v1").await;
    let mut v1_1 = fill(&rig, "v1.1").await;
    let bound = assign(&rig, request_at("v1"));
    run_pending_tasks().await;
    let free = assign(&rig, generation_request("m1"));
    run_pending_tasks().await;
    drop(v1_1.pop());
    run_pending_tasks().await;
    assert!(free.is_finished());
    assert!(!bound.is_finished());
}

// Guards against a runner that is back under its name with another version, unseen by the list.
#[tokio::test(start_paused = true)]
async fn a_runner_that_may_have_restarted_gets_no_stream_of_its_version() {
    let rig = two_versions();
    let report = NodeReport {
        unreachable: vec![of_version("a", "v1").key],
        ..NodeReport::default()
    };
    rig.registry.apply_peer_report(&"n2".into(), report);
    advance(Duration::from_millis(600)).await;
    let refused = rig.dispatcher.assign(&request_at("v1")).await.unwrap_err();
    assert_eq!(refused.cause, RefusalCause::NoSoftware);
    let key = of_version("b", "v1.1").key;
    rig.dispatcher.record_unreachable(&key);
    let refused = rig.dispatcher.assign(&request_at("v1.1")).await;
    assert!(refused.is_err());

    let mut restarted = of_version("a", "v1");
    restarted.key.born_unix_ms += 1;
    list(&rig.registry, vec![restarted, of_version("b", "v1.1")]);
    let assignment = rig.dispatcher.assign(&request_at("v1")).await.unwrap();
    assert_eq!(runner_name(&assignment), "a");
}
