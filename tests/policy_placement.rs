//! The placement planner: memory bounds, last copies, convergence, homes, adapters and demand
//! rates.

mod common {
    pub mod policy;
    pub mod policy_fleet;
}

use {
    bolero::{
        TypeGenerator,
        generator::bolero_generator::driver::{ByteSliceDriver, Options},
    },
    common::policy_fleet::{LOAD_ROUNDS, PolicyFleet},
    greengagetrail::{
        config::{Adapter, Catalog, DataCentre, Fencing, Model, Object, Placement, Runner},
        fleet::{Demand, Move, MoveChange},
        placement::{DemandRate, DemandTracker, HomeMap, PlanInput, plan},
        units::MemoryMib,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::Instant,
};

/// The maximum number of rounds in which a small fleet must reach a stable placement.
const ROUNDS_MAX: usize = 200;

fn data_centre_object(name: &str) -> Object {
    Object::DataCentre(DataCentre {
        name: name.parse().unwrap(),
        region: "region".parse().unwrap(),
    })
}

fn sized_runner(name: &str, data_centre: &str, memory_mib: u64) -> Runner {
    let mut runner = common::policy::runner(name, data_centre);
    runner.adapter_pool_mib = MemoryMib(1_000);
    runner.memory_mib = MemoryMib(memory_mib + 1_000);
    runner
}

fn sized_model(name: &str, memory_mib: u64) -> Object {
    let mut model = common::policy::model(name);
    model.memory_mib = MemoryMib(memory_mib);
    Object::Model(model)
}

fn rate(model: &str, requests_per_s: f64, tokens_per_s: f64) -> DemandRate {
    DemandRate {
        model: model.parse().unwrap(),
        adapter: None,
        requests_per_s,
        tokens_per_s,
        lost_per_s: 0.0,
    }
}

fn small_catalog(data_centres: usize, runners: &[u64], models: &[u64]) -> Catalog {
    let mut objects: Vec<Object> = (0..data_centres)
        .map(|p| data_centre_object(&format!("dc{p}")))
        .collect();
    for (index, &memory) in runners.iter().enumerate() {
        let data_centre = format!("dc{}", index % data_centres);
        objects.push(Object::Runner(sized_runner(
            &format!("r{index:02}"),
            &data_centre,
            memory,
        )));
    }
    for (index, &memory) in models.iter().enumerate() {
        objects.push(sized_model(&format!("m{index:02}"), memory));
    }
    let mut catalog = Catalog::from_objects(objects);
    catalog.deployment.model_loads_at_once_max = 3;
    catalog
}

/// The random parameters of a fleet: data centres, runner memory, models with size and demand, and
/// faults.
type FleetParameters = (u8, Vec<u8>, Vec<(u8, u8)>, Vec<u8>);

fn random_fleet((data_centres, runners, models, _): &FleetParameters) -> PolicyFleet {
    let data_centres = 1 + usize::from(data_centres % 3);
    let runners: Vec<u64> = runners
        .iter()
        .take(6)
        .map(|r| 400 + u64::from(r % 4) * 100)
        .collect();
    let runners = if runners.is_empty() {
        vec![500; data_centres]
    } else {
        runners
    };
    let sizes: Vec<u64> = models
        .iter()
        .take(9)
        .map(|m| 50 + u64::from(m.0 % 5) * 50)
        .collect();
    let rates = models.iter().take(9).enumerate().map(|(index, generated)| {
        let requests = f64::from(generated.1 / 16);
        rate(&format!("m{index:02}"), requests, requests * 100.0)
    });
    let rates = rates.collect();
    PolicyFleet::new(small_catalog(data_centres, &runners, &sizes), rates)
}

fn stable_fleet(catalog: Catalog, demand: Vec<DemandRate>) -> PolicyFleet {
    let mut fleet = PolicyFleet::new(catalog, demand);
    fleet.run_until_stable(ROUNDS_MAX);
    fleet
}

/// Generates `count` values, the same ones in each run, and checks each; a failure names its seed.
fn check_random<T: TypeGenerator>(count: u64, check: impl Fn(&T)) {
    for seed in seeds(count) {
        let mut bytes = [0; 256];
        StdRng::seed_from_u64(seed).fill(&mut bytes[..]);
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let Some(generated) = T::generate(&mut driver) else {
            continue;
        };
        let checked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| check(&generated)));
        assert!(checked.is_ok(), "failed with POLICY_SEED={seed}");
    }
}

/// Returns the seeds to check: the one in `POLICY_SEED`, else the first `POLICY_SEEDS` or `count`.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let named = std::env::var("POLICY_SEED").ok();
    let named: Option<u64> = named.map(|text| text.parse().expect("POLICY_SEED is a number"));
    let count = std::env::var("POLICY_SEEDS").map_or(count, |text| {
        text.parse().expect("POLICY_SEEDS is a number")
    });
    named.map_or(0..count, |seed| seed..seed + 1)
}

#[test]
fn any_fleet_keeps_its_memory_bounds_and_last_copies_and_becomes_stable() {
    check_random(400, |parameters: &FleetParameters| {
        let mut fleet = random_fleet(parameters);
        fleet.has_stale_views = parameters.0 >= 128;
        fleet.run_until_stable(ROUNDS_MAX);
        for fault in parameters.3.iter().take(3) {
            fleet.fail_runner(usize::from(*fault));
            fleet.run_until_stable(ROUNDS_MAX);
        }
    });
}

#[test]
fn every_model_gets_a_copy_while_half_of_the_memory_suffices() {
    check_random(400, |(data_centres, models): &(u8, Vec<(u8, u8)>)| {
        let parameters = (*data_centres, vec![2; 6], models.clone(), vec![]);
        let mut fleet = random_fleet(&parameters);
        let model_mib: u64 = fleet.catalog.models.iter().map(|m| m.memory_mib.0).sum();
        let memory = fleet.catalog.runners.iter().map(|r| r.model_memory_mib().0);
        if model_mib * 2 > memory.sum() {
            return;
        }
        fleet.run_until_stable(ROUNDS_MAX);
        assert_eq!(fleet.unserved(), Vec::<String>::new());
    });
}

#[test]
fn a_lost_runner_s_models_are_loaded_at_once_as_urgent() {
    let mut fleet = stable_fleet(small_catalog(2, &[500; 4], &[100; 6]), Vec::new());
    let busiest = (0..4)
        .max_by_key(|&r| fleet.states[r].models.len())
        .unwrap();
    fleet.fail_runner(busiest);
    let moves = fleet.run_round();
    assert!(moves.iter().any(|planned| planned.urgent));
    assert!(
        moves
            .iter()
            .all(|planned| matches!(planned.change, MoveChange::Load(_)))
    );
    fleet.run_until_stable(ROUNDS_MAX);
    assert_eq!(fleet.unserved(), Vec::<String>::new());
}

#[test]
fn a_lost_data_centre_s_models_move_to_the_others() {
    let mut fleet = stable_fleet(small_catalog(3, &[500; 6], &[100; 8]), Vec::new());
    fleet.fail_runner(0);
    fleet.fail_runner(3);
    fleet.run_until_stable(ROUNDS_MAX);
    assert_eq!(fleet.unserved(), Vec::<String>::new());
}

#[test]
fn a_new_version_serves_before_the_old_one_is_unloaded() {
    let mut fleet = stable_fleet(small_catalog(1, &[300; 2], &[100; 4]), Vec::new());
    fleet.catalog.models[1].version = "2".to_owned();
    fleet.run_until_stable(ROUNDS_MAX);
    assert_eq!(fleet.unserved(), Vec::<String>::new());
    let versions: Vec<&str> = fleet.versions_of("m01");
    assert_eq!(versions, ["2"]);
}

#[test]
fn a_model_no_longer_configured_is_unloaded() {
    let mut fleet = stable_fleet(small_catalog(1, &[500; 2], &[100; 3]), Vec::new());
    fleet.catalog.models.remove(1);
    fleet.run_until_stable(ROUNDS_MAX);
    assert_eq!(fleet.versions_of("m01"), Vec::<&str>::new());
}

#[test]
fn a_full_runner_gets_room_by_relocating_a_last_copy() {
    let catalog = small_catalog(1, &[300, 300], &[100, 100, 300]);
    let mut fleet = PolicyFleet::new(catalog, Vec::new());
    fleet.set_copies(0, &["m00"]);
    fleet.set_copies(1, &["m01"]);
    fleet.run_until_stable(ROUNDS_MAX);
    assert_eq!(fleet.unserved(), Vec::<String>::new());
}

#[test]
fn a_hot_model_gets_copies_only_while_they_gain_more_than_a_move_costs() {
    let copies_at = |move_weight: f64| {
        let mut catalog = small_catalog(2, &[500; 4], &[100; 4]);
        catalog.deployment.move_weight = move_weight;
        let mut fleet = PolicyFleet::new(catalog, vec![rate("m00", 30.0, 3_000.0)]);
        fleet.run_until_stable(ROUNDS_MAX);
        fleet.versions_of("m00").len()
    };
    assert_eq!(copies_at(1.0), 4);
    assert_eq!(copies_at(1e9), 1);
}

#[test]
fn placements_bound_the_copies_and_their_data_centres() {
    let mut catalog = small_catalog(3, &[500; 6], &[100; 4]);
    catalog.placements.push(Placement {
        name: "p".parse().unwrap(),
        model: "m00".parse().unwrap(),
        data_centres: vec!["dc1".parse().unwrap(), "dc2".parse().unwrap()],
        copies_min: 2,
        copies_max: 3,
    });
    let mut fleet = stable_fleet(catalog, vec![rate("m00", 90.0, 9_000.0)]);
    let holders = fleet.holders("m00");
    assert_eq!(holders.len(), 3);
    assert!(holders.iter().all(|&runner| runner % 3 != 0), "{holders:?}");
    fleet.demand.clear();
    fleet.run_until_stable(ROUNDS_MAX);
    assert!(fleet.holders("m00").len() >= 2);
}

#[test]
fn a_model_with_much_demand_is_kept_in_two_data_centres() {
    let fleet = stable_fleet(
        small_catalog(2, &[500; 4], &[100; 4]),
        vec![rate("m00", 2.0, 200.0)],
    );
    let data_centres: Vec<usize> = fleet
        .holders("m00")
        .iter()
        .map(|runner| runner % 2)
        .collect();
    assert!(data_centres.contains(&0) && data_centres.contains(&1));
}

#[test]
fn homes_do_not_change_when_a_runner_is_lost() {
    let catalog = small_catalog(3, &[5_000; 9], &[100; 40]);
    let before = HomeMap::new(&catalog, &[true; 9]);
    let mut live = [true; 9];
    live[0] = false;
    let after = HomeMap::new(&catalog, &live);
    assert_eq!(before, after);
    let mut home_counts = [0; 3];
    for model in &catalog.models {
        for home in before.homes(&catalog, &model.name) {
            home_counts[usize::from(home.as_str().as_bytes()[2] - b'0')] += 1;
        }
    }
    assert_eq!(home_counts.iter().sum::<usize>(), 40);
    assert!(
        home_counts.iter().all(|&homes| homes >= 5),
        "{home_counts:?}"
    );
}

fn adapter(name: &str, model: &str) -> Object {
    Object::Adapter(Adapter {
        name: name.parse().unwrap(),
        model: model.parse().unwrap(),
        memory_mib: MemoryMib(400),
    })
}

#[test]
fn adapters_are_loaded_on_demand_and_evict_only_adapters_with_much_less_demand() {
    let catalog = small_catalog(1, &[500], &[100]);
    let adapters = ["a", "b", "c"].map(|name| adapter(name, "m00"));
    let catalog = Catalog::from_objects(catalog.objects().into_iter().chain(adapters));
    let mut fleet = stable_fleet(catalog, Vec::new());
    let demand = |rates: [f64; 3]| {
        let named = ["a", "b", "c"].into_iter().zip(rates);
        let rates = named.map(|(name, requests)| DemandRate {
            adapter: Some(name.parse().unwrap()),
            ..rate("m00", requests, requests * 10.0)
        });
        rates.collect::<Vec<_>>()
    };
    let mut adapters_after = |rates| {
        fleet.demand = demand(rates);
        fleet.run_until_stable(ROUNDS_MAX);
        let held = fleet.states[0].adapters.iter();
        held.map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(adapters_after([1.0, 0.5, 0.0]), ["a", "b"]);
    assert_eq!(adapters_after([1.0, 0.5, 0.9]), ["a", "b"]);
    assert_eq!(adapters_after([1.0, 0.5, 1.1]), ["a", "c"]);
}

#[test]
fn a_large_fleet_is_planned_within_a_second() {
    let sizes: Vec<u64> = (0..960).map(|m| 40 + m % 7 * 10).collect();
    let catalog = small_catalog(9, &[400; 630], &sizes);
    let rates = (0..960).map(|m| {
        let requests = 300.0 / f64::from(m + 1);
        rate(&format!("m{m:02}"), requests, requests * 200.0)
    });
    let mut rates: Vec<DemandRate> = rates.collect();
    rates.sort_by(|a, b| a.model.cmp(&b.model));
    let mut fleet = PolicyFleet::new(catalog, rates);
    for _ in 0..3 * LOAD_ROUNDS {
        fleet.run_round();
    }
    let data_centre = fleet.catalog.data_centres[0].name.clone();
    let mut input = PlanInput::new(&fleet.catalog, &data_centre, &fleet.states);
    input.demand = &fleet.demand;
    let started = std::time::Instant::now();
    let moves: Vec<Move> = plan(&input).moves;
    let taken = started.elapsed();
    assert!(
        taken < Duration::from_secs(1),
        "{taken:?} for {} moves",
        moves.len()
    );
}

#[tokio::test(start_paused = true)]
async fn demand_rises_within_seconds_and_falls_within_minutes() {
    let mut tracker = DemandTracker::default();
    let mut report = Demand {
        model: "m".parse().unwrap(),
        adapter: None,
        requests: 10,
        tokens: 500,
        late: 0,
        refused: 5,
    };
    let mut rate_after = async |seconds: u64, requests: u32| {
        report.requests = requests;
        for _ in 0..seconds {
            tracker.record(std::slice::from_ref(&report), Instant::now());
            tokio::time::advance(Duration::from_secs(1)).await;
        }
        tracker.rates(Instant::now())[0].clone()
    };
    let steady = rate_after(60, 10).await;
    assert!((8.0..=11.0).contains(&steady.requests_per_s), "{steady:?}");
    assert!(
        (800.0..=1_100.0).contains(&steady.tokens_per_s),
        "{steady:?}"
    );
    let tenfold = rate_after(40, 100).await;
    assert!(tenfold.requests_per_s > 70.0, "{tenfold:?}");
    let idle = rate_after(60, 0).await;
    assert!(idle.requests_per_s > 5.0, "{idle:?}");
    let forgotten = rate_after(1_800, 0).await;
    assert!(forgotten.requests_per_s < 0.5, "{forgotten:?}");
}

#[test]
fn every_model_gets_a_home_where_each_runner_has_room_for_just_one() {
    for models in [8, 16, 32] {
        let mut catalog = Catalog {
            data_centres: ["north", "south"].map(one_data_centre).to_vec(),
            ..Catalog::default()
        };
        for index in 0..models {
            catalog.runners.push(one_model_runner(index));
            catalog.models.push(Model {
                name: format!("model-{index:02}").parse().unwrap(),
                version: "1".to_owned(),
                memory_mib: MemoryMib(30_000),
            });
        }
        let homes = HomeMap::new(&catalog, &vec![true; models]);
        for data_centre in &catalog.data_centres {
            let at_home = catalog.models.iter().filter(|model| {
                let mut homes = homes.homes(&catalog, &model.name);
                homes.any(|home| *home == data_centre.name)
            });
            let runners = catalog.runners.iter();
            let here = runners.filter(|runner| runner.data_centre == data_centre.name);
            assert_eq!(
                at_home.count(),
                here.count(),
                "{models}: {}",
                data_centre.name
            );
        }
    }
}

fn one_data_centre(name: &str) -> DataCentre {
    DataCentre {
        name: name.parse().unwrap(),
        region: "plains".parse().unwrap(),
    }
}

fn one_model_runner(index: usize) -> Runner {
    Runner {
        name: format!("runner-{index:02}").parse().unwrap(),
        address: format!("127.0.0.1:{}", 9000 + index).parse().unwrap(),
        data_centre: ["north", "south"][index % 2].parse().unwrap(),
        accelerators: 1,
        memory_mib: MemoryMib(40_000),
        adapter_pool_mib: MemoryMib(2_000),
        fencing: Fencing::Honoured,
        order_lateness_max_ms: 0,
    }
}
