//! The kind and name that identify a configured object.

use {super::Object, std::fmt};

/// The kind of a configured object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectKind {
    /// The limits and weights of the whole deployment.
    Deployment,
    /// A data centre.
    DataCentre,
    /// A runner.
    Runner,
    /// A model.
    Model,
    /// An adapter.
    Adapter,
    /// A service.
    Service,
    /// A placement.
    Placement,
}

impl ObjectKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 7] = [
        Self::Deployment,
        Self::DataCentre,
        Self::Runner,
        Self::Model,
        Self::Adapter,
        Self::Service,
        Self::Placement,
    ];

    /// Returns the kind as written in the `kind` field of an object.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Deployment => "deployment",
            Self::DataCentre => "data_centre",
            Self::Runner => "runner",
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Service => "service",
            Self::Placement => "placement",
        }
    }

    /// Finds a kind by its text in the `kind` field.
    pub fn find(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The kind and name of one object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectId {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name of the object; empty for the deployment.
    pub name: String,
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.name.is_empty() {
            return self.kind.fmt(f);
        }
        write!(f, "{} {}", self.kind, self.name)
    }
}

impl Object {
    /// Returns the kind of the object.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Deployment(_) => ObjectKind::Deployment,
            Self::DataCentre(_) => ObjectKind::DataCentre,
            Self::Runner(_) => ObjectKind::Runner,
            Self::Model(_) => ObjectKind::Model,
            Self::Adapter(_) => ObjectKind::Adapter,
            Self::Service(_) => ObjectKind::Service,
            Self::Placement(_) => ObjectKind::Placement,
        }
    }

    /// Returns the name of the object; empty for the deployment.
    pub fn name(&self) -> &str {
        match self {
            Self::Deployment(_) => "",
            Self::DataCentre(object) => object.name.as_str(),
            Self::Runner(object) => object.name.as_str(),
            Self::Model(object) => object.name.as_str(),
            Self::Adapter(object) => object.name.as_str(),
            Self::Service(object) => object.name.as_str(),
            Self::Placement(object) => object.name.as_str(),
        }
    }

    /// Returns the kind and name of the object.
    pub fn id(&self) -> ObjectId {
        ObjectId {
            kind: self.kind(),
            name: self.name().to_owned(),
        }
    }
}
