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
        fleet_run::{RunParams, run, seeds},
        parallel::run_all,
    },
    greengagetrail::history::{CopyChange, CopyEvent, CopyViolation, check_copies},
};

/// The default number of seeds; `GGT_FLEET_SEEDS` overrides it.
const DEFAULT_SEEDS: u64 = 1000;
/// The number of seeds of the runs without the copy condition.
const SEEDS_WITHOUT_MECHANISM: u64 = 200;

fn copies(seed: u64, without: Without) -> Vec<CopyEvent> {
    let params = RunParams {
        restarts: false,
        faults_ms: 40_000,
        recovery_ms: 5_000,
        ..RunParams::new(seed, without)
    };
    run(params).histories.copies
}

#[test]
fn no_last_copy_is_unloaded() {
    let seeds = seeds(DEFAULT_SEEDS);
    let seen = run_all(0..seeds, |seed| {
        let history = copies(seed, Without::Nothing);
        let unloaded = |event: &&CopyEvent| event.change == CopyChange::Unloaded;
        let unloads = history.iter().filter(unloaded).count() as u64;
        (check_copies(&history), unloads)
    });
    for (seed, (result, _)) in seen.iter().enumerate() {
        assert_eq!(result, &Ok(()), "seed {seed}");
    }
    let unloads: u64 = seen.iter().map(|(_, unloads)| unloads).sum();
    println!("{seeds} runs: {unloads} unloads, none of a last copy");
    assert!(unloads > seeds);
}

#[test]
fn the_last_copy_is_unloaded_without_the_copy_condition() {
    let result = run_all(0..SEEDS_WITHOUT_MECHANISM, |seed| {
        check_copies(&copies(seed, Without::CopyCondition))
    });
    let lost = result.iter().filter(|result| result.is_err()).count();
    println!(
        "without the condition: {lost} of {SEEDS_WITHOUT_MECHANISM} runs unloaded a last copy"
    );
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
    assert!(matches!(fault, Err(CopyViolation::LastCopyUnloaded { .. })));
    changed.remove(0);
    assert_eq!(check_copies(&changed), Err(CopyViolation::InvalidEvent(1)));
}
