//! Tells what changed at a runner.

use crate::{
    discovery::RunnerKey,
    dispatch::ResidencyChange,
    traffic::{AdapterId, ModelId},
};

/// Adds a note for each difference between two sorted lists of what a runner holds.
pub(super) fn push_changes(
    notes: &mut Vec<ResidencyChange>,
    runner: &RunnerKey,
    before: &[(ModelId, Option<AdapterId>)],
    after: &[(ModelId, Option<AdapterId>)],
) {
    let note = |(model, adapter): &(ModelId, Option<AdapterId>), held| ResidencyChange {
        runner: runner.id.clone(),
        born_unix_ms: runner.born_unix_ms,
        model: model.clone(),
        adapter: adapter.clone(),
        held,
    };
    let gone = before
        .iter()
        .filter(|held| after.binary_search(held).is_err());
    notes.extend(gone.map(|held| note(held, false)));
    let new = after
        .iter()
        .filter(|held| before.binary_search(held).is_err());
    notes.extend(new.map(|held| note(held, true)));
}
