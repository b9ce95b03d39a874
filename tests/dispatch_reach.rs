//! Whether a node reaches the runners of its services, by its own attempts and probes.

mod common {
    pub mod registry_rig;
}

use {
    common::registry_rig::{Rig, generation_request, plain_runner, rig, runner},
    futures::FutureExt,
    greengagetrail::{
        discovery::RunnerEntry,
        dispatch::{
            AttemptOutcome, DispatchRefusal, DispatchRequest, NodeReport, PassOn, RefusalCause,
        },
    },
    std::time::Duration,
    tokio::time::advance,
};

fn runners() -> Vec<RunnerEntry> {
    let engines = (0..5).map(|number| runner(&format!("e{number}"), &[("m1", &[])]));
    let plain = (0..3).map(|number| plain_runner(&format!("p{number}")));
    engines.chain(plain).collect()
}

fn request() -> DispatchRequest {
    DispatchRequest {
        pass_on: PassOn::Allowed,
        ..generation_request("m1")
    }
}

/// Tries a request at a runner that is not reached; returns the refusal if there is one.
fn fail(rig: &Rig) -> Option<DispatchRefusal> {
    match rig.dispatcher.assign(&request()).now_or_never()? {
        Ok(assignment) => {
            assignment.finish(AttemptOutcome::Unreachable);
            None
        }
        Err(refusal) => Some(refusal),
    }
}

fn is_out_of_reach(rig: &Rig) -> bool {
    let refused = fail(rig);
    refused.is_some_and(|refusal| refusal.cause == RefusalCause::OutOfReach)
}

#[tokio::test(start_paused = true)]
async fn a_service_is_out_of_reach_after_three_runners_failed_and_none_was_reached() {
    let rig = rig(runners());
    for _ in 0..3 {
        assert_eq!(fail(&rig), None);
    }
    assert!(is_out_of_reach(&rig));
    assert_eq!(rig.registry.services_out_of_reach().len(), 1);
    // The other service was not tried: the node is not cut off.
    assert!(!rig.registry.is_cut_off());
    // Without other nodes the runners are tried again.
    let alone = generation_request("m1");
    advance(Duration::from_secs(2)).await;
    assert!(
        rig.dispatcher
            .assign(&alone)
            .now_or_never()
            .unwrap()
            .is_ok()
    );
}

// Guards against a sound runner that falls silent for a second, and is taken for a cut.
#[tokio::test(start_paused = true)]
async fn a_runner_that_fails_among_others_is_no_cut() {
    let rig = rig(runners());
    for _ in 0..40 {
        for _ in 0..2 {
            fail(&rig);
        }
        // All five may be left out after failures; the request waits for one.
        let assignment = rig.dispatcher.assign(&request()).await.unwrap();
        assignment.record_contact();
        assignment.finish(AttemptOutcome::Complete);
        advance(Duration::from_millis(400)).await;
        assert!(rig.registry.services_out_of_reach().is_empty());
    }
}

// Guards against a node that leaves its runners on the word of another.
#[tokio::test(start_paused = true)]
async fn the_reports_of_peers_do_not_cut_a_node_off() {
    let rig = rig(runners());
    let report = NodeReport {
        unreachable: runners().into_iter().map(|entry| entry.key).collect(),
        ..NodeReport::default()
    };
    rig.registry.apply_peer_report(&"n1".into(), report);
    assert!(rig.registry.services_out_of_reach().is_empty());
    advance(Duration::from_millis(400)).await;
    assert!(!is_out_of_reach(&rig));
}

// Guards against a wave of reports that runners can't be reached, by a node that is cut off.
#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_off_reports_few_runners_as_unreachable() {
    let rig = rig(runners());
    for entry in runners() {
        rig.registry.record_probe(&entry, false);
    }
    assert!(rig.registry.is_cut_off());
    let reported = rig.registry.collect_report(true).unreachable;
    assert!(reported.len() <= 4, "{} runners", reported.len());
}

#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_off_probes_its_runners_and_returns_with_the_first_contact() {
    let rig = rig(runners());
    for entry in runners() {
        rig.registry.record_probe(&entry, false);
    }
    let mut probes = 0;
    for _ in 0..50 {
        advance(Duration::from_millis(100)).await;
        probes += rig.registry.take_probes().len();
    }
    // Ten rounds in five seconds, of three runners of each service.
    assert!((54..=66).contains(&probes), "{probes} probes");
    rig.registry.record_probe(&runners()[0], true);
    assert!(!rig.registry.is_cut_off());
    assert_eq!(fail(&rig), None);
}

// Guards against requests that hang on kept connections while new ones are not tried.
#[tokio::test(start_paused = true)]
async fn runners_that_keep_silent_with_requests_in_flight_are_probed() {
    let rig = rig(runners());
    let assignment = rig.dispatcher.assign(&request()).await.unwrap();
    assignment.record_contact();
    assert!(rig.registry.take_probes().is_empty());
    advance(Duration::from_millis(600)).await;
    assert!(!rig.registry.take_probes().is_empty());
    assert!(rig.registry.take_probes().is_empty());
    drop(assignment);
    advance(Duration::from_secs(2)).await;
    assert!(rig.registry.take_probes().is_empty());
}

// Guards against nodes that pass requests back and forth while no node reaches the runners.
#[tokio::test(start_paused = true)]
async fn requests_are_not_passed_on_while_others_do_not_reach_the_runners_either() {
    let rig = rig(runners());
    for entry in runners() {
        rig.registry.record_probe(&entry, false);
    }
    assert!(is_out_of_reach(&rig));
    rig.dispatcher.record_others_out(&runners()[0].service);
    assert!(!is_out_of_reach(&rig) && !rig.registry.is_cut_off());
    advance(Duration::from_millis(1_100)).await;
    assert!(is_out_of_reach(&rig));
}
