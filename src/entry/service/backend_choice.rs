//! Chooses among the backend servers of a plain service.

use {super::Backend, crate::units::DataCentreName, std::sync::Arc};

/// Chooses a backend server that was not tried: healthy first, near first, then the least busy.
pub fn choose_backend<'a>(
    candidates: impl IntoIterator<Item = &'a Arc<Backend>>,
    tried: &[Arc<Backend>],
    near: &DataCentreName,
) -> Option<Arc<Backend>> {
    candidates
        .into_iter()
        .filter(|backend| !tried.iter().any(|other| Arc::ptr_eq(other, backend)))
        .min_by_key(|backend| rank(backend, near))
        .cloned()
}

fn rank(backend: &Backend, near: &DataCentreName) -> (bool, bool, bool, u32) {
    (
        backend.was_leaving(),
        backend.failed_lately(),
        backend.data_centre != *near,
        backend.in_flight(),
    )
}
