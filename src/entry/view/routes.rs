//! The routes of requests to runners and backend servers, derived from the latest view.

use {
    super::{EntryView, ViewReceiver},
    crate::{
        admission::AdmissionController,
        config::{Service, ServiceTarget},
        entry::Backend,
        routing::RouteTable,
        units::{DataCentreName, Incarnation, RunnerName, ServiceName},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, PoisonError, RwLock},
    },
};

/// The most concurrent requests to a model for each accelerator that serves the model.
const REQUESTS_PER_ACCELERATOR: u32 = 64;

/// The routes derived from one view.
#[derive(Debug, Default)]
pub struct Routes {
    /// The view that the routes are derived from.
    pub view: Arc<EntryView>,
    /// The runners that can serve each model.
    pub runners: RouteTable,
    services: Vec<(ServiceName, Vec<Arc<Backend>>)>,
    leaving: Vec<RunnerName>,
}

/// Caches the routes of the latest view and rebuilds them when the view changes.
#[derive(Debug)]
pub struct RouteCache {
    local_data_centre: DataCentreName,
    admission: Arc<AdmissionController>,
    receiver: ViewReceiver,
    routes: RwLock<Arc<Routes>>,
}

impl RouteCache {
    /// Creates the routes of the current view; each rebuild updates the capacities of `admission`.
    pub fn new(
        local_data_centre: DataCentreName,
        admission: Arc<AdmissionController>,
        receiver: ViewReceiver,
    ) -> Self {
        let follower = Self {
            local_data_centre,
            admission,
            receiver,
            routes: RwLock::default(),
        };
        follower.rebuild(follower.newest());
        follower
    }

    /// Returns the routes of the latest view.
    pub fn current(&self) -> Arc<Routes> {
        let newest = self.newest();
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        if Arc::ptr_eq(&routes.view, &newest) {
            return routes.clone();
        }
        drop(routes);
        self.rebuild(newest)
    }

    /// Returns a receiver of the views.
    pub fn receiver(&self) -> ViewReceiver {
        self.receiver.clone()
    }

    fn newest(&self) -> Arc<EntryView> {
        self.receiver.borrow().clone()
    }

    fn rebuild(&self, newest: Arc<EntryView>) -> Arc<Routes> {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        if Arc::ptr_eq(&routes.view, &newest) {
            return routes.clone();
        }
        *routes = Arc::new(Routes::build(newest, &self.local_data_centre, &routes));
        let built = routes.clone();
        drop(routes);
        self.set_capacities(&built.runners);
        built
    }

    fn set_capacities(&self, runners: &RouteTable) {
        for model in runners.models() {
            let slots = runners.accelerators(model) * REQUESTS_PER_ACCELERATOR;
            self.admission.set_capacity(model, slots);
        }
    }
}

impl Routes {
    fn build(view: Arc<EntryView>, local_data_centre: &DataCentreName, previous: &Self) -> Self {
        let services = view
            .catalog
            .services
            .iter()
            .filter_map(|service| plain_backends(service, previous))
            .collect();
        Self {
            runners: RouteTable::new(&view.catalog, local_data_centre, &view.runners),
            services,
            leaving: leaving_runners(&view),
            view,
        }
    }

    /// Returns the runners that the platform lists as leaving, sorted.
    pub fn leaving_runners(&self) -> &[RunnerName] {
        &self.leaving
    }

    /// Returns whether the platform lists a backend server as leaving.
    pub fn is_leaving(&self, address: SocketAddr) -> bool {
        self.view.leaving.binary_search(&address).is_ok()
    }

    /// Returns the backend servers of a plain service.
    pub fn service(&self, name: &ServiceName) -> &[Arc<Backend>] {
        let position = self.services.binary_search_by(|(found, _)| found.cmp(name));
        match position {
            Ok(position) => &self.services[position].1,
            Err(_) => &[],
        }
    }

    /// Returns the incarnation of a runner in this view.
    pub fn incarnation(&self, name: &RunnerName) -> Option<Incarnation> {
        let state = self.view.runners.iter().find(|state| state.name == *name)?;
        Some(state.incarnation)
    }
}

fn leaving_runners(view: &EntryView) -> Vec<RunnerName> {
    let runners = view.catalog.runners.iter();
    runners
        .filter(|runner| view.leaving.binary_search(&runner.address).is_ok())
        .map(|runner| runner.name.clone())
        .collect()
}

fn plain_backends(
    service: &Service,
    previous: &Routes,
) -> Option<(ServiceName, Vec<Arc<Backend>>)> {
    let ServiceTarget::Plain { backends, .. } = &service.target else {
        return None;
    };
    let previous = previous.service(&service.name);
    let mut backends: Vec<_> = backends
        .iter()
        .map(|backend| {
            Backend::new(
                backend.name.as_str().into(),
                backend.address,
                backend.data_centre.clone(),
            )
        })
        .map(|backend| reuse_backend(backend, previous))
        .collect();
    backends.sort_by(|a, b| a.name.cmp(&b.name));
    Some((service.name.clone(), backends))
}

/// Returns the previous object of a backend server with the same name and address, which holds its
/// observations, or else the new one.
fn reuse_backend(backend: Backend, previous: &[Arc<Backend>]) -> Arc<Backend> {
    match find(previous, &backend.name) {
        Some(same) if same.address == backend.address => same.clone(),
        _ => Arc::new(backend),
    }
}

fn find<'a>(sorted: &'a [Arc<Backend>], name: &str) -> Option<&'a Arc<Backend>> {
    let position = sorted
        .binary_search_by(|backend| backend.name.as_ref().cmp(name))
        .ok()?;
    sorted.get(position)
}
