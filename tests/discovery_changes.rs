//! What is logged of a changed list of runners.

#[path = "common/registry_rig.rs"]
mod registry_rig;

use {
    registry_rig::runner,
    greengagetrail::discovery::{RunnerChange, RunnerState, list_changes},
};

fn told(changes: &[RunnerChange<'_>]) -> Vec<(String, &'static str)> {
    let changes = changes.iter();
    changes
        .map(|change| (change.entry.key.id.to_string(), change.what))
        .collect()
}

#[test]
fn each_runner_that_came_left_or_started_again_is_told_once() {
    let before = [runner("a", &[]), runner("b", &[]), runner("c", &[])];
    let mut after = [runner("b", &[]), runner("c", &[]), runner("d", &[])];
    after[0].state = RunnerState::Draining { remaining_ms: None };
    after[1].key.born_unix_ms += 1;
    let changes = list_changes(&before, &after);
    let expected = [
        ("a", "is gone"),
        ("b", "is leaving"),
        ("c", "is gone"),
        ("c", "is listed"),
        ("d", "is listed"),
    ];
    let expected = expected.map(|(id, what)| (id.to_owned(), what));
    assert_eq!(told(&changes), expected);
}

#[test]
fn what_else_changes_of_a_runner_is_not_told() {
    let before = [runner("a", &[])];
    let after = [runner("a", &[("m", &[])])];
    assert_eq!(told(&list_changes(&before, &after)), []);
    let mut leaving = runner("a", &[]);
    leaving.state = RunnerState::Draining { remaining_ms: None };
    let leaving = [leaving];
    assert_eq!(told(&list_changes(&leaving, &leaving)), []);
}
