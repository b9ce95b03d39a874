//! Chooses the backend server for a request to a plain service.

use {super::Backend, crate::units::DataCentreName, std::sync::Arc};

/// Chooses a backend server that was not tried yet: healthy ones first, then those in the local data
/// centre, then the one with the fewest requests in flight.
pub fn choose_backend<'a>(
    candidates: impl IntoIterator<Item = &'a Arc<Backend>>,
    tried: &[Arc<Backend>],
    local_data_centre: &DataCentreName,
) -> Option<Arc<Backend>> {
    candidates
        .into_iter()
        .filter(|backend| !tried.iter().any(|other| Arc::ptr_eq(other, backend)))
        .min_by_key(|backend| rank(backend, local_data_centre))
        .cloned()
}

fn rank(backend: &Backend, local_data_centre: &DataCentreName) -> (bool, bool, bool, u32) {
    (
        backend.has_announced_leaving(),
        backend.failed_recently(),
        backend.data_centre != *local_data_centre,
        backend.in_flight(),
    )
}
