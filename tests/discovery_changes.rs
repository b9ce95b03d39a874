//! Which changes of the runner list are logged.

#[path = "common/board_rig.rs"]
mod board_rig;

use {
    board_rig::runner,
    greengagetrail::discovery::{RunnerChange, RunnerState, list_changes},
};

fn described(changes: &[RunnerChange<'_>]) -> Vec<(String, &'static str)> {
    let changes = changes.iter();
    changes
        .map(|change| (change.entry.key.id.to_string(), change.what))
        .collect()
}

#[test]
fn each_added_removed_or_restarted_runner_is_reported_once() {
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
    assert_eq!(described(&changes), expected);
}

#[test]
fn other_changes_of_a_runner_are_not_reported() {
    let before = [runner("a", &[])];
    let after = [runner("a", &[("m", &[])])];
    assert_eq!(described(&list_changes(&before, &after)), []);
    let mut leaving = runner("a", &[]);
    leaving.state = RunnerState::Draining { remaining_ms: None };
    let leaving = [leaving];
    assert_eq!(described(&list_changes(&leaving, &leaving)), []);
}
