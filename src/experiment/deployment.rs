//! The configuration and processes that an experiment deploys.

use {
    crate::{
        config::{Catalog, Object, ServiceTarget, check_parsed, read_config_dir},
        settings::SettingsFault,
        units::DataCentreName,
    },
    std::{net::SocketAddr, path::Path},
};

/// The kinds of process that a disruption can target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TargetKind {
    /// An entry or keeper of the system itself.
    System,
    /// The stand-in for the key-value store.
    Store,
    /// The stand-in for a runner.
    Runner,
    /// The stand-in for a backend server of a plain service.
    Backend,
}

/// Process name of the stand-in for the key-value store.
pub(super) const STORE_NAME: &str = "store";
/// Process name of the stand-in for the VM list.
pub(super) const VM_LIST_NAME: &str = "vms";
/// Process name of the stand-in for the weight store.
pub(super) const WEIGHTS_NAME: &str = "weights";

/// The configuration and processes that an experiment deploys.
#[derive(Debug, Clone, PartialEq)]
pub struct ExperimentDeployment {
    /// The configuration to publish.
    pub catalog: Catalog,
    /// The data centre of each VM.
    pub vms: Vec<DataCentreName>,
    /// The names of the backend servers of plain services, sorted.
    pub backends: Vec<String>,
}

impl ExperimentDeployment {
    /// Reads and checks the configuration in a directory and the data centres of the VMs.
    ///
    /// Faults are appended to `faults`. Returns `None` if the configuration is invalid.
    pub(super) fn read(
        directory: &Path,
        vms: &[DataCentreName],
        faults: &mut Vec<SettingsFault>,
    ) -> Option<Self> {
        let mut add = |field: &str, problem: String| {
            let field = field.to_owned();
            faults.push(SettingsFault { field, problem });
        };
        let parsed = match read_config_dir(directory) {
            Ok(parsed) => parsed,
            Err(error) => {
                add("configuration", error.to_string());
                return None;
            }
        };
        let catalog = match check_parsed(&parsed) {
            Ok(catalog) => catalog,
            Err(wrong) => {
                for fault in wrong {
                    add("configuration", fault.to_string());
                }
                return None;
            }
        };
        let known = || {
            catalog
                .data_centres
                .iter()
                .map(|data_centre| &data_centre.name)
        };
        for (index, vm) in vms.iter().enumerate() {
            if !known().any(|name| name == vm) {
                add(
                    &format!("vms[{index}]"),
                    format!("there is no data centre \"{vm}\""),
                );
            }
        }
        let vms = match vms {
            [] => known().cloned().collect(),
            vms => vms.to_vec(),
        };
        let backends = backend_names(&catalog);
        let deployment = Self {
            catalog,
            vms,
            backends,
        };
        let mut names = deployment.process_names();
        names.sort();
        for pair in names.windows(2).filter(|pair| pair[0] == pair[1]) {
            add(
                "configuration",
                format!("two processes would be named \"{}\"", pair[0]),
            );
        }
        Some(deployment)
    }

    /// Returns the names of the models, followed by those of the adapters.
    pub(super) fn names(&self) -> Vec<String> {
        let models = self
            .catalog
            .models
            .iter()
            .map(|model| model.name.to_string());
        let adapters = self.catalog.adapters.iter();
        let adapters = adapters.map(|adapter| adapter.name.to_string());
        models.chain(adapters).collect()
    }

    /// Returns the number of accelerators of all runners.
    pub(super) fn accelerators(&self) -> u32 {
        let runners = self.catalog.runners.iter();
        runners.map(|runner| runner.accelerators).sum()
    }

    /// Returns whether a plain service with this name exists.
    pub(super) fn has_service(&self, name: &str) -> bool {
        self.catalog.services.iter().any(|service| {
            service.name.as_str() == name && matches!(service.target, ServiceTarget::Plain { .. })
        })
    }

    /// Returns the kind of process with this name, if there is one that can be disrupted.
    pub(super) fn target_kind(&self, name: &str) -> Option<TargetKind> {
        let is_runner = |runner: &crate::config::Runner| runner.name.as_str() == name;
        if name == STORE_NAME {
            return Some(TargetKind::Store);
        }
        if self.catalog.runners.iter().any(is_runner) {
            return Some(TargetKind::Runner);
        }
        if self.backends.iter().any(|backend| backend == name) {
            return Some(TargetKind::Backend);
        }
        let is_system = self.system_process_names().any(|system| system == name);
        is_system.then_some(TargetKind::System)
    }

    /// Returns the objects with their addresses replaced by those of a trial, looked up by process
    /// name.
    pub(super) fn objects_at(&self, address: impl Fn(&str) -> SocketAddr) -> Vec<Object> {
        let mut objects = self.catalog.objects();
        for object in &mut objects {
            match object {
                Object::Runner(runner) => runner.address = address(runner.name.as_str()),
                Object::Service(service) => {
                    if let ServiceTarget::Plain { backends, .. } = &mut service.target {
                        for backend in backends {
                            backend.address = address(backend.name.as_str());
                        }
                    }
                }
                _ => {}
            }
        }
        objects
    }

    fn system_process_names(&self) -> impl Iterator<Item = String> {
        let numbers = 1..=self.vms.len();
        numbers.flat_map(|number| [format!("entry-{number}"), format!("keeper-{number}")])
    }

    fn process_names(&self) -> Vec<String> {
        let runners = self.catalog.runners.iter();
        let mut names: Vec<String> = runners.map(|runner| runner.name.to_string()).collect();
        names.extend(self.backends.iter().cloned());
        names.extend(self.system_process_names());
        names.extend([STORE_NAME, VM_LIST_NAME, WEIGHTS_NAME].map(str::to_owned));
        names
    }
}

fn backend_names(catalog: &Catalog) -> Vec<String> {
    let mut names = Vec::new();
    for service in &catalog.services {
        if let ServiceTarget::Plain { backends, .. } = &service.target {
            names.extend(backends.iter().map(|backend| backend.name.to_string()));
        }
    }
    names.sort();
    names.dedup();
    names
}
