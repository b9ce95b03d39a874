//! Derives residency changes from what a runner held before and holds now.

use crate::{
    discovery::RunnerKey,
    dispatch::ResidencyChange,
    traffic::{AdapterId, ModelId},
};

/// Adds a residency change for each difference between two sorted lists of what a runner holds.
pub(super) fn push_residency_changes(
    changes: &mut Vec<ResidencyChange>,
    runner: &RunnerKey,
    before: &[(ModelId, Option<AdapterId>)],
    after: &[(ModelId, Option<AdapterId>)],
) {
    let change = |(model, adapter): &(ModelId, Option<AdapterId>), held| ResidencyChange {
        runner: runner.id.clone(),
        born_unix_ms: runner.born_unix_ms,
        model: model.clone(),
        adapter: adapter.clone(),
        held,
    };
    let gone = before
        .iter()
        .filter(|held| after.binary_search(held).is_err());
    changes.extend(gone.map(|held| change(held, false)));
    let new = after
        .iter()
        .filter(|held| before.binary_search(held).is_err());
    changes.extend(new.map(|held| change(held, true)));
}
