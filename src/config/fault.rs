//! Faults of a configuration, each with its file, object and field.

use std::fmt;

/// Where an object was read from.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectSource {
    /// The file's name; empty when the object came in a snapshot.
    pub file: String,
    /// The place in the file's array, counted from 1; `None` when the file is one object.
    pub position: Option<usize>,
}

impl fmt::Display for ObjectSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        match self.position {
            Some(position) => write!(f, "[{position}]"),
            None => Ok(()),
        }
    }
}

/// One thing that is wrong with a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigFault {
    /// Where the object was read from.
    pub source: ObjectSource,
    /// The kind and name of the object; empty when they are not known.
    pub object: String,
    /// The field, with dots and brackets down to the faulty part; empty for the whole object.
    pub field: String,
    /// What is wrong and what is expected.
    pub problem: String,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let source = self.source.to_string();
        let parts = [source.as_str(), &self.object, &self.field];
        for part in parts.into_iter().filter(|part| !part.is_empty()) {
            write!(f, "{part}: ")?;
        }
        f.write_str(&self.problem)
    }
}
