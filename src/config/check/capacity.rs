//! Checks that the runners have memory for all models and adapters that must stay resident.

use {
    super::context::CheckContext,
    crate::{
        config::{Catalog, Model, ObjectKind, Runner},
        units::{DataCentreName, MemoryMib, ModelName},
    },
    std::cmp::Reverse,
};

/// Copies of one model that must stay resident on runners of certain data centres.
struct RequiredCopies<'a> {
    model: &'a Model,
    /// The kind of the object that requires the copies: a placement, or the model itself.
    kind: ObjectKind,
    /// The name of that object.
    name: &'a str,
    /// The allowed data centres; all when empty.
    data_centres: Vec<&'a DataCentreName>,
    copies: usize,
}

impl RequiredCopies<'_> {
    fn allows(&self, runner: &Runner) -> bool {
        self.data_centres.is_empty() || self.data_centres.contains(&&runner.data_centre)
    }

    /// Returns the field to report when the copies cannot be placed.
    fn field(&self) -> &'static str {
        match self.kind {
            ObjectKind::Placement => "copies_min",
            _ => "memory_mib",
        }
    }
}

/// Adds a fault for each model and adapter that does not fit into the memory of the runners.
pub(super) fn check(catalog: &Catalog, context: &mut CheckContext) {
    let mut required: Vec<RequiredCopies> = catalog
        .models
        .iter()
        .flat_map(|model| required_copies(catalog, model))
        .collect();
    required.retain(|required| check_single_model(catalog, required, context));
    check_packing(catalog, required, context);
    check_adapters(catalog, context);
}

/// Returns the copies that each placement of a model requires; one copy when no placement does.
fn required_copies<'a>(catalog: &'a Catalog, model: &'a Model) -> Vec<RequiredCopies<'a>> {
    let placements = catalog.placements_of(&model.name);
    let required: Vec<RequiredCopies> = placements
        .iter()
        .filter(|placement| placement.copies_min > 0)
        .map(|placement| RequiredCopies {
            model,
            kind: ObjectKind::Placement,
            name: placement.name.as_str(),
            data_centres: placement.data_centres.iter().collect(),
            copies: placement.copies_min as usize,
        })
        .collect();
    if !required.is_empty() {
        return required;
    }
    vec![RequiredCopies {
        model,
        kind: ObjectKind::Model,
        name: model.name.as_str(),
        data_centres: allowed_data_centres(catalog, &model.name),
        copies: 1,
    }]
}

/// Returns the data centres that a model's placements allow; empty when all are allowed.
fn allowed_data_centres<'a>(catalog: &'a Catalog, model: &ModelName) -> Vec<&'a DataCentreName> {
    let placements = catalog.placements_of(model);
    if placements
        .iter()
        .any(|placement| placement.data_centres.is_empty())
    {
        return Vec::new();
    }
    placements
        .iter()
        .flat_map(|placement| &placement.data_centres)
        .collect()
}

/// Checks the required copies of one model, without regard to other models.
///
/// Returns whether the runners could hold them.
fn check_single_model(
    catalog: &Catalog,
    required: &RequiredCopies,
    context: &mut CheckContext,
) -> bool {
    let memory_mib = required.model.memory_mib;
    let fitting = catalog
        .runners
        .iter()
        .filter(|runner| required.allows(runner) && runner.model_memory_mib() >= memory_mib)
        .count();
    if fitting == 0 {
        let problem = format!("no allowed runner has {memory_mib} for models");
        context.fault(
            ObjectKind::Model,
            required.model.name.as_str(),
            "memory_mib",
            problem,
        );
        return false;
    }
    if fitting < required.copies {
        let problem = format!(
            "asks for {} copies, but only {fitting} allowed runners can hold one",
            required.copies
        );
        context.fault(required.kind, required.name, "copies_min", problem);
        return false;
    }
    true
}

/// A runner's model memory during packing.
struct RunnerBin<'a> {
    runner: &'a Runner,
    free_mib: MemoryMib,
    models: Vec<&'a ModelName>,
}

/// Checks that all required copies fit at once, at most one copy of a model on a runner.
///
/// First-fit decreasing by memory comes first; if that fails, the copies with the fewest allowed
/// runners are packed first.
fn check_packing(catalog: &Catalog, mut required: Vec<RequiredCopies>, context: &mut CheckContext) {
    required.sort_by_key(|required| Reverse(required.model.memory_mib));
    if pack(catalog, &required).is_empty() {
        return;
    }
    let allowed_runners = |required: &RequiredCopies| {
        let runners = catalog.runners.iter();
        runners.filter(|runner| required.allows(runner)).count()
    };
    required.sort_by_cached_key(|required| {
        (
            allowed_runners(required),
            Reverse(required.model.memory_mib),
        )
    });
    for unplaced in pack(catalog, &required) {
        let problem = format!(
            "the runners cannot hold all that must stay resident: no room is left for a copy of {} ({})",
            unplaced.model.name, unplaced.model.memory_mib
        );
        context.fault(unplaced.kind, unplaced.name, unplaced.field(), problem);
    }
}

/// Packs the copies by first fit and returns the requirements that are not met.
fn pack<'a>(
    catalog: &'a Catalog,
    required: &'a [RequiredCopies<'a>],
) -> Vec<&'a RequiredCopies<'a>> {
    let mut bins: Vec<RunnerBin> = catalog
        .runners
        .iter()
        .map(|runner| RunnerBin {
            runner,
            free_mib: runner.model_memory_mib(),
            models: Vec::new(),
        })
        .collect();
    required
        .iter()
        .filter(|required| (0..required.copies).any(|_| !place_copy(&mut bins, required)))
        .collect()
}

/// Places one copy on the first runner that allows it and has memory; returns whether one did.
fn place_copy<'a>(bins: &mut [RunnerBin<'a>], required: &RequiredCopies<'a>) -> bool {
    let model = required.model;
    let found = bins.iter_mut().find(|bin| {
        required.allows(bin.runner)
            && bin.free_mib >= model.memory_mib
            && !bin.models.contains(&&model.name)
    });
    let Some(bin) = found else {
        return false;
    };
    bin.free_mib = bin.free_mib.saturating_sub(model.memory_mib);
    bin.models.push(&model.name);
    true
}

/// Adds a fault for each adapter larger than every adapter pool that it may use.
fn check_adapters(catalog: &Catalog, context: &mut CheckContext) {
    for adapter in &catalog.adapters {
        let data_centres = allowed_data_centres(catalog, &adapter.model);
        let largest_mib = catalog
            .runners
            .iter()
            .filter(|runner| data_centres.is_empty() || data_centres.contains(&&runner.data_centre))
            .map(|runner| runner.adapter_pool_mib)
            .max()
            .unwrap_or_default();
        if adapter.memory_mib > largest_mib {
            let problem = format!(
                "{} does not fit the largest adapter pool of an allowed runner, {largest_mib}",
                adapter.memory_mib
            );
            let name = adapter.name.as_str();
            context.fault(ObjectKind::Adapter, name, "memory_mib", problem);
        }
    }
}
