//! Reads the object files of a directory.

use {
    super::ParsedObjects,
    crate::config::{ConfigFault, ObjectSource},
    std::{
        fs,
        path::{Path, PathBuf},
    },
    thiserror::Error,
};

/// The largest object file accepted, in bytes.
pub const OBJECT_FILE_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// A directory or file of the configuration cannot be read.
#[derive(Debug, Error)]
#[error("cannot read {path}: {cause}")]
pub struct ConfigReadError {
    /// The directory or file.
    pub path: PathBuf,
    /// The I/O error.
    pub cause: std::io::Error,
}

/// Reads every `*.json` file of a directory, sorted by name.
///
/// # Errors
///
/// Fails when the directory or a file cannot be read. Malformed objects are no errors, but faults
/// in the result.
pub fn read_config_dir(path: &Path) -> Result<ParsedObjects, ConfigReadError> {
    let mut parsed = ParsedObjects::default();
    for file in list_files(path)? {
        read_file(&file, &mut parsed)?;
    }
    parsed.faults.sort();
    Ok(parsed)
}

fn list_files(path: &Path) -> Result<Vec<PathBuf>, ConfigReadError> {
    let fail = |cause| ConfigReadError {
        path: path.to_owned(),
        cause,
    };
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(fail)? {
        let file = entry.map_err(fail)?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn read_file(path: &Path, parsed: &mut ParsedObjects) -> Result<(), ConfigReadError> {
    let fail = |cause| ConfigReadError {
        path: path.to_owned(),
        cause,
    };
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    if fs::metadata(path).map_err(fail)?.len() > OBJECT_FILE_MAX_BYTES {
        parsed.faults.push(ConfigFault {
            source: ObjectSource {
                file: name.into_owned(),
                position: None,
            },
            object: String::new(),
            field: String::new(),
            problem: format!("is larger than {OBJECT_FILE_MAX_BYTES} bytes"),
        });
        return Ok(());
    }
    let text = fs::read(path).map_err(fail)?;
    parsed.parse_file(&name, &text);
    Ok(())
}
