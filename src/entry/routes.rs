//! The backend servers of the newest view.

use {
    super::{Backend, EntryView, ViewReceiver},
    crate::{
        config::{Service, ServiceTarget},
        fleet::RunnerState,
        units::{AdapterName, ModelName, ServiceName},
    },
    std::sync::{Arc, PoisonError, RwLock},
};

/// The backend servers of one view.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// The view.
    pub view: Arc<EntryView>,
    runners: Vec<Arc<Backend>>,
    services: Vec<(ServiceName, Vec<Arc<Backend>>)>,
}

/// Always has the table of the newest view.
#[derive(Debug)]
pub struct Routes {
    receiver: ViewReceiver,
    table: RwLock<Arc<RouteTable>>,
}

impl Routes {
    /// Follows a view.
    pub fn new(receiver: ViewReceiver) -> Self {
        let table = RouteTable::build(receiver.borrow().clone(), &RouteTable::default());
        Self {
            receiver,
            table: RwLock::new(Arc::new(table)),
        }
    }

    /// Returns the table of the newest view.
    pub fn current(&self) -> Arc<RouteTable> {
        let newest = self.receiver.borrow().clone();
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        if Arc::ptr_eq(&table.view, &newest) {
            return table.clone();
        }
        drop(table);
        self.rebuild(newest)
    }

    /// Returns a receiver of the views.
    pub fn receiver(&self) -> ViewReceiver {
        self.receiver.clone()
    }

    fn rebuild(&self, newest: Arc<EntryView>) -> Arc<RouteTable> {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&table.view, &newest) {
            *table = Arc::new(RouteTable::build(newest, &table));
        }
        table.clone()
    }
}

impl RouteTable {
    fn build(view: Arc<EntryView>, former: &Self) -> Self {
        let runners = view
            .catalog
            .runners
            .iter()
            .map(|runner| {
                Backend::new(
                    runner.name.as_str().into(),
                    runner.address,
                    runner.data_centre.clone(),
                )
            })
            .map(|backend| keep_former(backend, &former.runners))
            .collect();
        let services = view
            .catalog
            .services
            .iter()
            .filter_map(|service| plain_backends(service, former))
            .collect();
        Self {
            view,
            runners,
            services,
        }
    }

    /// Returns the backend servers of a plain service.
    pub fn service(&self, name: &ServiceName) -> &[Arc<Backend>] {
        let position = self.services.binary_search_by(|(found, _)| found.cmp(name));
        match position {
            Ok(position) => &self.services[position].1,
            Err(_) => &[],
        }
    }

    /// Returns the runners that can serve a model, or one of its adapters, now.
    pub fn candidates(
        &self,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) -> Vec<(Arc<Backend>, &RunnerState)> {
        self.view
            .runners
            .iter()
            .filter(|state| state.reachable && !state.leaving && holds(state, model, adapter))
            .filter_map(|state| Some((self.runner(state.name.as_str())?.clone(), state)))
            .filter(|(backend, state)| !backend.is_leaving(state.incarnation))
            .collect()
    }

    fn runner(&self, name: &str) -> Option<&Arc<Backend>> {
        find(&self.runners, name)
    }
}

fn holds(state: &RunnerState, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
    let model_ready = state
        .models
        .binary_search_by(|resident| resident.model.cmp(model))
        .is_ok_and(|position| state.models[position].ready);
    let adapter_ready = adapter.is_none_or(|adapter| state.adapters.binary_search(adapter).is_ok());
    model_ready && adapter_ready
}

fn plain_backends(
    service: &Service,
    former: &RouteTable,
) -> Option<(ServiceName, Vec<Arc<Backend>>)> {
    let ServiceTarget::Plain { backends, .. } = &service.target else {
        return None;
    };
    let former = former.service(&service.name);
    let mut backends: Vec<_> = backends
        .iter()
        .map(|backend| {
            Backend::new(
                backend.name.as_str().into(),
                backend.address,
                backend.data_centre.clone(),
            )
        })
        .map(|backend| keep_former(backend, former))
        .collect();
    backends.sort_by(|a, b| a.name.cmp(&b.name));
    Some((service.name.clone(), backends))
}

/// Keeps what was seen of a backend server that is still the same.
fn keep_former(backend: Backend, former: &[Arc<Backend>]) -> Arc<Backend> {
    match find(former, &backend.name) {
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
