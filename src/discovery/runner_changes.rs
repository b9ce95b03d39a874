//! Compares two versions of the runner list and logs the difference.

use super::{RunnerEntry, RunnerKey, RunnerState};

/// A runner that was added to the list, began to drain or was removed.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerChange<'a> {
    /// The newest entry of the runner.
    pub entry: &'a RunnerEntry,
    /// The event as logged: `is listed`, `is leaving` or `is gone`.
    pub event: &'static str,
}

/// Returns the runners that were added, began to drain or were removed, sorted by runner.
///
/// Both lists must be sorted by runner. A restarted runner has another key, so it is reported as
/// removed and as added.
pub fn diff_runners<'a>(
    before: &'a [RunnerEntry],
    after: &'a [RunnerEntry],
) -> Vec<RunnerChange<'a>> {
    let removed = before
        .iter()
        .filter_map(|entry| match find(after, &entry.key) {
            Some(_) => None,
            None => Some((entry, "is gone")),
        });
    let added = after
        .iter()
        .filter_map(|entry| match find(before, &entry.key) {
            None => Some((entry, "is listed")),
            Some(old) if is_ready(old) && !is_ready(entry) => Some((entry, "is leaving")),
            Some(_) => None,
        });
    let changes = removed.chain(added);
    let mut changes: Vec<_> = changes
        .map(|(entry, event)| RunnerChange { entry, event })
        .collect();
    changes.sort_by(|a, b| a.entry.key.cmp(&b.entry.key));
    changes
}

fn find<'a>(entries: &'a [RunnerEntry], key: &RunnerKey) -> Option<&'a RunnerEntry> {
    let found = entries.binary_search_by(|entry| entry.key.cmp(key));
    found.ok().map(|position| &entries[position])
}

fn is_ready(entry: &RunnerEntry) -> bool {
    entry.state == RunnerState::Ready
}

/// Logs each change, except for the first list that a node reads.
pub(super) fn log_changes(before: &[RunnerEntry], after: &[RunnerEntry]) {
    if before.is_empty() {
        return;
    }
    for RunnerChange { entry, event } in diff_runners(before, after) {
        log::info!(
            runner:% = entry.key.id,
            born_unix_ms = entry.key.born_unix_ms,
            service:% = entry.service,
            data_centre:% = entry.zone;
            "discovery: a runner {event}."
        );
    }
}
