//! One entry VM as the others see it.

use {
    crate::units::{DataCentreName, Incarnation, VmName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One entry VM as the others see it; its key in the store is bound to its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where its keeper listens for other keepers.
    pub address: SocketAddr,
    /// Where its entry listens for other entries.
    pub entry_address: SocketAddr,
    /// The number of its keeper's start.
    pub incarnation: Incarnation,
}
