//! Which changes of the runner list are logged.

#[path = "common/registry_rig.rs"]
mod registry_rig;

use {
    greengagetrail::discovery::{RunnerChange, RunnerState, diff_runners},
    registry_rig::runner,
};

fn described(changes: &[RunnerChange<'_>]) -> Vec<(String, &'static str)> {
    let changes = changes.iter();
    changes
        .map(|change| (change.entry.key.id.to_string(), change.event))
        .collect()
}

#[test]
fn each_added_removed_or_restarted_runner_is_reported_once() {
    let before = [runner("a", &[]), runner("b", &[]), runner("c", &[])];
    let mut after = [runner("b", &[]), runner("c", &[]), runner("d", &[])];
    after[0].state = RunnerState::Draining { remaining_ms: None };
    after[1].key.born_unix_ms += 1;
    let changes = diff_runners(&before, &after);
    let expected = [
        ("a", "is gone"),
        ("b", "is leaving"),
        ("c", "is gone"),
        ("c", "is listed"),
        ("d", "is listed"),
    ];
    let expected = expected.map(|(id, event)| (id.to_owned(), event));
    assert_eq!(described(&changes), expected);
}

#[test]
fn other_changes_of_a_runner_are_not_reported() {
    let before = [runner("a", &[])];
    let after = [runner("a", &[("m", &[])])];
    assert_eq!(described(&diff_runners(&before, &after)), []);
    let mut leaving = runner("a", &[]);
    leaving.state = RunnerState::Draining { remaining_ms: None };
    let leaving = [leaving];
    assert_eq!(described(&diff_runners(&leaving, &leaving)), []);
}
