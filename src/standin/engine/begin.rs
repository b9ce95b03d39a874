//! Starts the action of an order.

use {
    super::{Adapter, Model, Refusal, Stage, standin_engine::State},
    crate::engine::Action,
};

/// Starts an action; from here on a load takes memory.
pub(super) fn begin(state: &mut State, action: &Action) -> Result<(), Refusal> {
    let State {
        residents, record, ..
    } = state;
    match action {
        Action::LoadModel {
            model,
            version,
            memory_mib,
        } => {
            residents.add_model(Model {
                name: model.clone(),
                version: version.clone(),
                memory_mib: *memory_mib,
                stage: Stage::Loading,
                running: 0,
            })?;
            record.model_loads += 1;
        }
        Action::LoadAdapter {
            adapter,
            model,
            memory_mib,
        } => {
            residents.add_adapter(Adapter {
                name: adapter.clone(),
                model: model.clone(),
                memory_mib: *memory_mib,
                stage: Stage::Loading,
                running: 0,
            })?;
            record.adapter_loads += 1;
        }
        Action::UnloadModel { model } => {
            let model = residents.model_mut(model.as_str());
            model.ok_or("the model is not in memory")?.stage = Stage::Unloading;
            record.model_unloads += 1;
        }
        Action::UnloadAdapter { adapter } => {
            let adapter = residents.adapter_mut(adapter.as_str());
            adapter.ok_or("the adapter is not in memory")?.stage = Stage::Unloading;
        }
        Action::ChangeRole { .. } => record.role_changes += 1,
    }
    Ok(())
}

/// Returns whether an action takes memory.
pub(super) fn is_load(action: &Action) -> bool {
    matches!(
        action,
        Action::LoadModel { .. } | Action::LoadAdapter { .. }
    )
}
