//! Collects the faults of a configuration, each with the source of its object.

use crate::config::{ConfigFault, ObjectId, ObjectKind, ObjectSource, SourcedObject};

/// The faults found so far, and the source of each object.
pub(super) struct CheckContext {
    /// The faults found so far.
    pub faults: Vec<ConfigFault>,
    sources: Vec<(ObjectId, ObjectSource)>,
}

impl CheckContext {
    /// Creates a context for the given objects, without faults.
    pub fn new(objects: &[SourcedObject]) -> Self {
        let mut sources: Vec<(ObjectId, ObjectSource)> = objects
            .iter()
            .map(|sourced| (sourced.object.id(), sourced.source.clone()))
            .collect();
        sources.sort();
        Self {
            faults: Vec::new(),
            sources,
        }
    }

    /// Adds a fault of an object whose source is at hand.
    pub fn fault_at(&mut self, sourced: &SourcedObject, field: &str, problem: impl Into<String>) {
        self.faults.push(ConfigFault {
            source: sourced.source.clone(),
            object: sourced.object.id().to_string(),
            field: field.to_owned(),
            problem: problem.into(),
        });
    }

    /// Adds a fault of the object with a kind and name, and looks up its source.
    pub fn fault(&mut self, kind: ObjectKind, name: &str, field: &str, problem: impl Into<String>) {
        let id = ObjectId {
            kind,
            name: name.to_owned(),
        };
        let position = self.sources.partition_point(|(known, _)| *known < id);
        let source = match self.sources.get(position) {
            Some((known, source)) if *known == id => source.clone(),
            _ => ObjectSource::default(),
        };
        self.faults.push(ConfigFault {
            source,
            object: id.to_string(),
            field: field.to_owned(),
            problem: problem.into(),
        });
    }

    /// Ends the checks; fails with all faults, sorted and without duplicates, if there are any.
    pub fn finish(mut self) -> Result<(), Vec<ConfigFault>> {
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults.sort();
        self.faults.dedup();
        Err(self.faults)
    }
}
