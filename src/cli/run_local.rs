//! The commands that need no keeper.

use {
    super::{CliError, Output},
    crate::config::{Catalog, check_parsed, read_config_dir},
    serde_json::json,
    std::path::Path,
};

/// Reads and checks a directory.
pub(super) fn read_catalog(dir: &Path) -> Result<Catalog, CliError> {
    check_parsed(&read_config_dir(dir)?).map_err(CliError::Faults)
}

/// Checks a directory and says what is in it.
pub(super) fn check(dir: &Path, output: &mut Output<'_>) -> Result<(), CliError> {
    let catalog = read_catalog(dir)?;
    let text = || {
        format!(
            "no faults: {} data centres, {} runners, {} models, {} adapters, {} services, {} placements",
            catalog.data_centres.len(),
            catalog.runners.len(),
            catalog.models.len(),
            catalog.adapters.len(),
            catalog.services.len(),
            catalog.placements.len(),
        )
    };
    let objects = catalog.objects().len();
    output.print(text, &json!({"ok": true, "objects": objects}))
}
