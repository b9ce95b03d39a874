//! Sample catalogs of a given size.

use greengagetrail::{
    config::{Adapter, Catalog, DataCentre, Fencing, Model, Runner},
    units::MemoryMib,
};

/// Returns a valid catalog with a number of models and as many adapters and runners.
pub fn sample_catalog(models: usize) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.data_centres.push(DataCentre {
        name: "north".parse().unwrap(),
        region: "plains".parse().unwrap(),
    });
    for index in 0..models {
        catalog.models.push(sample_model(index));
        catalog.adapters.push(Adapter {
            name: format!("adapter-{index:04}").parse().unwrap(),
            model: format!("model-{index:04}").parse().unwrap(),
            memory_mib: MemoryMib(64),
        });
        catalog.runners.push(sample_runner(index));
    }
    catalog
}

fn sample_model(index: usize) -> Model {
    Model {
        name: format!("model-{index:04}").parse().unwrap(),
        version: "1".to_owned(),
        memory_mib: MemoryMib(4096),
    }
}

fn sample_runner(index: usize) -> Runner {
    Runner {
        name: format!("runner-{index:04}").parse().unwrap(),
        address: format!("10.1.{}.{}:8000", index / 250, index % 250 + 1)
            .parse()
            .unwrap(),
        data_centre: "north".parse().unwrap(),
        accelerators: 1,
        memory_mib: MemoryMib(8192),
        adapter_pool_mib: MemoryMib(1024),
        fencing: Fencing::Honoured,
        order_lateness_max_ms: 1000,
    }
}
