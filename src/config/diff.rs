//! The differences between two catalogs.

use {
    super::{Catalog, Object, ObjectId},
    std::fmt,
};

/// One difference between two catalogs.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectChange {
    /// The object exists only in the new catalog.
    Added(Object),
    /// The object exists only in the old catalog.
    Removed(Object),
    /// The object has other field values.
    Changed {
        /// The object in the old catalog.
        before: Object,
        /// The object in the new catalog.
        after: Object,
    },
}

impl ObjectChange {
    /// Returns the kind and name of the changed object.
    pub fn id(&self) -> ObjectId {
        match self {
            Self::Added(object) | Self::Removed(object) => object.id(),
            Self::Changed { after, .. } => after.id(),
        }
    }
}

impl fmt::Display for ObjectChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.id();
        match self {
            Self::Added(_) => write!(f, "+ {id}"),
            Self::Removed(_) => write!(f, "- {id}"),
            Self::Changed { before, after } => {
                write!(f, "~ {id}")?;
                for field in changed_fields(before, after) {
                    write!(f, "\n    {field}")?;
                }
                Ok(())
            }
        }
    }
}

/// Returns the changes from one catalog to another, sorted by object.
pub fn diff_catalogs(before: &Catalog, after: &Catalog) -> Vec<ObjectChange> {
    let (before, after) = (sorted_objects(before), sorted_objects(after));
    let mut changes = Vec::new();
    for (id, object) in &before {
        match find(&after, id) {
            None => changes.push(ObjectChange::Removed(object.clone())),
            Some(current) if current != object => changes.push(ObjectChange::Changed {
                before: object.clone(),
                after: current.clone(),
            }),
            Some(_) => {}
        }
    }
    for (id, object) in &after {
        if find(&before, id).is_none() {
            changes.push(ObjectChange::Added(object.clone()));
        }
    }
    changes.sort_by_key(ObjectChange::id);
    changes
}

fn sorted_objects(catalog: &Catalog) -> Vec<(ObjectId, Object)> {
    let with_id = |object: Object| (object.id(), object);
    let mut objects: Vec<_> = catalog.objects().into_iter().map(with_id).collect();
    objects.sort_by(|(a, _), (b, _)| a.cmp(b));
    objects
}

fn find<'a>(objects: &'a [(ObjectId, Object)], id: &ObjectId) -> Option<&'a Object> {
    let position = objects.binary_search_by(|(known, _)| known.cmp(id)).ok()?;
    Some(&objects[position].1)
}

/// Returns one line for each field with another value, with the old and the new value.
fn changed_fields(before: &Object, after: &Object) -> Vec<String> {
    let fields = |object| serde_json::to_value(object).unwrap_or_default();
    let (before, after) = (fields(before), fields(after));
    let Some(names) = after.as_object() else {
        return Vec::new();
    };
    names
        .keys()
        .filter(|name| before[name.as_str()] != after[name.as_str()])
        .map(|name| {
            let (before, after) = (&before[name.as_str()], &after[name.as_str()]);
            format!("{name}: {before} -> {after}")
        })
        .collect()
}
