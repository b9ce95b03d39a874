//! Faults found in a configuration, each with its file, object and field.

use std::fmt;

/// The file position that an object was read from.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectSource {
    /// The name of the file; empty when the object comes from a snapshot.
    pub file: String,
    /// The position in the file's array, counted from 1; `None` when the file holds one object
    /// or the fault concerns the whole file.
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

/// One fault of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigFault {
    /// The file position of the object.
    pub source: ObjectSource,
    /// The kind and name of the object; empty when unknown.
    pub object: String,
    /// The path to the field, such as `target.backends[1].address`; empty for the whole object.
    pub field: String,
    /// The problem, and the values that are accepted.
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
