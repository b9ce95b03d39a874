//! The registration of an entry VM.

use {
    crate::units::{DataCentreName, Incarnation, VmName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The registration of an entry VM, stored under a key that is bound to the VM's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The VM's name.
    pub vm: VmName,
    /// The VM's data centre.
    pub data_centre: DataCentreName,
    /// The address at which the VM's keeper listens for other keepers.
    pub address: SocketAddr,
    /// The address at which the VM's entry process listens for other entry processes.
    pub entry_address: SocketAddr,
    /// The incarnation of the VM's keeper, which a restart increases.
    pub incarnation: Incarnation,
}
