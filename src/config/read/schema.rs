//! Compares JSON with the wanted shape and reports every difference at once.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// A field of an object.
pub(super) struct FieldShape {
    /// Its name.
    pub name: &'static str,
    /// Whether it must be given.
    pub required: bool,
    /// What it holds.
    pub shape: Shape,
}

impl FieldShape {
    /// Describes a field that must be given.
    pub const fn required(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            required: true,
            shape,
        }
    }

    /// Describes a field that may be left out.
    pub const fn optional(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            required: false,
            shape,
        }
    }
}

/// What a field holds.
pub(super) enum Shape {
    /// A single value, read by its type.
    Value(fn(&Value) -> Result<(), String>),
    /// A list.
    List(&'static Shape),
    /// An object with fields.
    Object(&'static [FieldShape]),
    /// An object whose first-named field is the discriminant of its other fields.
    Tagged(
        &'static str,
        &'static [(&'static str, &'static [FieldShape])],
    ),
}

impl Shape {
    /// Describes a single value of a type.
    pub const fn of<T: DeserializeOwned>() -> Self {
        Self::Value(read_value::<T>)
    }
}

/// One difference between a value and its shape.
#[derive(Debug)]
pub(super) struct ShapeFault {
    /// The path to the field.
    pub field: String,
    /// What is wrong.
    pub problem: String,
}

fn read_value<T: DeserializeOwned>(value: &Value) -> Result<(), String> {
    T::deserialize(value)
        .map(drop)
        .map_err(|cause| cause.to_string())
}

/// Adds every difference between a value and its shape.
pub(super) fn compare(value: &Value, shape: &Shape, path: &str, faults: &mut Vec<ShapeFault>) {
    match (shape, value) {
        (Shape::Value(read), value) => {
            if let Err(problem) = read(value) {
                push(faults, path, problem + unit_hint(path));
            }
        }
        (Shape::List(inner), Value::Array(values)) => {
            for (index, value) in values.iter().enumerate() {
                compare(value, inner, &format!("{path}[{}]", index + 1), faults);
            }
        }
        (Shape::Object(fields), Value::Object(map)) => {
            compare_fields(map, fields, None, path, faults);
        }
        (Shape::Tagged(tag, variants), Value::Object(map)) => {
            compare_tagged(map, tag, variants, path, faults);
        }
        (Shape::List(_), _) => push(faults, path, "must be a list".to_owned()),
        (Shape::Object(_) | Shape::Tagged(..), _) => {
            push(faults, path, "must be an object".to_owned());
        }
    }
}

/// Adds every missing, unknown and wrong field of an object.
pub(super) fn compare_fields(
    map: &Map<String, Value>,
    fields: &[FieldShape],
    tag: Option<&str>,
    path: &str,
    faults: &mut Vec<ShapeFault>,
) {
    for field in fields {
        let path = join(path, field.name);
        match map.get(field.name) {
            Some(value) => compare(value, &field.shape, &path, faults),
            None if field.required => push(faults, &path, "is missing".to_owned()),
            None => {}
        }
    }
    for key in map.keys().filter(|key| Some(key.as_str()) != tag) {
        if fields.iter().all(|field| field.name != key) {
            push(faults, &join(path, key), unknown_problem(key, fields));
        }
    }
}

fn compare_tagged(
    map: &Map<String, Value>,
    tag: &str,
    variants: &[(&str, &[FieldShape])],
    path: &str,
    faults: &mut Vec<ShapeFault>,
) {
    let chosen = map.get(tag).and_then(Value::as_str);
    match variants.iter().find(|(name, _)| Some(*name) == chosen) {
        Some((_, fields)) => compare_fields(map, fields, Some(tag), path, faults),
        None => {
            let names: Vec<&str> = variants.iter().map(|(name, _)| *name).collect();
            let problem = format!("must be one of: {}", names.join(", "));
            push(faults, &join(path, tag), problem);
        }
    }
}

fn unknown_problem(key: &str, fields: &[FieldShape]) -> String {
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

fn join(path: &str, field: &str) -> String {
    if path.is_empty() {
        field.to_owned()
    } else {
        format!("{path}.{field}")
    }
}

fn push(faults: &mut Vec<ShapeFault>, path: &str, problem: String) {
    faults.push(ShapeFault {
        field: path.to_owned(),
        problem,
    });
}
