//! Loads settings from a file and the command line.

use {
    super::{Settings, SettingsError},
    lexopt::prelude::*,
    serde_json::{Map, Value},
    std::path::{Path, PathBuf},
};

/// The parsed command line of a daemon.
#[derive(Debug)]
pub enum Invocation<S> {
    /// Run the daemon with these settings.
    Run(S),
    /// Only check the settings, with `--check`.
    CheckOnly,
    /// Print this help text.
    Help(String),
}

/// Reads the command line and the settings file of a daemon.
///
/// `--settings FILE` gives the path of the file, `--FIELD VALUE` overrides one field, and `--check`
/// only checks the settings.
///
/// # Errors
///
/// Fails when the command line is invalid, the file cannot be read, or settings are invalid (with
/// all faults at once).
pub fn load_settings<S: Settings>(
    program: &str,
    args: impl IntoIterator<Item = std::ffi::OsString>,
) -> Result<Invocation<S>, SettingsError> {
    let usage = |cause: lexopt::Error| SettingsError::Usage(cause.to_string());
    let mut parser = lexopt::Parser::from_args(args);
    let mut file = None;
    let mut check_only = false;
    let mut overrides = Map::new();
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Long("help") | Short('h') => return Ok(Invocation::Help(help_text::<S>(program))),
            Long("check") => check_only = true,
            Long("settings") => file = Some(PathBuf::from(parser.value().map_err(usage)?)),
            Long(name) if is_field::<S>(name) => {
                let field = name.replace('-', "_");
                let text = parser.value().map_err(usage)?.string().map_err(usage)?;
                overrides.insert(field, parse_json_or_string(&text));
            }
            other => return Err(usage(other.unexpected())),
        }
    }
    let mut object = match file {
        Some(path) => read_object(&path)?,
        None => Map::new(),
    };
    object.extend(overrides);
    let settings = S::from_object(&object).map_err(SettingsError::Faults)?;
    if check_only {
        return Ok(Invocation::CheckOnly);
    }
    Ok(Invocation::Run(settings))
}

/// Returns the help text of a daemon, generated from the descriptions of its settings.
pub fn help_text<S: Settings>(program: &str) -> String {
    let mut text = format!(
        "Usage: {program} --settings FILE [--check] [--FIELD VALUE]...\n\n\
         Each field of the settings file can be overridden by an argument:\n\n"
    );
    for field in S::FIELDS {
        let default = field.default.unwrap_or("must be given");
        let name = field.name.replace('_', "-");
        text += &format!("  --{name}\n     {} [{default}]\n", field.doc.trim());
    }
    text
}

/// Returns a Markdown table of the fields, for `docs/settings.md`.
pub fn markdown_table<S: Settings>() -> String {
    let mut text = String::from("| field | default | meaning |\n|---|---|---|\n");
    for field in S::FIELDS {
        let default = field
            .default
            .map_or("must be given".to_owned(), |default| format!("`{default}`"));
        text += &format!("| `{}` | {default} | {} |\n", field.name, field.doc.trim());
    }
    text
}

/// Returns whether an argument, written with dashes, names a field.
fn is_field<S: Settings>(name: &str) -> bool {
    let name = name.replace('-', "_");
    S::FIELDS.iter().any(|field| field.name == name)
}

/// Parses a text as JSON; a text that is not valid JSON becomes a string.
fn parse_json_or_string(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

/// Reads a file that holds one JSON object.
fn read_object(path: &Path) -> Result<Map<String, Value>, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    serde_json::from_str(&text).map_err(|cause| SettingsError::NotJson {
        path: path.to_owned(),
        cause: cause.to_string(),
    })
}
