//! The view of the fleet that all runner tasks of a process share.

use {
    super::Owner,
    crate::{config::Catalog, membership::Member, units::VmName},
    std::sync::Arc,
};

/// The configuration, the live members and the platform's VM list.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The configuration.
    pub catalog: Arc<Catalog>,
    /// The live members.
    pub members: Vec<Member>,
    /// The VMs on the platform's list as last read, leaving ones too; `None` without such a list.
    pub listed: Option<Vec<VmName>>,
}

impl FleetView {
    /// Returns whether this VM knows that a sender has ended.
    ///
    /// An owner takes runners only once it has found its own VM on the list, so a VM that is
    /// missing there has left. A later keeper on the same VM listens on the address of the
    /// earlier one, which must have ended first.
    pub fn is_gone(&self, owner: &Owner, me: &VmName) -> bool {
        let unlisted = self
            .listed
            .as_ref()
            .is_some_and(|listed| listed.contains(me) && !listed.contains(&owner.vm));
        let replaced = self
            .members
            .iter()
            .any(|member| member.vm == owner.vm && member.incarnation > owner.incarnation);
        unlisted || replaced
    }

    /// Returns whether a VM may own runners.
    pub fn may_own(&self, vm: &VmName) -> bool {
        self.listed
            .as_ref()
            .is_none_or(|listed| listed.contains(vm))
    }
}
