//! The last copy of a model is never unloaded, even when several owners unload at the same time.

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
        fleet_run::{Plan, run, seeds},
        parallel::run_all,
    },
    greengagetrail::history::{CopyChange, CopyEvent, CopyFault, check_copies},
};

/// The default number of seeds; `GGT_FLEET_SEEDS` overrides it.
const SEEDS: u64 = 1000;
/// The number of seeds of the run without the guard.
const SEEDS_WITHOUT: u64 = 200;

fn copies(seed: u64, without: Without) -> Vec<CopyEvent> {
    let plan = Plan {
        restarts: false,
        faults_ms: 40_000,
        rest_ms: 5_000,
        ..Plan::new(seed, without)
    };
    run(plan).histories.copies
}

#[test]
fn no_last_copy_is_unloaded() {
    let seeds = seeds(SEEDS);
    let seen = run_all(0..seeds, |seed| {
        let history = copies(seed, Without::Nothing);
        let unloaded = |event: &&CopyEvent| event.change == CopyChange::Unloaded;
        let unloads = history.iter().filter(unloaded).count() as u64;
        (check_copies(&history), unloads)
    });
    for (seed, (judged, _)) in seen.iter().enumerate() {
        assert_eq!(judged, &Ok(()), "seed {seed}");
    }
    let unloads: u64 = seen.iter().map(|(_, unloads)| unloads).sum();
    println!("{seeds} runs: {unloads} unloads, none of a last copy");
    assert!(unloads > seeds);
}

#[test]
fn the_last_copy_is_lost_without_the_guard() {
    let judged = run_all(0..SEEDS_WITHOUT, |seed| {
        check_copies(&copies(seed, Without::CopyGuard))
    });
    let lost = judged.iter().filter(|judged| judged.is_err()).count();
    println!("without the guard: {lost} of {SEEDS_WITHOUT} runs lost a last copy");
    assert!(lost > 0);
}

#[test]
fn the_checker_rejects_a_changed_history() {
    let event = |model: &str, engine: &str, change| CopyEvent {
        at_ms: 0,
        model: model.to_owned(),
        engine: engine.to_owned(),
        change,
    };
    let sound = vec![
        event("a", "r0", CopyChange::Ready),
        event("b", "r0", CopyChange::Ready),
        event("a", "r1", CopyChange::Ready),
        event("a", "r0", CopyChange::Unloaded),
    ];
    assert_eq!(check_copies(&sound), Ok(()));
    let mut changed = sound.clone();
    changed.remove(2);
    let fault = check_copies(&changed);
    assert!(matches!(fault, Err(CopyFault::LastCopyUnloaded { .. })));
    changed.remove(0);
    assert_eq!(check_copies(&changed), Err(CopyFault::Broken(1)));
}
