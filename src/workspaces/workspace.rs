//! A workspace, as it is published.

use {
    super::{AccessKey, Quota},
    crate::units::text_type,
    std::{convert::Infallible, str::FromStr},
};

text_type!(
    /// The name of a workspace.
    #[serde(transparent)]
    WorkspaceName
);

impl FromStr for WorkspaceName {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(text.into()))
    }
}

impl From<&str> for WorkspaceName {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

/// A workspace whose callers authenticate with its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: WorkspaceName,
    /// The keys of its callers.
    pub keys: Vec<AccessKey>,
    /// The priority of its requests, which goes before that of their routes; 0 is the highest.
    pub priority: Option<u8>,
    /// What it may use; `None` for no limit.
    pub quota: Option<Quota>,
}
