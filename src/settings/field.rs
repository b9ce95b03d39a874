//! The description of one settings field, for checks and for the docs.

use {
    super::SettingsFault,
    serde::de::DeserializeOwned,
    serde_json::{Map, Value},
};

/// What is known of one settings field.
#[derive(Debug, Clone, Copy)]
pub struct FieldDoc {
    /// Its name in the file; with dashes, the name of its argument.
    pub name: &'static str,
    /// Its default as JSON, or `None` when it must be given.
    pub default: Option<&'static str>,
    /// What it means.
    pub doc: &'static str,
}

/// A settings struct whose fields are described.
pub trait Settings: Sized {
    /// The fields, in the order of the docs.
    const FIELDS: &'static [FieldDoc];

    /// Reads the struct from a JSON object.
    ///
    /// # Errors
    ///
    /// Returns every fault at once.
    fn from_object(object: &Map<String, Value>) -> Result<Self, Vec<SettingsFault>>;
}

/// Reads one field, or its default, and records a fault when that fails.
pub fn read_field<T: DeserializeOwned>(
    object: &Map<String, Value>,
    name: &str,
    default: Option<&str>,
    faults: &mut Vec<SettingsFault>,
) -> Option<T> {
    let mut fault = |problem: String| {
        faults.push(SettingsFault {
            field: name.to_owned(),
            problem,
        });
        None
    };
    let value = match (object.get(name), default) {
        (Some(value), _) => value.clone(),
        (None, Some(default)) => match serde_json::from_str(default) {
            Ok(value) => value,
            Err(_) => Value::String(default.to_owned()),
        },
        (None, None) => return fault("is missing".to_owned()),
    };
    match serde_json::from_value(value) {
        Ok(value) => Some(value),
        Err(cause) => fault(cause.to_string()),
    }
}

/// Records a fault for each key that is no field.
pub fn report_unknown_fields(
    object: &Map<String, Value>,
    fields: &[FieldDoc],
    faults: &mut Vec<SettingsFault>,
) {
    for key in object.keys() {
        if fields.iter().all(|field| field.name != key) {
            faults.push(SettingsFault {
                field: key.clone(),
                problem: "is not a known setting".to_owned(),
            });
        }
    }
}
