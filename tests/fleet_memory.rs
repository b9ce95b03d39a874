//! Accelerator memory is never overcommitted, whatever fails.

mod common {
    pub mod faulty_store;
    pub mod fleet_faults;
    pub mod fleet_run;
    pub mod parallel;
    pub mod paused;
}

use {
    common::{
        fleet_faults::Without,
        fleet_run::{Outcome, RunParams, run, seeds},
        parallel::run_all,
    },
    greengagetrail::history::{MemoryChange, MemoryEvent, MemoryViolation, check_memory},
    std::sync::Mutex,
};

/// The default number of seeds; `GGT_FLEET_SEEDS` overrides it.
const DEFAULT_SEEDS: u64 = 1000;
/// The number of seeds in which a run without one mechanism must overcommit an engine.
const SEEDS_WITHOUT_MECHANISM: u64 = 4000;

/// Returns a seed whose run without one mechanism overcommits an engine, and the fault found.
fn find_fault(without: Without) -> Option<(u64, MemoryViolation)> {
    let found = Mutex::new(None);
    let judge = |seed| {
        if found.lock().unwrap().is_none() {
            let outcome = run(RunParams::new(seed, without));
            if let Err(fault) = check_memory(&outcome.histories.memory) {
                *found.lock().unwrap() = Some((seed, fault));
            }
        }
    };
    run_all(0..SEEDS_WITHOUT_MECHANISM, judge);
    found.into_inner().unwrap()
}

#[test]
fn no_engine_is_ever_overcommitted_and_no_order_stays_pending() {
    let seeds = seeds(DEFAULT_SEEDS);
    let outcomes: Vec<Outcome> =
        run_all(0..seeds, |seed| run(RunParams::new(seed, Without::Nothing)));
    let mut sums = [0; 5];
    for (seed, outcome) in outcomes.iter().enumerate() {
        let result = check_memory(&outcome.histories.memory);
        assert!(result.is_ok(), "seed {seed}: {result:?}");
        for record in outcome.records.iter() {
            assert!(
                record.orders.is_empty(),
                "seed {seed}: orders stay pending: {record:#?}"
            );
            assert!(record.former_owners.is_empty(), "seed {seed}: {record:#?}");
        }
        let histories = &outcome.histories;
        let changed = histories.role_changes;
        assert_eq!(
            changed, 0,
            "seed {seed}: a barrier changed an engine's role"
        );
        sums[0] += histories.model_loads;
        sums[1] += histories.adapter_loads;
        sums[2] += histories.fenced;
        sums[3] += outcome.unanswered_mib_ms;
        sums[4] += outcome.total_mib_ms;
    }
    let [models, adapters, fenced, unanswered, total] = sums;
    println!("{seeds} runs: {models} model loads, {adapters} adapter loads, {fenced} fenced");
    let permille = unanswered * 1000 / total;
    println!("memory reserved by unanswered orders: {permille} thousandths of MiB-seconds");
    assert!(models > seeds && adapters > seeds && fenced > 0);
}

#[test]
fn role_changes_between_orders_overcommit_no_engine() {
    let seeds = seeds(DEFAULT_SEEDS) / 10;
    let judge = |seed| {
        let outcome = run(RunParams {
            role_orders: true,
            ..RunParams::new(seed, Without::Nothing)
        });
        let result = check_memory(&outcome.histories.memory);
        assert!(result.is_ok(), "seed {seed}: {result:?}");
        for record in outcome.records.iter() {
            let is_finished = record.orders.is_empty() && record.former_owners.is_empty();
            assert!(is_finished, "seed {seed}: orders stay pending: {record:#?}");
        }
        [
            outcome.histories.role_changes,
            outcome.histories.model_loads,
        ]
    };
    let seen = run_all(0..seeds, judge);
    let [changes, loads] = [0, 1].map(|at| seen.iter().map(|sums| sums[at]).sum::<u64>());
    println!("{seeds} runs: {changes} role changes, {loads} model loads");
    assert!(changes > seeds && loads > seeds);
}

#[test]
fn unanswered_orders_reserve_little_memory_when_faults_are_rare() {
    let permille = |order_faults_percent| {
        let judge = |seed| {
            let outcome = run(RunParams {
                order_faults_percent,
                process_faults: false,
                ..RunParams::new(seed, Without::Nothing)
            });
            (outcome.unanswered_mib_ms, outcome.total_mib_ms)
        };
        let sums = run_all(0..50, judge);
        let unanswered: u64 = sums.iter().map(|(unanswered, _)| unanswered).sum();
        let total: u64 = sums.iter().map(|(_, total)| total).sum();
        unanswered * 1000 / total
    };
    let (rare, frequent) = (permille(1), permille(10));
    println!(
        "reserved by unanswered orders: {rare} thousandths with faults in 4 % of orders, \
         {frequent} with faults in 40 %"
    );
    assert!(rare < frequent);
}

macro_rules! overcommits_without {
    ($($name:ident: $without:ident,)*) => {$(
        #[test]
        fn $name() {
            let fault = find_fault(Without::$without);
            println!("{fault:?}");
            assert!(matches!(fault, Some((_, MemoryViolation::Overcommitted { .. }))));
        }
    )*};
}

overcommits_without! {
    overcommits_without_write_ahead: WriteAhead,
    overcommits_without_compare_and_swap: CompareAndSwap,
    overcommits_without_barrier: Barrier,
    overcommits_without_lateness: Lateness,
    overcommits_when_a_frozen_sender_counts_as_ended: VmListCheck,
    overcommits_without_adapter_window: AdapterWindow,
    overcommits_without_order_incarnation: OrderIncarnation,
}

#[test]
fn the_checker_rejects_a_changed_history() {
    let histories = (0..).map(|seed| run(RunParams::new(seed, Without::Nothing)).histories.memory);
    let is_free = |event: &MemoryEvent| matches!(event.change, MemoryChange::Released(_));
    let history = histories
        .into_iter()
        .find(|history| history.iter().any(is_free))
        .unwrap();
    assert!(check_memory(&history).is_ok());
    let mut larger = history.clone();
    for event in &mut larger {
        if let MemoryChange::Reserved(_, size) = &mut event.change {
            size.0 += 80;
        }
    }
    assert!(matches!(
        check_memory(&larger),
        Err(MemoryViolation::Overcommitted { .. })
    ));
    let first_free = history.iter().position(is_free).unwrap();
    let mut doubled = history.clone();
    doubled.insert(first_free, history[first_free].clone());
    assert_eq!(
        check_memory(&doubled),
        Err(MemoryViolation::InvalidEvent(first_free + 1))
    );
}
