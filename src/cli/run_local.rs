//! Commands that run without a keeper or node.

use {
    super::{CliError, Output},
    crate::config::{Catalog, check_parsed, read_config_dir},
    serde_json::json,
    std::path::Path,
};

/// Reads and checks a directory of objects.
pub(super) fn read_catalog(dir: &Path) -> Result<Catalog, CliError> {
    check_parsed(&read_config_dir(dir)?).map_err(CliError::Faults)
}

/// Checks a directory of objects and prints how many of each kind it has.
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
