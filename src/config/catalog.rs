//! All objects of one configuration revision, with look-up by name.

use {
    super::{Adapter, DataCentre, Deployment, Model, Object, Placement, Runner, Service},
    crate::units::{AdapterName, DataCentreName, MemoryMib, ModelName, RunnerName, ServiceName},
};

/// All objects of one configuration revision, each kind sorted by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// The limits and weights of the whole deployment.
    pub deployment: Deployment,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
    /// The runners.
    pub runners: Vec<Runner>,
    /// The models.
    pub models: Vec<Model>,
    /// The adapters.
    pub adapters: Vec<Adapter>,
    /// The services.
    pub services: Vec<Service>,
    /// The placements, sorted by model and name.
    pub placements: Vec<Placement>,
}

impl Catalog {
    /// Builds a catalog from objects of any kind.
    ///
    /// The objects are not validated here; `check_objects` does that.
    pub fn from_objects(objects: impl IntoIterator<Item = Object>) -> Self {
        let mut catalog = Self::default();
        for object in objects {
            match object {
                Object::Deployment(object) => catalog.deployment = object,
                Object::DataCentre(object) => catalog.data_centres.push(object),
                Object::Runner(object) => catalog.runners.push(object),
                Object::Model(object) => catalog.models.push(object),
                Object::Adapter(object) => catalog.adapters.push(object),
                Object::Service(object) => catalog.services.push(object),
                Object::Placement(object) => catalog.placements.push(object),
            }
        }
        catalog.sort();
        catalog
    }

    fn sort(&mut self) {
        self.data_centres.sort_by(|a, b| a.name.cmp(&b.name));
        self.runners.sort_by(|a, b| a.name.cmp(&b.name));
        self.models.sort_by(|a, b| a.name.cmp(&b.name));
        self.adapters.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.placements
            .sort_by(|a, b| a.model.cmp(&b.model).then_with(|| a.name.cmp(&b.name)));
    }

    /// Returns all objects, grouped by kind.
    pub fn objects(&self) -> Vec<Object> {
        let mut objects = vec![Object::Deployment(self.deployment.clone())];
        objects.extend(self.data_centres.iter().cloned().map(Object::DataCentre));
        objects.extend(self.runners.iter().cloned().map(Object::Runner));
        objects.extend(self.models.iter().cloned().map(Object::Model));
        objects.extend(self.adapters.iter().cloned().map(Object::Adapter));
        objects.extend(self.services.iter().cloned().map(Object::Service));
        objects.extend(self.placements.iter().cloned().map(Object::Placement));
        objects
    }

    /// Finds a data centre by name.
    pub fn data_centre(&self, name: &DataCentreName) -> Option<&DataCentre> {
        find(&self.data_centres, |object| object.name.cmp(name))
    }

    /// Finds a runner by name.
    pub fn runner(&self, name: &RunnerName) -> Option<&Runner> {
        find(&self.runners, |object| object.name.cmp(name))
    }

    /// Finds a model by name.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        find(&self.models, |object| object.name.cmp(name))
    }

    /// Finds an adapter by name.
    pub fn adapter(&self, name: &AdapterName) -> Option<&Adapter> {
        find(&self.adapters, |object| object.name.cmp(name))
    }

    /// Finds a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        find(&self.services, |object| object.name.cmp(name))
    }

    /// Returns the placements of a model.
    pub fn placements_of(&self, model: &ModelName) -> &[Placement] {
        let start = self
            .placements
            .partition_point(|placement| placement.model < *model);
        let end = self
            .placements
            .partition_point(|placement| placement.model <= *model);
        &self.placements[start..end]
    }
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            move_weight: 1.0,
            model_loads_per_s: 1.0,
            model_loads_at_once_max: 1,
            adapter_loads_at_once_max: 8,
        }
    }
}

impl Runner {
    /// Returns the accelerator memory available to models: all but the adapter pool.
    pub fn model_memory_mib(&self) -> MemoryMib {
        self.memory_mib.saturating_sub(self.adapter_pool_mib)
    }
}

fn find<T>(sorted: &[T], compare: impl FnMut(&T) -> std::cmp::Ordering) -> Option<&T> {
    let position = sorted.binary_search_by(compare).ok()?;
    sorted.get(position)
}
