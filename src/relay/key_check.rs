//! The check that the key of a request may still be served.

use {
    super::CallerIdentity,
    crate::{freshness::ConfigAge, traffic::ActiveConfig},
    std::sync::Arc,
};

/// Why a request is no longer sent on behalf of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyDenial {
    /// The configuration no longer has the key.
    Revoked,
    /// The configuration may be outdated, so that the key may be revoked.
    OldConfiguration,
}

/// Decides again whether a request may be sent on behalf of its key.
///
/// A request waits for a runner, a connection and the task that writes to it; meanwhile its key may
/// be taken away, or the node may be frozen or lose the store.
#[derive(Debug, Clone)]
pub(super) struct KeyCheck {
    pub(super) caller: CallerIdentity,
    pub(super) traffic: Arc<ActiveConfig>,
    pub(super) age: Option<Arc<ConfigAge>>,
}

impl KeyCheck {
    /// Decides whether the request may be sent now.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub(super) fn check(&self) -> Result<(), KeyDenial> {
        let CallerIdentity::Workspace { workspace, key } = &self.caller else {
            return Ok(());
        };
        let current = self.traffic.current();
        let found = current
            .as_ref()
            .and_then(|map| map.config().workspaces.find(key));
        if found.is_none_or(|found| found.name != workspace.name) {
            return Err(KeyDenial::Revoked);
        }
        let checked = self.age.as_ref().map_or(Ok(()), |age| age.check());
        checked.map_err(|_| KeyDenial::OldConfiguration)
    }
}
