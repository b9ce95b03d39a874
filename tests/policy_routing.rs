//! The choice of a runner for a request, and the load estimate that the choice depends on.

mod common {
    pub mod policy;
}

use {
    common::policy::{model, runner, state},
    greengagetrail::{
        config::{Catalog, Object, Runner},
        engine::EngineLoad,
        routing::{LoadReport, LoadTracker, RouteRequest, RouteTable, choose_runner},
        units::{DataCentreName, Incarnation, ModelName, RunnerName},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

const REPORT_AGE_MAX: Duration = Duration::from_millis(2_000);

fn table() -> RouteTable {
    let runners = [("r0", "east"), ("r1", "east"), ("r2", "west")].map(|(n, dc)| runner(n, dc));
    let mut states = ["r0", "r1", "r2"].map(|name| state(name, &["m"]));
    states[2].models.extend(state("r2", &["n"]).models);
    states[1].adapters.push("a".parse().unwrap());
    RouteTable::new(
        &catalog_of(&runners, &["m", "n"]),
        &local_data_centre(),
        &states,
    )
}

/// Creates a catalog of runners and of models of 10 GiB.
fn catalog_of(runners: &[Runner], models: &[&str]) -> Catalog {
    let runners = runners.iter().cloned().map(Object::Runner);
    let models = models.iter().map(|name| Object::Model(model(name)));
    Catalog::from_objects(runners.chain(models))
}

fn local_data_centre() -> DataCentreName {
    "east".parse().unwrap()
}

struct Fixture {
    table: RouteTable,
    load_tracker: Arc<LoadTracker>,
    rng: StdRng,
}

impl Fixture {
    fn new() -> Self {
        Self {
            table: table(),
            load_tracker: Arc::new(LoadTracker::with_report_age_max(REPORT_AGE_MAX)),
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn pick(
        &mut self,
        prefixes: &[u64],
        adapter: Option<&str>,
        excluded: &[&str],
    ) -> Option<String> {
        let model: ModelName = "m".parse().unwrap();
        let adapter = adapter.map(|name| name.parse().unwrap());
        let excluded: Vec<RunnerName> = excluded.iter().map(|n| n.parse().unwrap()).collect();
        let request = RouteRequest {
            model: &model,
            adapter: adapter.as_ref(),
            prefix_hashes: prefixes,
            excluded: &excluded,
        };
        let now = Instant::now();
        let choice = choose_runner(
            &self.table,
            &self.load_tracker,
            &request,
            now,
            &mut self.rng,
        )?;
        Some(choice.runner.to_string())
    }

    fn report(&self, runner: &str, incarnation: u64, running: u32) {
        let load = EngineLoad {
            running,
            ..EngineLoad::default()
        };
        let incarnation = Incarnation(incarnation);
        let report = LoadReport { incarnation, load };
        self.load_tracker
            .record_report(&runner.parse().unwrap(), report, Instant::now());
    }

    fn requests(&self, runner: &str) -> u32 {
        let estimate = self
            .load_tracker
            .load_estimate(&runner.parse().unwrap(), Instant::now());
        estimate.requests
    }
}

#[test]
fn leaving_unreachable_loading_and_unknown_runners_are_not_candidates() {
    let runners = ["r0", "r1", "r2", "r3"].map(|name| runner(name, "east"));
    let mut states = ["r0", "r1", "r2", "r3", "r4"].map(|name| state(name, &["m"]));
    states[0].leaving = true;
    states[1].reachable = false;
    states[2].models[0].ready = false;
    let table = RouteTable::new(&catalog_of(&runners, &["m"]), &local_data_centre(), &states);
    let names: Vec<_> = table
        .candidates(&"m".parse().unwrap())
        .map(|runner| runner.name.to_string())
        .collect();
    assert_eq!(names, ["r3"]);
    assert_eq!(table.accelerators(&"m".parse().unwrap()), 1);
}

#[tokio::test(start_paused = true)]
async fn the_local_data_centre_is_preferred_until_it_is_overloaded() {
    let mut fixture = Fixture::new();
    for _ in 0..50 {
        assert_ne!(fixture.pick(&[], None, &[]).as_deref(), Some("r2"));
    }
    fixture.report("r0", 1, 500);
    fixture.report("r1", 1, 500);
    let picks: Vec<_> = (0..50)
        .filter_map(|_| fixture.pick(&[], None, &[]))
        .collect();
    assert!(picks.iter().any(|name| name == "r2"));
}

#[tokio::test(start_paused = true)]
async fn runners_with_the_adapter_are_preferred_and_excluded_ones_are_not_chosen() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.pick(&[7], Some("a"), &[]).as_deref(), Some("r1"));
    assert_ne!(
        fixture.pick(&[7], Some("a"), &["r1"]).as_deref(),
        Some("r1")
    );
    assert_eq!(
        fixture.pick(&[], None, &["r0", "r1"]).as_deref(),
        Some("r2")
    );
    assert_eq!(fixture.pick(&[], None, &["r0", "r1", "r2"]), None);
}

#[tokio::test(start_paused = true)]
async fn a_prefix_stays_on_its_runner_until_the_load_exceeds_the_bound() {
    let mut fixture = Fixture::new();
    let first = fixture.pick(&[42], None, &[]).unwrap();
    for _ in 0..20 {
        assert_eq!(fixture.pick(&[42], None, &[]), Some(first.clone()));
    }
    fixture.report(&first, 1, 20);
    assert_ne!(fixture.pick(&[42], None, &[]), Some(first));
}

#[tokio::test(start_paused = true)]
async fn old_reports_and_reports_of_earlier_incarnations_are_ignored() {
    let fixture = Fixture::new();
    fixture.report("r0", 2, 9);
    fixture.report("r0", 1, 1);
    assert_eq!(fixture.requests("r0"), 9);
    tokio::time::advance(REPORT_AGE_MAX + Duration::from_millis(1)).await;
    assert_eq!(fixture.requests("r0"), 0);
}

#[tokio::test(start_paused = true)]
async fn requests_since_the_report_correct_the_estimate() {
    let fixture = Fixture::new();
    let runner: RunnerName = "r0".parse().unwrap();
    let before = fixture.load_tracker.start_request(&runner);
    fixture.report("r0", 1, 5);
    let after = [
        fixture.load_tracker.start_request(&runner),
        fixture.load_tracker.start_request(&runner),
    ];
    assert_eq!(fixture.requests("r0"), 7);
    drop(before);
    assert_eq!(fixture.requests("r0"), 6);
    drop(after);
    assert_eq!(fixture.load_tracker.in_flight(&runner), 0);
}

#[tokio::test(start_paused = true)]
async fn a_failing_runner_is_avoided_then_probed_with_one_request() {
    let mut fixture = Fixture::new();
    let failing: RunnerName = "r0".parse().unwrap();
    fixture
        .load_tracker
        .record_failure(&failing, Instant::now());
    let is_avoided = |f: &mut Fixture| (0..50).all(|_| f.pick(&[], None, &[]).unwrap() != "r0");
    assert!(is_avoided(&mut fixture));
    tokio::time::advance(Duration::from_secs(10)).await;
    assert!(!is_avoided(&mut fixture));
    let probe = fixture.load_tracker.start_request(&failing);
    assert!(is_avoided(&mut fixture));
    let elsewhere = fixture.load_tracker.start_request(&"r1".parse().unwrap());
    fixture.load_tracker.record_success(&failing);
    assert!(!is_avoided(&mut fixture));
    drop((probe, elsewhere));
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_failed_still_serves_what_only_it_holds() {
    let mut fixture = Fixture::new();
    fixture
        .load_tracker
        .record_failure(&"r2".parse().unwrap(), Instant::now());
    let picked = fixture.pick(&[], None, &["r0", "r1"]);
    assert_eq!(picked.as_deref(), Some("r2"));
}

#[test]
fn in_flight_guards_of_many_threads_return_the_count_to_zero() {
    let load_tracker = Arc::new(LoadTracker::new());
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let load_tracker = &load_tracker;
            scope.spawn(move || {
                for round in 0..500 {
                    let name = format!("r{}", (thread + round) % 7);
                    drop(load_tracker.start_request(&name.parse().unwrap()));
                }
            });
        }
    });
    for index in 0..7 {
        assert_eq!(
            load_tracker.in_flight(&format!("r{index}").parse().unwrap()),
            0
        );
    }
}
