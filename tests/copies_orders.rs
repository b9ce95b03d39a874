//! The order task with fake runners that lose and delay orders.

mod common {
    pub mod bounds;
    pub mod engines;
    pub mod fake_fleet;
    pub mod parallel;
    pub mod paused;
}

use {
    bytes::Bytes,
    common::{
        bounds::bounds,
        engines::{engine, model_id},
        fake_fleet::{FakeFleet, FleetConnection, OrderFaults},
        parallel::run_all,
        paused::paused_runtime,
    },
    greengagetrail::{
        copies::OrderTask,
        dispatch::{ModelDemand, NodeReport, RunnerRegistry},
        leader::Term,
        node::{Bounds, Order, OrderReply},
        traffic::{
            ActiveConfig, CallerLimits, ConfigVersion, EngineSpec, ModelId, RouteTable,
            ServiceSpec, TrafficConfig,
        },
        workspaces::WorkspaceDirectory,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// The interval at which the runner list is published.
const LIST_INTERVAL: Duration = Duration::from_millis(1_200);

struct Fixture {
    fleet: Arc<FakeFleet>,
    registry: Arc<RunnerRegistry>,
    term: watch::Sender<Option<Term>>,
    bounds: watch::Sender<Bounds>,
    _tasks: JoinSet<()>,
}

fn config(engine: EngineSpec) -> TrafficConfig {
    TrafficConfig {
        version: ConfigVersion(1),
        routes: Vec::new(),
        services: vec![ServiceSpec {
            name: "writer".into(),
            connections_max: 200,
            engine: Some(engine),
        }],
        limits: CallerLimits {
            head_max_bytes: 16_384,
            body_max_bytes: 4_194_304,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        workspaces: WorkspaceDirectory::default(),
    }
}

/// Starts the task with a fleet whose runners hold the models in `held`, in a term that begins now.
fn start(engine: EngineSpec, held: &[&[usize]], seed: u64) -> Fixture {
    let active_config = Arc::new(ActiveConfig::default());
    active_config.activate_if_newer(RouteTable::new(config(engine.clone()), Bytes::new()));
    let registry = Arc::new(RunnerRegistry::new("z0".into(), active_config.clone()));
    let held = held
        .iter()
        .map(|models| models.iter().map(|index| model_id(*index)).collect())
        .collect();
    let fleet = FakeFleet::new(engine, registry.clone(), held, seed);
    let (term, receiver) = watch::channel(Some(Term {
        fencing_token: 7,
        orders_from: Instant::now(),
        waits_for_leader: true,
    }));
    let (bounds_sender, bounds_receiver) = watch::channel(bounds());
    let task = OrderTask {
        registry: registry.clone(),
        active_config,
        control: Arc::new(FleetConnection(fleet.clone())),
        term: receiver,
        fenced: watch::Sender::new(0),
        broadcaster: Arc::new(FleetConnection(fleet.clone())),
        node: "front-0".into(),
        counters: Arc::default(),
        bounds: bounds_receiver,
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(fleet.clone().run(LIST_INTERVAL));
    tasks.spawn(task.run());
    Fixture {
        fleet,
        registry,
        term,
        bounds: bounds_sender,
        _tasks: tasks,
    }
}

async fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

fn demand(model: ModelId, adapter: Option<&str>, requests_per_s: f64, waiting: u32) -> ModelDemand {
    ModelDemand {
        service: "writer".into(),
        model,
        adapter: adapter.map(Into::into),
        requests_per_s,
        waiting,
        room_priority: None,
    }
}

impl Fixture {
    /// Reports demand as another node would.
    fn report_demand(&self, demand: Vec<ModelDemand>) {
        let report = NodeReport {
            demand,
            ..NodeReport::default()
        };
        self.registry.apply_peer_report(&"front-9".into(), report);
    }

    fn assert_rules_kept(&self) {
        let observed = self.fleet.observed();
        assert_eq!(observed.violations, Vec::<String>::new());
        let starts = &observed.cold_starts;
        let bounds = *self.bounds.borrow();
        let window = Duration::from_secs_f64(bounds.ceiling_window_s);
        let max =
            (self.fleet.engine.store_loads_per_s * bounds.ceiling_window_s * 1.1 + 3.0) as usize;
        for end in starts {
            let inside = starts
                .iter()
                .filter(|at| *at <= end && *end - **at < window);
            assert!(inside.count() <= max);
        }
    }
}

fn small_engine() -> EngineSpec {
    engine(&[72_700.0, 65_100.0, 34_300.0, 72_700.0, 65_100.0, 34_300.0])
}

#[tokio::test(start_paused = true)]
async fn models_without_a_copy_are_loaded_and_nothing_else_is_ordered() {
    let fixture = start(small_engine(), &[&[0, 1], &[2, 3], &[]], 1);
    sleep_ms(10_000).await;
    for index in 0..6 {
        assert_eq!(fixture.fleet.count_held(&model_id(index)), 1);
    }
    assert_eq!(fixture.fleet.observed().orders.len(), 2);
    fixture.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn the_first_requests_move_no_copies() {
    let fixture = start(small_engine(), &[&[0, 1], &[0, 1], &[2, 3], &[4, 5]], 1);
    sleep_ms(3_000).await;
    fixture.report_demand(vec![demand(model_id(0), None, 20.0, 0)]);
    sleep_ms(600).await;
    let both = [0, 1].map(|index| demand(model_id(index), None, 20.0, 0));
    for _ in 0..20 {
        fixture.report_demand(both.to_vec());
        sleep_ms(200).await;
    }
    assert!(fixture.fleet.observed().orders.is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_adapter_with_waiting_requests_is_loaded_within_fifty_milliseconds() {
    let fixture = start(small_engine(), &[&[0, 1], &[2, 3], &[4, 5]], 1);
    sleep_ms(3_000).await;
    let asked_at = Instant::now();
    fixture.report_demand(vec![demand(model_id(1), Some("a3"), 1.0, 1)]);
    sleep_ms(200).await;
    let observed = fixture.fleet.observed();
    let (broadcast_at, change) = observed.changes.last().unwrap();
    assert!(change.held && change.adapter.as_ref().unwrap().as_str() == "a3");
    assert!(*broadcast_at - asked_at <= Duration::from_millis(50));
    let views = fixture.registry.runners();
    let held = |view: &greengagetrail::dispatch::RunnerView| {
        let models = view.entry.models.iter();
        models.flat_map(|held| &held.adapters).count()
    };
    assert_eq!(views.iter().map(held).sum::<usize>(), 1);
}

#[tokio::test(start_paused = true)]
async fn no_order_is_sent_before_the_term_allows_it_or_with_a_rejected_token() {
    let fixture = start(small_engine(), &[&[0, 1], &[2, 3], &[]], 1);
    fixture.term.send_replace(None);
    sleep_ms(5_000).await;
    assert!(fixture.fleet.observed().orders.is_empty());
    let from = Instant::now() + Duration::from_millis(3_200);
    let term = |fencing_token| Term {
        fencing_token,
        orders_from: from,
        waits_for_leader: true,
    };
    fixture.term.send_replace(Some(term(9)));
    sleep_ms(3_900).await;
    let first = fixture.fleet.observed().orders[0].0;
    assert!(first >= from);
    sleep_ms(2_000).await;
    // The runner has seen token 9 and rejects token 5; no order may follow, to any runner.
    let before = fixture.fleet.observed().orders.len();
    fixture.term.send_replace(Some(term(5)));
    sleep_ms(2_000).await;
    fixture.report_demand(vec![demand(model_id(4), Some("a1"), 1.0, 1)]);
    sleep_ms(1_000).await;
    fixture.fleet.restart(0);
    fixture.report_demand(vec![demand(model_id(3), Some("a1"), 1.0, 1)]);
    sleep_ms(10_000).await;
    let observed = fixture.fleet.observed();
    let later: Vec<OrderReply> = observed.orders[before..]
        .iter()
        .map(|observed| observed.3)
        .collect();
    assert_eq!(later, [OrderReply::Fenced]);
}

/// The wait is shorter than that for another leader, whose loads have left the window when it is over.
#[tokio::test(start_paused = true)]
async fn a_leader_that_waited_for_no_other_one_loads_nothing_before_the_window_is_over() {
    let fixture = start(small_engine(), &[&[0, 1], &[2, 3], &[]], 1);
    fixture.term.send_replace(None);
    sleep_ms(5_000).await;
    let began_at = Instant::now();
    fixture.term.send_replace(Some(Term {
        fencing_token: 9,
        orders_from: began_at + Duration::from_millis(1_500),
        waits_for_leader: false,
    }));
    for _ in 0..20 {
        fixture.report_demand(vec![demand(model_id(4), None, 1.0, 1)]);
        sleep_ms(500).await;
    }
    let observed = fixture.fleet.observed();
    let loads = observed.orders.iter();
    let mut loads = loads.filter(|(.., order, _)| matches!(order, Order::LoadModel(_)));
    let first = loads.next().unwrap().0;
    assert!(
        first - began_at >= Duration::from_secs(5),
        "{:?}",
        first - began_at
    );
}

// Guards against a runner that is ordered to load one adapter more than it has slots for, while a
// request that the leader does not know of keeps an unloaded one in its place.
#[tokio::test(start_paused = true)]
async fn an_unloaded_adapter_keeps_its_slot_until_its_requests_end() {
    let mut engine = small_engine();
    engine.adapter_slots = 2;
    let fixture = start(engine, &[&[0, 1]], 1);
    sleep_ms(3_000).await;
    let load = async |adapter: &str| {
        fixture.report_demand(vec![demand(model_id(1), Some(adapter), 1.0, 1)]);
        sleep_ms(1_000).await;
        fixture.report_demand(vec![demand(model_id(1), Some(adapter), 0.0, 0)]);
    };
    load("a1").await;
    load("a2").await;
    fixture.fleet.runners()[0].adapters_in_use = vec!["a1".into(), "a2".into()];
    for adapter in ["a3", "a4", "a3"] {
        load(adapter).await;
        sleep_ms(2_000).await;
    }
    fixture.assert_rules_kept();
    let adapters = || fixture.fleet.runners()[0].models[1].adapters.clone();
    assert_eq!(adapters(), ["a1".into(), "a2".into()]);
    // Each unload is ordered once; reports show when its place is free.
    {
        let observed = fixture.fleet.observed();
        let orders = observed.orders.iter().map(|(.., order, _)| order);
        let unloads = orders.filter(|order| matches!(order, Order::UnloadAdapter(..)));
        assert!(unloads.count() <= 2);
        assert!(observed.reports < 60, "{} reports", observed.reports);
    }
    fixture.fleet.runners()[0].adapters_in_use.clear();
    sleep_ms(2_500).await;
    load("a3").await;
    fixture.assert_rules_kept();
    assert!(adapters().contains(&"a3".into()), "{:?}", adapters());
}

#[tokio::test(start_paused = true)]
async fn an_unload_is_broadcast_before_it_is_ordered() {
    let sizes = [72_700.0, 72_700.0, 72_700.0, 72_700.0];
    let fixture = start(engine(&sizes), &[&[0, 1], &[0, 2], &[0, 3]], 1);
    sleep_ms(4_000).await;
    fixture.report_demand(vec![demand(model_id(1), None, 60.0, 30)]);
    sleep_ms(6_000).await;
    let observed = fixture.fleet.observed();
    let unloads = observed.orders.iter();
    let mut unloads = unloads.filter(|(.., order, _)| matches!(order, Order::UnloadModel(_)));
    let (ordered_at, ..) = unloads.next().expect("no model was unloaded");
    let (broadcast_at, _) = observed
        .changes
        .iter()
        .find(|(_, change)| !change.held)
        .unwrap();
    assert!(broadcast_at < ordered_at);
    drop(observed);
    assert!(fixture.fleet.count_held(&model_id(1)) >= 2);
    assert!(fixture.fleet.count_held(&model_id(0)) >= 1);
    fixture.assert_rules_kept();
}

#[tokio::test(start_paused = true)]
async fn the_models_of_a_draining_runner_are_loaded_elsewhere() {
    let fixture = start(small_engine(), &[&[0, 1], &[2, 3], &[4, 5], &[]], 1);
    sleep_ms(2_000).await;
    fixture.fleet.runners()[0].is_draining = true;
    sleep_ms(6_000).await;
    assert_eq!(fixture.fleet.count_held(&model_id(0)), 1);
    assert_eq!(fixture.fleet.count_held(&model_id(1)), 1);
}

#[test]
fn lost_and_late_orders_overfill_no_runner_and_all_models_are_loaded_again() {
    run_all(0..4, |seed| {
        paused_runtime().block_on(run_with_order_faults(seed))
    });
}

async fn run_with_order_faults(seed: u64) {
    let sizes = [72_700.0, 65_100.0, 34_300.0, 65_500.0];
    let sizes: Vec<f64> = (0..12).map(|index| sizes[index % 4]).collect();
    let held: [&[usize]; 7] = [&[0, 1], &[2, 3], &[4, 5], &[6, 7], &[8, 9], &[10, 11], &[]];
    let fixture = start(engine(&sizes), &held, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    fixture.fleet.set_faults(OrderFaults {
        lost_percent: 5,
        late_percent: 15,
        unanswered_percent: 15,
    });
    for _ in 0..30 {
        let mut rows = Vec::new();
        for _ in 0..6 {
            let model = model_id(rng.random_range(0..12));
            let adapter = format!("a{}", rng.random_range(1..10));
            let adapter = rng.random_bool(0.7).then_some(adapter);
            let waiting = rng.random_range(0..4);
            let rate = rng.random_range(0.0..25.0);
            rows.push(demand(model, adapter.as_deref(), rate, waiting));
        }
        rows.sort_by(|a, b| a.key().cmp(&b.key()));
        rows.dedup_by(|a, b| a.key() == b.key());
        fixture.report_demand(rows);
        if rng.random_bool(0.04) {
            fixture.fleet.restart(rng.random_range(0..7));
        }
        sleep_ms(rng.random_range(50..1_000)).await;
    }
    fixture.assert_rules_kept();
    fixture.fleet.set_faults(OrderFaults::default());
    fixture.report_demand(Vec::new());
    sleep_ms(40_000).await;
    fixture.assert_rules_kept();
    for index in 0..12 {
        let held = fixture.fleet.count_held(&model_id(index));
        assert!(held >= 1, "seed {seed}: no copy of {index}");
    }
}

// Guards against a few orders without an answer that hold all loads of adapters back.
#[tokio::test(start_paused = true)]
async fn adapters_are_loaded_soon_in_a_large_fleet_that_answers_orders_late() {
    const RUNNERS: usize = 100;
    const ADAPTERS_EACH: usize = 3;
    let held: Vec<Vec<usize>> = (0..RUNNERS).map(|index| vec![index]).collect();
    let held: Vec<&[usize]> = held.iter().map(Vec::as_slice).collect();
    let fixture = start(engine(&[34_300.0; RUNNERS]), &held, 1);
    sleep_ms(3_000).await;
    fixture.fleet.set_faults(OrderFaults {
        late_percent: 30,
        ..OrderFaults::default()
    });
    let all = (0..RUNNERS * ADAPTERS_EACH).map(|number| {
        let adapter = format!("a{}", 1 + number % ADAPTERS_EACH);
        demand(model_id(number / ADAPTERS_EACH), Some(&adapter), 1.0, 1)
    });
    let all: Vec<_> = all.collect();
    for _ in 0..6 {
        fixture.report_demand(all.clone());
        sleep_ms(500).await;
    }
    let views = fixture.registry.runners();
    let held = views.iter().flat_map(|view| &view.entry.models);
    let held: usize = held.map(|model| model.adapters.len()).sum();
    assert!(held * 10 >= all.len() * 9, "{held} of {}", all.len());
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_requests_reports_before_it_sends_orders() {
    let fixture = start(small_engine(), &[&[0, 1], &[2, 3], &[]], 1);
    sleep_ms(10_000).await;
    let reports = fixture.fleet.observed().reports;
    let term = Term {
        fencing_token: 8,
        orders_from: Instant::now(),
        waits_for_leader: true,
    };
    fixture.term.send_replace(Some(term));
    sleep_ms(2_000).await;
    assert_eq!(fixture.fleet.observed().reports, reports + 3);
    assert_eq!(fixture.fleet.observed().orders.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_longer_window_of_loads_counts_as_full_from_the_start() {
    for (window_s, is_longer) in [(2.5, false), (10.0, true)] {
        let began_at = Instant::now();
        let fixture = start(small_engine(), &[&[0, 1], &[2, 3], &[]], 1);
        sleep_ms(100).await;
        fixture
            .bounds
            .send_modify(|bounds| bounds.ceiling_window_s = window_s);
        sleep_ms(30_000).await;
        let first = fixture.fleet.observed().cold_starts[0];
        let wait = first - began_at;
        assert_eq!(wait >= Duration::from_secs(10), is_longer, "{wait:?}");
        fixture.assert_rules_kept();
    }
}
