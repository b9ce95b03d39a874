//! What changed between two reads of the list of runners.

use super::{RunnerEntry, RunnerKey, RunnerState};

/// A runner that came, is leaving or is gone.
#[derive(Debug, Clone, PartialEq)]
pub struct RunnerChange<'a> {
    /// Its newest entry.
    pub entry: &'a RunnerEntry,
    /// What became of it.
    pub what: &'static str,
}

/// Returns the runners that came, began to leave or are gone; both lists are sorted by runner.
pub fn list_changes<'a>(
    before: &'a [RunnerEntry],
    after: &'a [RunnerEntry],
) -> Vec<RunnerChange<'a>> {
    let gone = before
        .iter()
        .filter_map(|entry| match find(after, &entry.key) {
            Some(_) => None,
            None => Some((entry, "is gone")),
        });
    let came = after
        .iter()
        .filter_map(|entry| match find(before, &entry.key) {
            None => Some((entry, "is listed")),
            Some(old) if is_ready(old) && !is_ready(entry) => Some((entry, "is leaving")),
            Some(_) => None,
        });
    let changes = gone.chain(came);
    let mut changes: Vec<_> = changes
        .map(|(entry, what)| RunnerChange { entry, what })
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

/// Logs each change; the first list that a node reads is not logged.
pub(super) fn log_changes(before: &[RunnerEntry], after: &[RunnerEntry]) {
    if before.is_empty() {
        return;
    }
    for RunnerChange { entry, what } in list_changes(before, after) {
        log::info!(
            runner:% = entry.key.id,
            born_unix_ms = entry.key.born_unix_ms,
            service:% = entry.service,
            data_centre:% = entry.zone;
            "discovery: a runner {what}."
        );
    }
}
