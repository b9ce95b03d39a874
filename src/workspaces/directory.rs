//! The workspaces of a configuration, by key.

use {
    super::{AccessKey, Workspace, WorkspaceName},
    std::sync::Arc,
    thiserror::Error,
};

/// The reason why a list of workspaces is rejected; never names a key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// A workspace has no name.
    #[error("workspace {position} has no name")]
    NoName {
        /// The position in the list, from 0.
        position: usize,
    },
    /// Two workspaces have the same name.
    #[error("two workspaces have the name {name}")]
    SameName {
        /// The name.
        name: WorkspaceName,
    },
    /// A key occurs twice.
    #[error("a key of workspace {first} is also a key of workspace {second}")]
    SameKey {
        /// A workspace with the key.
        first: WorkspaceName,
        /// The other one, or the same.
        second: WorkspaceName,
    },
}

/// The workspaces of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkspaceDirectory {
    /// Sorted by name.
    workspaces: Vec<Arc<Workspace>>,
    /// The keys, sorted, with the position of their workspace.
    keys: Vec<(AccessKey, usize)>,
}

impl WorkspaceDirectory {
    /// Creates a directory of workspaces.
    ///
    /// # Errors
    ///
    /// Fails if a name is empty, or if two workspaces share a name or a key.
    pub fn new(workspaces: Vec<Workspace>) -> Result<Self, DirectoryError> {
        let nameless = workspaces.iter().position(|w| w.name.as_str().is_empty());
        if let Some(position) = nameless {
            return Err(DirectoryError::NoName { position });
        }
        let mut workspaces: Vec<_> = workspaces.into_iter().map(Arc::new).collect();
        workspaces.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = workspaces.windows(2).find(|p| p[0].name == p[1].name) {
            let name = pair[0].name.clone();
            return Err(DirectoryError::SameName { name });
        }
        let keys = workspaces.iter().enumerate();
        let keys = keys.flat_map(|(position, w)| w.keys.iter().map(move |key| (*key, position)));
        let mut keys: Vec<_> = keys.collect();
        keys.sort();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            return Err(DirectoryError::SameKey {
                first: workspaces[pair[0].1].name.clone(),
                second: workspaces[pair[1].1].name.clone(),
            });
        }
        Ok(Self { workspaces, keys })
    }

    /// Returns whether callers need no key, as there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Returns the workspaces, sorted by name.
    pub fn workspaces(&self) -> &[Arc<Workspace>] {
        &self.workspaces
    }

    /// Returns the workspace with a key.
    pub fn find(&self, key: &AccessKey) -> Option<&Arc<Workspace>> {
        let found = self.keys.binary_search_by(|(known, _)| known.cmp(key));
        found.ok().map(|at| &self.workspaces[self.keys[at].1])
    }

    /// Returns the workspace with a name.
    pub fn find_by_name(&self, name: &WorkspaceName) -> Option<&Arc<Workspace>> {
        let found = self.workspaces.binary_search_by(|w| w.name.cmp(name));
        found.ok().map(|at| &self.workspaces[at])
    }
}
