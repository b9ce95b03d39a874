//! Validates JSON against a schema and reports every violation at once.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// The schema of one field of an object.
pub(super) struct FieldSchema {
    /// The name of the field.
    pub name: &'static str,
    /// Whether the field is required.
    pub required: bool,
    /// The schema of the field's value.
    pub schema: Schema,
}

impl FieldSchema {
    /// Creates the schema of a required field.
    pub const fn required(name: &'static str, schema: Schema) -> Self {
        Self {
            name,
            required: true,
            schema,
        }
    }

    /// Creates the schema of an optional field.
    pub const fn optional(name: &'static str, schema: Schema) -> Self {
        Self {
            name,
            required: false,
            schema,
        }
    }
}

/// The schema of a value.
pub(super) enum Schema {
    /// A single value, which the function tries to parse.
    Value(fn(&Value) -> Result<(), String>),
    /// A list whose elements have a schema.
    List(&'static Schema),
    /// An object with the given fields.
    Object(&'static [FieldSchema]),
    /// An object whose tag field, named first, selects the schema of the other fields.
    Tagged(
        &'static str,
        &'static [(&'static str, &'static [FieldSchema])],
    ),
}

impl Schema {
    /// Creates the schema of a single value of a type.
    pub const fn of<T: DeserializeOwned>() -> Self {
        Self::Value(parse_value::<T>)
    }
}

/// One violation of a schema.
#[derive(Debug)]
pub(super) struct SchemaViolation {
    /// The path to the field.
    pub field: String,
    /// The problem, and the values that are accepted.
    pub problem: String,
}

/// Parses a value as a type and drops the result.
fn parse_value<T: DeserializeOwned>(value: &Value) -> Result<(), String> {
    T::deserialize(value)
        .map(drop)
        .map_err(|cause| cause.to_string())
}

/// Adds every violation of a schema by a value.
pub(super) fn validate(
    value: &Value,
    schema: &Schema,
    path: &str,
    violations: &mut Vec<SchemaViolation>,
) {
    match (schema, value) {
        (Schema::Value(parse), value) => {
            if let Err(problem) = parse(value) {
                push_violation(violations, path, problem + unit_hint(path));
            }
        }
        (Schema::List(inner), Value::Array(values)) => {
            for (index, value) in values.iter().enumerate() {
                validate(value, inner, &format!("{path}[{}]", index + 1), violations);
            }
        }
        (Schema::Object(fields), Value::Object(map)) => {
            validate_fields(map, fields, None, path, violations);
        }
        (Schema::Tagged(tag, variants), Value::Object(map)) => {
            validate_tagged(map, tag, variants, path, violations);
        }
        (Schema::List(_), _) => push_violation(violations, path, "must be a list".to_owned()),
        (Schema::Object(_) | Schema::Tagged(..), _) => {
            push_violation(violations, path, "must be an object".to_owned());
        }
    }
}

/// Adds a violation for every missing, unknown and invalid field of an object.
///
/// `tag` is the name of the tag field, if the object has one.
pub(super) fn validate_fields(
    map: &Map<String, Value>,
    fields: &[FieldSchema],
    tag: Option<&str>,
    path: &str,
    violations: &mut Vec<SchemaViolation>,
) {
    for field in fields {
        let path = join_path(path, field.name);
        match map.get(field.name) {
            Some(value) => validate(value, &field.schema, &path, violations),
            None if field.required => push_violation(violations, &path, "is missing".to_owned()),
            None => {}
        }
    }
    for key in map.keys().filter(|key| Some(key.as_str()) != tag) {
        if fields.iter().all(|field| field.name != key) {
            push_violation(
                violations,
                &join_path(path, key),
                describe_unknown_field(key, fields),
            );
        }
    }
}

fn validate_tagged(
    map: &Map<String, Value>,
    tag: &str,
    variants: &[(&str, &[FieldSchema])],
    path: &str,
    violations: &mut Vec<SchemaViolation>,
) {
    let tag_value = map.get(tag).and_then(Value::as_str);
    match variants.iter().find(|(name, _)| Some(*name) == tag_value) {
        Some((_, fields)) => validate_fields(map, fields, Some(tag), path, violations),
        None => {
            let names: Vec<&str> = variants.iter().map(|(name, _)| *name).collect();
            let problem = format!("must be one of: {}", names.join(", "));
            push_violation(violations, &join_path(path, tag), problem);
        }
    }
}

/// Describes an unknown field; a known field that differs only in the unit suffix is suggested.
fn describe_unknown_field(key: &str, fields: &[FieldSchema]) -> String {
    let stem = |name: &str| name.rsplit_once('_').map(|(stem, _)| stem.to_owned());
    let same_stem = |name: &str| stem(name).is_some_and(|s| s == key || Some(s) == stem(key));
    match fields.iter().find(|field| same_stem(field.name)) {
        Some(field) => format!(
            "is not a known field; wrong unit? This is given as {}{}",
            field.name,
            unit_hint(field.name)
        ),
        None => "is not a known field".to_owned(),
    }
}

/// Returns a hint at the unit that the suffix of a field name stands for.
fn unit_hint(path: &str) -> &'static str {
    let suffixes = [
        ("_mib", " (a whole number of MiB)"),
        ("_ms", " (a whole number of milliseconds)"),
        ("_per_s", " (a number per second)"),
    ];
    suffixes
        .into_iter()
        .find(|(suffix, _)| path.ends_with(suffix))
        .map_or("", |(_, hint)| hint)
}

/// Appends a field name to a path.
fn join_path(path: &str, field: &str) -> String {
    if path.is_empty() {
        field.to_owned()
    } else {
        format!("{path}.{field}")
    }
}

fn push_violation(violations: &mut Vec<SchemaViolation>, path: &str, problem: String) {
    violations.push(SchemaViolation {
        field: path.to_owned(),
        problem,
    });
}
