//! Parses the objects of one file.

use {
    super::{
        object_schemas::fields_of,
        schema::{ShapeFault, compare_fields},
        strict_json::parse_strict,
    },
    crate::config::{ConfigFault, Object, ObjectId, ObjectKind, ObjectSource},
    serde::Deserialize,
    serde_json::{Map, Value},
};

/// An object and where it was read from.
#[derive(Debug, Clone, PartialEq)]
pub struct SourcedObject {
    /// Where it was read from.
    pub source: ObjectSource,
    /// The object.
    pub object: Object,
}

/// What was read: the well-formed objects, and a fault for everything else.
#[derive(Debug, Default, PartialEq)]
pub struct ParsedObjects {
    /// The well-formed objects.
    pub objects: Vec<SourcedObject>,
    /// Everything that is malformed.
    pub faults: Vec<ConfigFault>,
}

impl ParsedObjects {
    /// Parses a file that holds one object or an array of objects, and adds what it finds.
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
        let Some(kind) = take_kind(&mut map) else {
            let kinds = ObjectKind::ALL.map(ObjectKind::as_str).join(", ");
            return self.push_fault(&source, "", "kind", format!("must be one of: {kinds}"));
        };
        let id = ObjectId {
            kind,
            name: name_of(&map),
        };
        let mut differences = Vec::new();
        compare_fields(&map, fields_of(kind), None, "", &mut differences);
        if !differences.is_empty() {
            return self.push_differences(&source, &id, differences);
        }
        map.insert("kind".to_owned(), Value::String(kind.to_string()));
        match Object::deserialize(Value::Object(map)) {
            Ok(object) => self.objects.push(SourcedObject { source, object }),
            Err(cause) => self.push_fault(&source, &id.to_string(), "", cause.to_string()),
        }
    }

    fn push_differences(
        &mut self,
        source: &ObjectSource,
        id: &ObjectId,
        differences: Vec<ShapeFault>,
    ) {
        for ShapeFault { field, problem } in differences {
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

fn take_kind(map: &mut Map<String, Value>) -> Option<ObjectKind> {
    let kind = map.remove("kind")?;
    ObjectKind::find(kind.as_str()?)
}

fn name_of(map: &Map<String, Value>) -> String {
    let name = map.get("name").and_then(Value::as_str).unwrap_or("?");
    name.chars().take(80).collect()
}
