//! A keeper's view of the fleet.

use {
    super::Owner,
    crate::{config::Catalog, membership::Member, units::VmName},
    std::sync::Arc,
};

/// A keeper's view of the fleet: the configuration, the live members and the platform's VM list.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The configuration.
    pub catalog: Arc<Catalog>,
    /// The live members.
    pub members: Vec<Member>,
    /// The VMs on the platform's list as last read, including leaving ones; `None` when the
    /// platform has no list.
    pub listed_vms: Option<Vec<VmName>>,
}

impl FleetView {
    /// Returns whether an owner's process is known to have ended.
    ///
    /// An owner acquires runners only after its own VM appeared on the list, so an owner whose VM
    /// is missing from the list has left. A later keeper on the same VM listens on the address of
    /// the earlier one, which must have ended first.
    pub fn has_ended(&self, owner: &Owner, me: &VmName) -> bool {
        let unlisted = self
            .listed_vms
            .as_ref()
            .is_some_and(|listed| listed.contains(me) && !listed.contains(&owner.vm));
        let replaced = self
            .members
            .iter()
            .any(|member| member.vm == owner.vm && member.incarnation > owner.incarnation);
        unlisted || replaced
    }

    /// Returns whether a VM may own runners: the platform's list, if there is one, contains the VM.
    pub fn may_own(&self, vm: &VmName) -> bool {
        self.listed_vms
            .as_ref()
            .is_none_or(|listed| listed.contains(vm))
    }
}
