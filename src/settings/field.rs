//! Descriptions of settings fields, for parsing, the help text and the documentation.

use {
    super::SettingsFault,
    serde::de::DeserializeOwned,
    serde_json::{Map, Value},
};

/// The description of one settings field.
#[derive(Debug, Clone, Copy)]
pub struct FieldDoc {
    /// The name in the file; with dashes for underscores, the name of the argument.
    pub name: &'static str,
    /// The default as JSON text; `None` when the field is required.
    pub default: Option<&'static str>,
    /// The meaning of the field.
    pub doc: &'static str,
}

/// A settings struct with descriptions of its fields.
pub trait Settings: Sized {
    /// The fields, in the order of the documentation.
    const FIELDS: &'static [FieldDoc];

    /// Parses the struct from a JSON object.
    ///
    /// # Errors
    ///
    /// Fails with every fault at once.
    fn from_object(object: &Map<String, Value>) -> Result<Self, Vec<SettingsFault>>;
}

/// Parses one field, or its default when it is absent, and adds a fault when that fails.
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

/// Adds a fault for each key that is not a field.
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
