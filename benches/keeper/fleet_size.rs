//! The size of a fleet, and its objects.

use {
    greengagetrail::{
        config::{Adapter, Catalog, DataCentre, Fencing, Model, Runner},
        fleet::{Owner, RecordModel, RunnerRecord},
        membership::Member,
        units::{DataCentreName, Epoch, Incarnation, MemoryMib},
    },
    std::net::SocketAddr,
};

const MODEL_MIB: u64 = 16_000;
const ACCELERATOR_MIB: u64 = 80_000;

/// How many of each thing a fleet has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    pub nodes: usize,
    pub runners: usize,
    pub models: usize,
    pub data_centres: usize,
}

impl FleetSize {
    /// Returns the measured sizes, each with whether the keeper plans for its data centre.
    pub fn measured() -> Vec<(Self, bool)> {
        let whole = Self {
            nodes: 350,
            runners: 630,
            models: 960,
            data_centres: 11,
        };
        let part = |share: usize| Self {
            nodes: whole.nodes / share,
            runners: whole.runners / share,
            models: whole.models / share,
            data_centres: whole.data_centres,
        };
        vec![
            (part(8), true),
            (part(4), true),
            (part(2), true),
            (whole, true),
            (whole, false),
        ]
    }

    pub fn data_centre(self, index: usize) -> DataCentreName {
        format!("dc-{}", index % self.data_centres).parse().unwrap()
    }

    /// Returns the members other than the measured keeper.
    pub fn peers(self, address: SocketAddr) -> Vec<Member> {
        let peer = |index| Member {
            vm: format!("peer-{index}").parse().unwrap(),
            data_centre: self.data_centre(index),
            address,
            entry_address: address,
            incarnation: Incarnation(1),
        };
        (1..self.nodes).map(peer).collect()
    }

    /// Returns the objects; every fourth model has three adapters more.
    pub fn catalog(self, engine: SocketAddr, version: &str) -> Catalog {
        let catalog = Catalog {
            data_centres: (0..self.data_centres)
                .map(|index| self.data_centre_object(index))
                .collect(),
            runners: (0..self.runners)
                .map(|index| self.runner(index, engine))
                .collect(),
            models: (0..self.models)
                .map(|index| model(index, version))
                .collect(),
            adapters: (0..self.models * 3)
                .map(|index| self.adapter(index))
                .collect(),
            ..Catalog::default()
        };
        Catalog::from_objects(catalog.objects())
    }

    fn data_centre_object(self, index: usize) -> DataCentre {
        DataCentre {
            name: self.data_centre(index),
            region: format!("region-{}", index % 3).parse().unwrap(),
        }
    }

    fn runner(self, index: usize, address: SocketAddr) -> Runner {
        Runner {
            name: format!("runner-{index}").parse().unwrap(),
            address,
            data_centre: self.data_centre(index),
            accelerators: 4,
            memory_mib: MemoryMib(4 * ACCELERATOR_MIB),
            adapter_pool_mib: MemoryMib(8_000),
            fencing: Fencing::Honoured,
            order_lateness_max_ms: 5_000,
        }
    }

    fn adapter(self, index: usize) -> Adapter {
        Adapter {
            name: format!("adapter-{index}").parse().unwrap(),
            model: format!("model-{}", index % self.models).parse().unwrap(),
            memory_mib: MemoryMib(100),
        }
    }

    /// Returns the record of a runner; the models are spread over the runners in turn.
    pub fn record(self, index: usize, epoch: u64) -> RunnerRecord {
        let runner = self.runner(index, "127.0.0.1:1".parse().unwrap());
        let mut record = RunnerRecord::new(runner.name);
        record.owner = Some(Owner {
            vm: format!("peer-{}", 1 + index % (self.nodes - 1))
                .parse()
                .unwrap(),
            incarnation: Incarnation(1),
        });
        record.epoch = Epoch(epoch);
        record.engine = Incarnation(1);
        record.adapter_pool_mib = runner.adapter_pool_mib;
        let held = (0..self.models).filter(|model| model % self.runners == index);
        let second = (0..self.models).filter(|model| (model + 7) % self.runners == index);
        record.models = held.chain(second).map(resident).collect();
        record.models.sort_by(|a, b| a.model.cmp(&b.model));
        record
    }
}

fn model(index: usize, version: &str) -> Model {
    let version = if index == 0 { version } else { "1" };
    Model {
        name: format!("model-{index}").parse().unwrap(),
        version: version.to_owned(),
        memory_mib: MemoryMib(MODEL_MIB),
    }
}

fn resident(index: usize) -> RecordModel {
    RecordModel {
        model: format!("model-{index}").parse().unwrap(),
        version: "1".to_owned(),
        memory_mib: MemoryMib(MODEL_MIB),
        ready: true,
    }
}
