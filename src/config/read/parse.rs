//! Parses the objects of one file.

use {
    super::{
        object_schemas::fields_of,
        schema::{SchemaViolation, validate_fields},
        strict_json::parse_strict,
    },
    crate::config::{ConfigFault, Object, ObjectId, ObjectKind, ObjectSource},
    serde::Deserialize,
    serde_json::{Map, Value},
};

/// An object with the file position that it was read from.
#[derive(Debug, Clone, PartialEq)]
pub struct SourcedObject {
    /// The file position of the object.
    pub source: ObjectSource,
    /// The parsed object.
    pub object: Object,
}

/// The result of parsing: the well-formed objects, and a fault for each malformed one.
#[derive(Debug, Default, PartialEq)]
pub struct ParsedObjects {
    /// The well-formed objects.
    pub objects: Vec<SourcedObject>,
    /// The faults of malformed files and objects.
    pub faults: Vec<ConfigFault>,
}

impl ParsedObjects {
    /// Parses a file that holds one object or an array of objects, and adds its objects and faults.
    pub fn parse_file(&mut self, file: &str, text: &[u8]) {
        let whole_file = ObjectSource {
            file: file.to_owned(),
            position: None,
        };
        let (value, repeated) = match parse_strict(text) {
            Ok(parsed) => parsed,
            Err(cause) => {
                let problem = format!("is not valid JSON: {cause}");
                return self.push_fault(&whole_file, "", "", problem);
            }
        };
        for field in repeated {
            self.push_fault(&whole_file, "", &field, "is given twice".to_owned());
        }
        match value {
            Value::Array(values) => {
                for (index, value) in values.into_iter().enumerate() {
                    let source = ObjectSource {
                        file: file.to_owned(),
                        position: Some(index + 1),
                    };
                    self.parse_object(source, value);
                }
            }
            value => self.parse_object(whole_file, value),
        }
    }

    fn parse_object(&mut self, source: ObjectSource, value: Value) {
        let Value::Object(mut map) = value else {
            return self.push_fault(&source, "", "", "is not an object".to_owned());
        };
        let Some(kind) = remove_kind(&mut map) else {
            let kinds = ObjectKind::ALL.map(ObjectKind::as_str).join(", ");
            return self.push_fault(&source, "", "kind", format!("must be one of: {kinds}"));
        };
        let id = ObjectId {
            kind,
            name: name_of(&map),
        };
        let mut violations = Vec::new();
        validate_fields(&map, fields_of(kind), None, "", &mut violations);
        if !violations.is_empty() {
            return self.push_violations(&source, &id, violations);
        }
        map.insert("kind".to_owned(), Value::String(kind.to_string()));
        match Object::deserialize(Value::Object(map)) {
            Ok(object) => self.objects.push(SourcedObject { source, object }),
            Err(cause) => self.push_fault(&source, &id.to_string(), "", cause.to_string()),
        }
    }

    fn push_violations(
        &mut self,
        source: &ObjectSource,
        id: &ObjectId,
        violations: Vec<SchemaViolation>,
    ) {
        for SchemaViolation { field, problem } in violations {
            self.push_fault(source, &id.to_string(), &field, problem);
        }
    }

    fn push_fault(&mut self, source: &ObjectSource, object: &str, field: &str, problem: String) {
        self.faults.push(ConfigFault {
            source: source.clone(),
            object: object.to_owned(),
            field: field.to_owned(),
            problem,
        });
    }
}

/// Removes the `kind` field and returns its value, if it is a known kind.
fn remove_kind(map: &mut Map<String, Value>) -> Option<ObjectKind> {
    let kind = map.remove("kind")?;
    ObjectKind::find(kind.as_str()?)
}

/// Returns the name for fault messages, cut to 80 characters; `?` when missing.
fn name_of(map: &Map<String, Value>) -> String {
    let name = map.get("name").and_then(Value::as_str).unwrap_or("?");
    name.chars().take(80).collect()
}
