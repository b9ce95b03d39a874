//! The order planner: memory limits, adapter slots, last copies, load rates, further copies and
//! convergence.

mod common {
    pub mod engines;
    pub mod parallel;
    pub mod plan_fleet;
}

use {
    common::{
        engines::{engine, model_id},
        parallel::run_all,
        plan_fleet::PlanFleet,
    },
    greengagetrail::{
        copies::{
            ColdLoadLimiter, CopyState, LeftOutCause, LoadBalance, ModelCopy, PlanInput,
            SharedLoad, plan_with_left_out,
        },
        discovery::RunnerKey,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
    tokio::time::Instant,
};

const SIZES_MB: [f64; 4] = [34_300.0, 65_100.0, 72_700.0, 65_500.0];

fn mixed_engine(models: usize) -> greengagetrail::traffic::EngineSpec {
    let sizes: Vec<f64> = (0..models).map(|index| SIZES_MB[index % 4]).collect();
    engine(&sizes)
}

/// Returns a fleet that has loaded each of its models.
fn full_fleet(models: usize, runners: usize, seed: u64) -> PlanFleet {
    let mut fleet = PlanFleet::new(mixed_engine(models), runners, seed, Instant::now());
    fleet.run_s(30);
    for index in 0..models {
        assert!(
            fleet.count_loaded(&model_id(index)) >= 1,
            "no copy of {index}"
        );
    }
    fleet
}

#[test]
fn each_model_gets_a_copy_and_then_nothing_moves() {
    let mut fleet = full_fleet(31, 18, 1);
    let moves = fleet.moves;
    assert_eq!(moves, 31);
    fleet.run_s(20);
    assert_eq!(fleet.moves, moves);
}

#[test]
fn busy_models_get_copies_in_proportion_and_then_nothing_moves() {
    let mut fleet = full_fleet(24, 18, 2);
    fleet.set_loads(&[
        (0, 70.0),
        (1, 40.0),
        (2, 30.0),
        (3, 28.0),
        (4, 24.0),
        (5, 20.0),
    ]);
    fleet.run_s(20);
    let copies: Vec<usize> = (0..6).map(|at| fleet.count_loaded(&model_id(at))).collect();
    assert!(copies[0] >= 4, "{copies:?}");
    assert!(copies.iter().all(|count| *count >= 2), "{copies:?}");
    let moves = fleet.moves;
    fleet.run_s(30);
    assert_eq!(fleet.moves, moves, "{copies:?}");
}

#[test]
fn a_shift_of_demand_evicts_models_that_became_idle() {
    let mut fleet = full_fleet(31, 18, 3);
    fleet.set_loads(&[(0, 60.0), (1, 40.0), (2, 40.0), (3, 30.0)]);
    fleet.run_s(20);
    fleet.set_loads(&[(4, 60.0), (5, 40.0), (6, 40.0), (7, 30.0)]);
    fleet.run_s(6);
    let copies: Vec<usize> = (4..8).map(|at| fleet.count_loaded(&model_id(at))).collect();
    assert!(copies[0] >= 3 && copies[1] >= 2, "{copies:?}");
}

#[test]
fn a_small_load_adds_no_copy() {
    let mut fleet = full_fleet(13, 9, 4);
    let moves = fleet.moves;
    fleet.set_loads(&[(0, 2.0), (1, 1.5), (2, 0.4)]);
    fleet.run_s(20);
    assert_eq!(fleet.moves, moves);
}

#[test]
fn an_idle_last_copy_is_evicted_for_a_busy_model_and_loaded_again_on_demand() {
    let mut fleet = PlanFleet::new(mixed_engine(16), 6, 8, Instant::now());
    fleet.caches_weights = true;
    fleet.run_s(20);
    fleet.set_loads(&[(0, 150.0)]);
    fleet.run_s(20);
    let copies = fleet.count_loaded(&model_id(0));
    assert!(copies >= 5, "{copies} copies");
    let evicted = (1..16).find(|index| fleet.count_loaded(&model_id(*index)) == 0);
    let evicted = evicted.expect("a model without a copy");
    fleet.set_loads(&[(0, 150.0), (evicted, 1.0)]);
    fleet.run_s(5);
    assert_eq!(fleet.count_loaded(&model_id(evicted)), 1);
}

/// Returns a fleet with slow loads from the weight store, whose runners hold the models in `held`.
fn slow_fleet(models: usize, held: &[&[usize]]) -> PlanFleet {
    let mut engine = engine(&vec![72_700.0; models]);
    for model in &mut engine.models {
        (model.load_from_store_s, model.load_from_disk_s) = (6.4, 1.3);
    }
    let mut fleet = PlanFleet::new(engine, held.len(), 1, Instant::now());
    for (runner, held) in fleet.runners.iter_mut().zip(held) {
        runner.models = held.iter().map(|index| loaded_model(*index, 0)).collect();
    }
    fleet.now += Duration::from_secs(10);
    fleet
}

fn loaded_model(index: usize, in_flight: u32) -> ModelCopy {
    ModelCopy {
        model: model_id(index),
        state: CopyState::Loaded,
        since: Instant::now(),
        in_flight,
        adapters: Vec::new(),
    }
}

#[test]
fn a_missing_model_is_loaded_where_its_weights_are_cached_though_another_runner_is_less_loaded() {
    let mut fleet = slow_fleet(3, &[&[0], &[1]]);
    fleet.runners[0].on_disk = vec![model_id(2)];
    fleet.set_loads(&[(0, 10.0), (1, 2.0), (2, 10.0)]);
    let orders = fleet.step();
    assert_eq!(orders[0].runner, fleet.runners[0].key, "{orders:?}");
}

#[test]
fn a_further_copy_is_loaded_where_its_weights_are_cached_though_another_runner_is_less_loaded() {
    let mut fleet = slow_fleet(3, &[&[0], &[1], &[2]]);
    fleet.runners[2].on_disk = vec![model_id(0)];
    fleet.set_loads(&[(0, 40.0), (1, 4.0), (2, 8.0)]);
    let orders = fleet.step();
    assert_eq!(orders[0].runner, fleet.runners[2].key, "{orders:?}");
}

#[test]
fn a_missing_model_evicts_the_copy_whose_requests_end_soonest() {
    let mut fleet = slow_fleet(4, &[&[0, 1], &[0, 2]]);
    fleet.runners[0].models[0].in_flight = 30;
    fleet.runners[1].models[0].in_flight = 1;
    for runner in &mut fleet.runners {
        runner.on_disk = vec![model_id(3)];
    }
    fleet.set_loads(&[(0, 31.0), (1, 1.0), (2, 4.0), (3, 10.0)]);
    let orders = fleet.step();
    assert_eq!(orders[0].runner, fleet.runners[1].key, "{orders:?}");
}

#[test]
fn when_not_all_models_fit_the_missing_one_is_not_a_busy_one() {
    let mut fleet = slow_fleet(5, &[&[0, 1], &[2, 3]]);
    fleet.set_loads(&[(0, 20.0), (1, 1.0), (2, 15.0), (3, 2.0), (4, 60.0)]);
    fleet.run_s(12);
    assert_eq!(fleet.count_loaded(&model_id(4)), 1);
    let moves = fleet.moves;
    assert!(
        [0, 2]
            .iter()
            .all(|index| fleet.count_loaded(&model_id(*index)) == 1)
    );
    fleet.run_s(20);
    assert_eq!(fleet.moves, moves, "copies are swapped repeatedly");
}

#[test]
fn a_missing_model_waits_for_a_runner_whose_load_ends_soon() {
    let mut fleet = slow_fleet(4, &[&[0, 1], &[0]]);
    fleet.runners[0].models[0].in_flight = 30;
    fleet.runners[1].on_disk = vec![model_id(2), model_id(3)];
    fleet.set_loads(&[(0, 30.0), (1, 1.0), (2, 10.0)]);
    let loading = ModelCopy {
        state: CopyState::Loading,
        since: fleet.now,
        ..loaded_model(2, 0)
    };
    fleet.runners[1].models = vec![loading];
    fleet.runners[1].accepts_orders = false;
    fleet.set_loads(&[(0, 30.0), (1, 1.0), (2, 10.0), (3, 5.0)]);
    assert_eq!(fleet.step(), []);
}

#[test]
fn a_small_load_beside_a_busy_model_adds_no_copy() {
    let mut fleet = full_fleet(16, 9, 1);
    fleet.set_loads(&[(15, 40.0)]);
    fleet.run_s(20);
    let mut runners = fleet.runners.iter();
    let busy = runners.find(|runner| runner.copy(&model_id(14)).is_some());
    assert!(busy.unwrap().copy(&model_id(10)).is_some());
    fleet.set_loads(&[(15, 40.0), (14, 60.0), (10, 2.0)]);
    fleet.run_s(10);
    assert!(fleet.count_loaded(&model_id(14)) >= 2);
    assert_eq!(fleet.count_loaded(&model_id(10)), 1);
}

#[test]
fn before_any_request_copies_of_the_busiest_model_are_evicted_first() {
    let mut fleet = full_fleet(13, 9, 10);
    fleet.set_loads(&[(0, 90.0), (1, 30.0)]);
    fleet.run_s(20);
    let held = |fleet: &PlanFleet, index| fleet.count_loaded(&model_id(index));
    let before = (held(&fleet, 0), held(&fleet, 1));
    assert!(before.0 > before.1 && before.1 > 1, "{before:?}");
    fleet.set_loads(&[]);
    let lost = (0..9).find(|at| fleet.runners[*at].copy(&model_id(1)).is_none());
    fleet.fail_runner(lost.expect("a runner without the second model"));
    fleet.run_s(10);
    assert_eq!(held(&fleet, 1), before.1, "{before:?}");
}

#[test]
fn the_models_of_a_lost_runner_are_loaded_again_the_busiest_first() {
    let mut fleet = full_fleet(31, 18, 5);
    let lost: Vec<_> = fleet.runners[0]
        .models
        .iter()
        .map(|c| c.model.clone())
        .collect();
    assert!(!lost.is_empty());
    let name = lost.last().unwrap().to_string();
    let index: usize = name[1..].parse().unwrap();
    fleet.set_loads(&[(index, 1.0)]);
    fleet.fail_runner(0);
    let orders = fleet.step();
    assert!(
        format!("{:?}", orders[0].order).contains(&name),
        "{orders:?}"
    );
    fleet.run_s(10);
    assert!(lost.iter().all(|model| fleet.count_loaded(model) >= 1));
}

#[test]
fn an_adapter_is_loaded_where_its_model_is_and_an_idle_one_is_evicted() {
    let mut fleet = full_fleet(6, 3, 6);
    fleet.set_loads(&[(0, 4.0)]);
    let all: Vec<_> = (0..10).map(|adapter| (adapter, 0.5, 0)).collect();
    fleet.set_adapters(0, &all[..8]);
    fleet.run_s(10);
    fleet.set_adapters(0, &[(9, 0.5, 1)]);
    fleet.run_s(2);
    let copies = fleet
        .runners
        .iter()
        .filter_map(|runner| runner.copy(&model_id(0)));
    let mut adapters = copies.flat_map(|copy| &copy.adapters);
    assert!(adapters.any(|copy| copy.adapter.as_str() == "a09"));
}

#[test]
fn what_is_asked_for_and_left_out_is_listed_with_its_cause() {
    let mut fleet = full_fleet(2, 1, 6);
    fleet.set_loads(&[(0, 4.0), (1, 4.0)]);
    fleet.set_adapters(0, &[(3, 0.5, 1), (4, 0.5, 0)]);
    fleet.set_adapters(1, &[(5, 0.5, 2)]);
    fleet.runners[0].models.remove(1);
    fleet.runners[0].accepts_orders = false;
    let input = |adapter_loads_available| PlanInput {
        engine: &fleet.engine,
        runners: &fleet.runners,
        loads: &fleet.loads,
        mean_request_time_s: 1.0,
        may_move_models: true,
        may_add_copies: true,
        cold_loads_available: 0,
        idle_loads_available: 0,
        adapter_loads_available,
        now: fleet.now,
    };
    let causes = |available| {
        let (_, left_out) = plan_with_left_out(&input(available));
        let rows = left_out.into_iter().map(|entry| {
            let adapter = entry.adapter.map(|adapter| adapter.to_string());
            (entry.model, adapter, entry.cause)
        });
        rows.collect::<Vec<_>>()
    };
    let no_loads = LeftOutCause::NoLoadsAvailable;
    let (a03, a05) = (Some("a03".to_owned()), Some("a05".to_owned()));
    assert_eq!(
        causes(16),
        [
            (model_id(0), a03.clone(), LeftOutCause::NoRunner),
            (model_id(1), None, no_loads),
            (model_id(1), a05.clone(), LeftOutCause::NoModelCopy),
        ]
    );
    assert_eq!(
        causes(0),
        [
            (model_id(0), a03, no_loads),
            (model_id(1), None, no_loads),
            (model_id(1), a05, no_loads),
        ]
    );
}

#[test]
fn no_plan_overfills_a_runner_or_unloads_a_last_copy_under_random_demand() {
    let without_disks = (0..60).map(|seed| (seed, false));
    let with_disks = (0..20).map(|seed| (seed, true));
    run_all(without_disks.chain(with_disks), |(seed, caches_weights)| {
        run_random_demand(seed, caches_weights);
    });
}

/// Changes the demand at random; the fleet checks its rules in each step.
fn run_random_demand(seed: u64, caches_weights: bool) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let models = rng.random_range(8..34);
    let runners = rng.random_range(models / 2 + 1..models + 2);
    let engine = mixed_engine(models);
    let mut fleet = PlanFleet::new(engine, runners, seed, Instant::now());
    fleet.caches_weights = caches_weights;
    for _ in 0..40 {
        let mut loads: Vec<(usize, f64)> = Vec::new();
        for index in 0..models {
            if rng.random_bool(0.3) {
                loads.push((index, rng.random_range(0.1..60.0)));
            }
        }
        fleet.set_loads(&loads);
        for (index, _) in &loads {
            let mut adapters: Vec<(usize, f64, u32)> = Vec::new();
            for adapter in 0..10 {
                if rng.random_bool(0.3) {
                    let waiting = rng.random_range(0..3);
                    adapters.push((adapter, rng.random_range(0.0..9.0), waiting));
                }
            }
            fleet.set_adapters(*index, &adapters);
        }
        for runner in &mut fleet.runners {
            runner.in_flight = rng.random_range(0..40);
        }
        if rng.random_bool(0.05) {
            let lost = rng.random_range(0..runners);
            fleet.fail_runner(lost);
        }
        fleet.run_s(1);
    }
}

#[test]
fn load_is_spread_so_that_the_runners_of_a_model_end_at_the_same_load() {
    let loads = [
        SharedLoad {
            in_flight: 12.0,
            runners: vec![0, 1],
        },
        SharedLoad {
            in_flight: 6.0,
            runners: vec![1, 2],
        },
        SharedLoad {
            in_flight: 1.0,
            runners: Vec::new(),
        },
    ];
    let balance = LoadBalance::new(3, &loads);
    for load in &balance.runner_loads {
        assert!((load - 6.0).abs() < 0.3, "{balance:?}");
    }
    assert!(balance.model_levels[2].is_infinite());
}

/// Starts all loads that a limiter allows for `time_ms`; returns when they started.
fn start_all(
    limiter: &mut ColdLoadLimiter,
    rng: &mut SmallRng,
    from: Instant,
    time_ms: u64,
) -> Vec<Instant> {
    let engine = mixed_engine(31);
    let mut now = from;
    let mut starts: Vec<Instant> = Vec::new();
    while now < from + Duration::from_millis(time_ms) {
        now += Duration::from_millis(rng.random_range(1..60));
        for _ in 0..limiter.available(&engine, rng.random_range(0..3), now) {
            limiter.record_start(now);
            starts.push(now);
        }
    }
    starts
}

fn max_in_window(starts: &[Instant], window: Duration) -> usize {
    let count = |end: &Instant| {
        let inside = starts
            .iter()
            .filter(|at| *at <= end && *end - **at < window);
        inside.count()
    };
    starts.iter().map(count).max().unwrap_or(0)
}

#[tokio::test(start_paused = true)]
async fn no_window_has_more_loads_than_the_store_allows_when_the_leader_changes() {
    let window = Duration::from_secs(5);
    let hard_max = (2.5_f64 * 5.0 * 1.1 + 3.0) as usize;
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut first = ColdLoadLimiter::new(window);
        let duration_ms = rng.random_range(5_000..20_000);
        let mut starts = start_all(&mut first, &mut rng, Instant::now(), duration_ms);
        assert!(starts.len() >= 12 && max_in_window(&starts, window) <= 12);
        // The next leader does not know of these starts.
        let mut second = ColdLoadLimiter::new(window);
        let last = *starts.last().unwrap();
        let from = last + Duration::from_millis(rng.random_range(0..2_000));
        second.begin_term(&mixed_engine(31), true, from);
        starts.extend(start_all(&mut second, &mut rng, from, 10_000));
        let most = max_in_window(&starts, window);
        assert!(most <= hard_max, "seed {seed}: {most}");
    }
}

#[tokio::test(start_paused = true)]
async fn no_window_has_more_loads_than_the_store_allows_when_leaders_change_repeatedly() {
    let window = Duration::from_secs(5);
    let hard_max = (2.5_f64 * 5.0 * 1.1 + 3.0) as usize;
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut first = ColdLoadLimiter::new(window);
        let mut starts = start_all(&mut first, &mut rng, Instant::now(), 8_000);
        let mut end = Instant::now() + Duration::from_millis(8_000);
        for _ in 0..6 {
            // A leader on another VM waits for its predecessor, one restarted on the same VM does not.
            let waited = rng.random_bool(0.4);
            let wait_ms = if waited { 3_200 } else { 0 } + rng.random_range(0..600);
            let from = end + Duration::from_millis(wait_ms);
            let mut next = ColdLoadLimiter::new(window);
            next.begin_term(&mixed_engine(31), waited, from);
            let duration_ms = rng.random_range(200..6_500);
            end = from + Duration::from_millis(duration_ms);
            starts.extend(start_all(&mut next, &mut rng, from, duration_ms));
        }
        let most = max_in_window(&starts, window);
        assert!(most <= hard_max, "seed {seed}: {most}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_load_counts_until_it_can_no_longer_start() {
    let (window, mut engine, now) = (Duration::from_secs(5), mixed_engine(31), Instant::now());
    engine.models[0].load_from_store_s = 8.0;
    let runner = |id: u64| RunnerKey {
        id: id.to_string().as_str().into(),
        born_unix_ms: 1,
    };
    let mut limiter = ColdLoadLimiter::new(window);
    for id in 0..4 {
        limiter.record_start(now);
        limiter.record_unanswered(&runner(id), now);
        limiter.record_unanswered(&runner(id), now);
    }
    assert_eq!(limiter.available(&engine, 0, now + window), 8);
    limiter.clear_unanswered(&runner(2));
    assert_eq!(
        limiter.available(&engine, 0, now + Duration::from_secs(16)),
        9
    );
    assert_eq!(
        limiter.available(&engine, 0, now + Duration::from_secs(17)),
        12
    );
}
