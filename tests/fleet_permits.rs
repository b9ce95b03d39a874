//! Load permits enforce the weight store's limits over all VMs.

mod common {
    pub mod faulty_store;
    pub mod fleet_faults;
    pub mod fleet_run;
    pub mod parallel;
    pub mod paused;
    pub mod store_writes;
}

use {
    common::{
        fleet_faults::Without,
        fleet_run::{RunParams, run},
        parallel::run_all,
        store_writes::write,
    },
    greengagetrail::{
        config::Deployment,
        fleet::{LoadDenial, LoadLimiter, LoadPermit, RunnerRecord, free_slot_op, record_key},
        standin::kv::MemoryStore,
        store::{Store, Txn},
        units::{OrderId, RunnerName},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

fn limits(model_loads_per_s: f64, model_loads_at_once_max: u32) -> Deployment {
    Deployment {
        model_loads_per_s,
        model_loads_at_once_max,
        ..Deployment::default()
    }
}

fn runner() -> RunnerName {
    "r0".parse().unwrap()
}

async fn start_load(store: &MemoryStore, permit: LoadPermit) -> bool {
    let txn = Txn {
        compare: permit.extras.compare,
        then: permit.extras.ops,
        otherwise: Vec::new(),
    };
    store.txn(txn).await.unwrap().succeeded
}

#[tokio::test(start_paused = true)]
async fn concurrent_vms_respect_the_spacing_and_the_slots() {
    let store = MemoryStore::new();
    let limits = limits(2.5, 3);
    let start = Instant::now();
    let starts = Arc::new(std::sync::Mutex::new(Vec::new()));
    let run_vm = |index: u64| {
        let (store, limits, starts) = (store.link(), limits.clone(), Arc::clone(&starts));
        tokio::spawn(async move {
            let limiter = LoadLimiter::new(Arc::new(store.clone()));
            while start.elapsed() < Duration::from_secs(60) {
                let permit = limiter
                    .try_acquire(&limits, &runner(), OrderId::random(), index == 0)
                    .await;
                if let Ok(permit) = permit {
                    sleep(Duration::from_millis(index)).await;
                    let slot = permit.slot;
                    if start_load(&store, permit).await {
                        starts.lock().unwrap().push((start.elapsed(), index));
                        sleep(Duration::from_millis(900)).await;
                        let then = vec![free_slot_op(slot)];
                        let txn = Txn {
                            then,
                            ..Txn::default()
                        };
                        store.txn(txn).await.unwrap();
                    }
                }
                sleep(Duration::from_millis(50)).await;
            }
        })
    };
    let vms: Vec<_> = (0..7).map(run_vm).collect();
    for vm in vms {
        vm.await.unwrap();
    }
    let starts = starts.lock().unwrap();
    for pair in starts.windows(2) {
        assert!(
            pair[1].0 - pair[0].0 >= Duration::from_millis(400),
            "{pair:?}"
        );
    }
    for burst in starts.windows(4) {
        assert!(
            burst[3].0 - burst[0].0 >= Duration::from_millis(900),
            "{burst:?}"
        );
    }
    let urgent = starts.iter().filter(|(_, index)| *index == 0).count();
    println!(
        "{} loads in 60 s, {urgent} of them by the urgent VM",
        starts.len()
    );
    assert!(starts.len() > 60, "only {} loads started", starts.len());
    assert!((0..7).all(|index| urgent >= starts.iter().filter(|start| start.1 == index).count()));
}

#[tokio::test(start_paused = true)]
async fn a_slot_is_freed_once_its_order_is_removed() {
    let store = MemoryStore::new();
    let limiter = LoadLimiter::new(Arc::new(store.clone()));
    let limits = limits(1000.0, 1);
    let record = serde_json::to_string(&RunnerRecord::new(runner())).unwrap();
    write(&store, &record_key(&runner()), &record).await;
    let permit = limiter
        .try_acquire(&limits, &runner(), OrderId::random(), true)
        .await;
    assert!(start_load(&store, permit.unwrap()).await);
    sleep(Duration::from_secs(1)).await;
    let mut denials = 0;
    while let Err(denial) = limiter
        .try_acquire(&limits, &runner(), OrderId::random(), true)
        .await
    {
        assert!(
            matches!(denial, LoadDenial::NoFreeSlot | LoadDenial::TooSoon),
            "{denial:?}"
        );
        denials += 1;
        assert!(denials < 10, "the abandoned slot was not freed");
        sleep(Duration::from_secs(1)).await;
    }
    assert!(denials > 0);
}

#[test]
fn no_more_loads_than_slots_run_across_changes_of_owners() {
    let most = |seed| {
        let outcome = run(RunParams {
            loads_at_once_max: 1,
            recovery_ms: 30_000,
            ..RunParams::new(seed, Without::Nothing)
        });
        (outcome.histories.loading_max, outcome.histories.model_loads)
    };
    let seen = run_all(0..300, most);
    let loads: u64 = seen.iter().map(|(_, loads)| loads).sum();
    for (seed, (most, _)) in seen.iter().enumerate() {
        assert!(*most <= 1, "seed {seed}: {most} loads at once");
    }
    println!("300 runs: {loads} loads, never two at once");
}
