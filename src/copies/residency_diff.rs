//! Derives residency changes from what a runner held before and holds now.

use crate::{
    discovery::RunnerKey,
    dispatch::ResidencyNote,
    traffic::{AdapterId, ModelId},
};

/// Adds a residency change for each difference between two sorted lists of what a runner holds.
pub(super) fn push_changes(
    notes: &mut Vec<ResidencyNote>,
    runner: &RunnerKey,
    before: &[(ModelId, Option<AdapterId>)],
    after: &[(ModelId, Option<AdapterId>)],
) {
    let note = |(model, adapter): &(ModelId, Option<AdapterId>), held| ResidencyNote {
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
