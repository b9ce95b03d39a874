//! A keeper and its runners without faults and after single faults, against the stand-ins.

use {
    greengagetrail::{
        config::{Adapter, Catalog, Deployment, Fencing, Model, Runner},
        engine::Engine,
        fleet::{
            FleetKeeper, FleetTiming, FleetView, Move, MoveChange, Owner, RECORD_PREFIX,
            RunnerRecord, RunnerState, decode_record,
        },
        membership::Member,
        standin::{
            engine::{EngineFaults, EngineSettings, StandinEngine},
            kv::{KvFaults, MemoryStore},
            weights::{WeightLimits, WeightSource, WeightStore},
        },
        store::Store,
        units::{Incarnation, MemoryMib},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

const LATENESS_MS: u64 = 5000;

struct TestFleet {
    store: MemoryStore,
    engines: Vec<StandinEngine>,
    catalog: Arc<Catalog>,
}

impl TestFleet {
    fn new(fencing: Fencing) -> Self {
        let settings = EngineSettings {
            memory_mib: MemoryMib(100),
            adapter_pool_mib: MemoryMib(20),
            fencing,
            ..EngineSettings::default()
        };
        let weights = Arc::new(WeightStore::new(WeightLimits::default()));
        let engine = |_| StandinEngine::new(settings.clone(), WeightSource::Local(weights.clone()));
        Self {
            store: MemoryStore::new(),
            engines: (0..2).map(engine).collect(),
            catalog: Arc::new(catalog(fencing)),
        }
    }

    fn owner(vm: &str) -> Owner {
        Owner {
            vm: vm.parse().unwrap(),
            incarnation: Incarnation(1),
        }
    }

    fn view(&self, vms: &[&str]) -> FleetView {
        let member = |vm: &&str| Member {
            vm: vm.parse().unwrap(),
            data_centre: "dc".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            entry_address: "127.0.0.1:2".parse().unwrap(),
            incarnation: Incarnation(1),
        };
        FleetView {
            catalog: Arc::clone(&self.catalog),
            members: vms.iter().map(member).collect(),
            listed_vms: None,
        }
    }

    fn keeper(&self, vm: &str) -> FleetKeeper {
        let engines = self.engines.clone();
        let factory = move |runner: &Runner| -> Arc<dyn Engine> {
            let index: usize = runner.name.as_str()[1..].parse().unwrap();
            Arc::new(engines[index].clone())
        };
        let timing = FleetTiming {
            status_interval: Duration::from_secs(1),
            order_timeout: Duration::from_secs(2),
        };
        let store = Arc::new(self.store.clone());
        let data_centre = "dc".parse().unwrap();
        FleetKeeper::new(
            store,
            Box::new(factory),
            Self::owner(vm),
            data_centre,
            timing,
        )
    }

    /// Starts the only keeper, and waits until it has read the state of the runner.
    async fn owner_of_runner(&self, vm: &str) -> FleetKeeper {
        let keeper = self.keeper(vm);
        keeper.update(self.view(&[vm]));
        self.wait_for(&keeper, |state| state.incarnation == Incarnation(1))
            .await;
        keeper
    }

    async fn record(&self) -> RunnerRecord {
        let key = format!("{RECORD_PREFIX}r0");
        let found = self.store.range(&key, 1).await.unwrap();
        decode_record(&found.entries[0]).unwrap().0
    }

    async fn wait_for(&self, keeper: &FleetKeeper, holds: impl Fn(&RunnerState) -> bool) {
        let mut states = keeper.states();
        let holds = |states: &Arc<Vec<RunnerState>>| states.first().is_some_and(&holds);
        let wait = states.wait_for(holds);
        timeout(Duration::from_secs(60), wait)
            .await
            .unwrap()
            .unwrap();
    }
}

fn catalog(fencing: Fencing) -> Catalog {
    let runner = |index: usize| Runner {
        name: format!("r{index}").parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        accelerators: 1,
        memory_mib: MemoryMib(100),
        adapter_pool_mib: MemoryMib(20),
        fencing,
        order_lateness_max_ms: LATENESS_MS,
    };
    let model = |name: &str| Model {
        name: name.parse().unwrap(),
        version: "1".to_owned(),
        memory_mib: MemoryMib(60),
    };
    let adapter = Adapter {
        name: "a".parse().unwrap(),
        model: "m".parse().unwrap(),
        memory_mib: MemoryMib(10),
    };
    Catalog {
        deployment: Deployment::default(),
        runners: (0..2).map(runner).collect(),
        models: vec![model("m"), model("n")],
        adapters: vec![adapter],
        ..Catalog::default()
    }
}

fn on_r0(change: MoveChange) -> Vec<Move> {
    vec![Move {
        runner: "r0".parse().unwrap(),
        change,
        urgent: true,
    }]
}

fn load(model: &str) -> Vec<Move> {
    on_r0(MoveChange::Load(model.parse().unwrap()))
}

fn serves(state: &RunnerState, model: &str) -> bool {
    let ready =
        |held: &greengagetrail::engine::ModelResident| held.ready && held.model.as_str() == model;
    state.models.iter().any(ready)
}

#[tokio::test(start_paused = true)]
async fn an_owned_runner_serves_causes_no_store_calls_while_idle_and_is_released() {
    for fencing in [Fencing::Honoured, Fencing::Ignored] {
        let rig = TestFleet::new(fencing);
        let keeper = rig.owner_of_runner("vm0").await;
        assert_eq!(keeper.queue_moves(load("m"), "test"), 1);
        rig.wait_for(&keeper, |state| serves(state, "m")).await;
        keeper.queue_moves(on_r0(MoveChange::LoadAdapter("a".parse().unwrap())), "test");
        rig.wait_for(&keeper, |state| state.adapters.len() == 1)
            .await;
        keeper.queue_moves(on_r0(MoveChange::Unload("m".parse().unwrap())), "test");
        sleep(Duration::from_secs(40)).await;
        assert!(
            serves(&keeper.states().borrow()[0], "m"),
            "the last copy was unloaded"
        );
        keeper.flush_audit().await.unwrap();
        let trail = rig.store.range("/ggt/audit/dc/", 10).await.unwrap();
        assert_eq!(trail.entries.len(), 2);
        let before = rig.store.counts().total();
        sleep(Duration::from_secs(600)).await;
        assert_eq!(
            rig.store.counts().total(),
            before,
            "an idle runner causes store calls"
        );
        keeper.release_all().await;
        let record = rig.record().await;
        assert_eq!((record.owner, record.orders), (None, Vec::new()));
        let next = rig.keeper("vm1");
        next.update(rig.view(&["vm1"]));
        rig.wait_for(&next, |state| {
            state.epoch > record.epoch && serves(state, "m")
        })
        .await;
    }
}

/// Returns how long a load that was lost on the way to the engine keeps its memory reserved.
async fn reservation_time_of_lost_load(fencing: Fencing) -> Duration {
    let rig = TestFleet::new(fencing);
    let keeper = rig.owner_of_runner("vm0").await;
    sleep(Duration::from_secs(2)).await;
    rig.engines[0].set_faults(EngineFaults {
        lost_orders: 1,
        ..EngineFaults::default()
    });
    keeper.queue_moves(load("m"), "test");
    rig.wait_for(&keeper, |state| !state.models.is_empty())
        .await;
    let start = Instant::now();
    rig.wait_for(&keeper, |state| state.models.is_empty()).await;
    let reserved_for = start.elapsed();
    assert_eq!(rig.record().await.orders, Vec::new());
    reserved_for
}

#[tokio::test(start_paused = true)]
async fn a_lost_order_reserves_its_memory_for_a_bounded_time() {
    let honoured = reservation_time_of_lost_load(Fencing::Honoured).await;
    let ignored = reservation_time_of_lost_load(Fencing::Ignored).await;
    println!("a lost load reserves memory for {honoured:?} (fenced), {ignored:?} (not fenced)");
    let (answer, poll) = (Duration::from_secs(2), Duration::from_secs(1));
    assert!(honoured <= answer + 4 * poll);
    assert!(ignored <= answer + Duration::from_millis(LATENESS_MS) + 2 * poll);
    assert!(ignored >= Duration::from_millis(LATENESS_MS));
}

#[tokio::test(start_paused = true)]
async fn reservations_survive_a_store_restored_to_an_older_copy() {
    let rig = TestFleet::new(Fencing::Ignored);
    let first = rig.keeper("vm9");
    first.update(rig.view(&["vm9"]));
    rig.wait_for(&first, |state| state.incarnation == Incarnation(1))
        .await;
    first.release_all().await;
    let old = rig.store.copy_state();
    let keeper = rig.keeper("vm0");
    keeper.update(rig.view(&["vm0"]));
    rig.wait_for(&keeper, |state| state.epoch.0 == 2).await;
    rig.engines[0].set_faults(EngineFaults {
        late_orders: 1,
        late_ms: LATENESS_MS - 100,
        ..EngineFaults::default()
    });
    keeper.queue_moves(load("m"), "test");
    rig.wait_for(&keeper, |state| !state.models.is_empty())
        .await;
    sleep(Duration::from_millis(100)).await;
    rig.store.restore(old);
    rig.engines[0].set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    for _ in 0..60 {
        keeper.queue_moves(load("n"), "test");
        sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(rig.engines[0].record().overcommits, 0);
    assert!(serves(&keeper.states().borrow()[0], "m"));
    assert_eq!(rig.record().await.epoch.0, 2);
}

#[tokio::test(start_paused = true)]
async fn during_a_store_outage_the_owner_keeps_the_runner_and_sends_no_orders() {
    let rig = TestFleet::new(Fencing::Honoured);
    let keeper = rig.owner_of_runner("vm0").await;
    rig.store.set_faults(KvFaults::DOWN);
    keeper.queue_moves(load("m"), "test");
    sleep(Duration::from_secs(20)).await;
    assert_eq!(rig.engines[0].record().model_loads, 0);
    rig.store.set_faults(KvFaults::default());
    rig.wait_for(&keeper, |state| serves(state, "m") && state.epoch.0 == 1)
        .await;
}

#[tokio::test(start_paused = true)]
async fn an_owner_raises_its_epoch_above_the_one_that_the_engine_knows() {
    let mut rig = TestFleet::new(Fencing::Honoured);
    for vm in ["vm0", "vm1", "vm2"] {
        let keeper = rig.owner_of_runner(vm).await;
        sleep(Duration::from_secs(3)).await;
        keeper.release_all().await;
    }
    rig.store = MemoryStore::new();
    let keeper = rig.keeper("vm3");
    keeper.update(rig.view(&["vm3"]));
    rig.wait_for(&keeper, |state| state.epoch.0 > 3).await;
    keeper.queue_moves(load("m"), "test");
    rig.wait_for(&keeper, |state| serves(state, "m")).await;
}
