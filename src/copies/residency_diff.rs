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
    let removed = before
        .iter()
        .filter(|resident| after.binary_search(resident).is_err());
    changes.extend(removed.map(|resident| change(resident, false)));
    let added = after
        .iter()
        .filter(|resident| before.binary_search(resident).is_err());
    changes.extend(added.map(|resident| change(resident, true)));
}
