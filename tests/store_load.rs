//! Tests the rate of calls of a whole fleet to the key-value service: in normal operation, after an
//! outage, and when a data centre returns at once.

#[path = "common/store_writes.rs"]
mod store_writes;

use {
    greengagetrail::{
        fleet::RunnerRecord,
        keeper::{LiveEvent, follow_live_keys},
        membership::{Heartbeat, Member},
        standin::kv::{KvFaults, MemoryStore},
        store::{SharedStore, keys::runner_key},
        units::Incarnation,
    },
    std::{sync::Arc, time::Duration},
    store_writes::write,
    tokio::{
        sync::{mpsc, watch},
        task::JoinHandle,
        time::sleep,
    },
};

/// The rates that the key-value service sustains, as stated by the users.
const WRITES_MAX_PER_S: u64 = 300;
const READS_MAX_PER_S: u64 = 2000;
const LEASE_TTL_S: u64 = 15;
const SECOND: Duration = Duration::from_secs(1);

/// The largest numbers of calls in one second.
#[derive(Debug, Default, Clone, Copy)]
struct Peak {
    writes: u64,
    reads: u64,
}

struct Fleet {
    store: MemoryStore,
    vms: Vec<Vec<JoinHandle<()>>>,
    stop: watch::Sender<bool>,
}

impl Fleet {
    async fn start(nodes: usize, runners: usize) -> Self {
        let store = MemoryStore::new();
        for index in 0..runners {
            let record = RunnerRecord::new(format!("runner-{index}").parse().unwrap());
            let text = serde_json::to_string(&record).unwrap();
            write(&store, &runner_key(&record.name), &text).await;
        }
        let mut fleet = Self {
            store,
            vms: Vec::new(),
            stop: watch::channel(false).0,
        };
        for index in 0..nodes {
            fleet.start_vm(index);
        }
        fleet
    }

    fn start_vm(&mut self, index: usize) {
        let shared: SharedStore = Arc::new(self.store.clone());
        let heartbeat = Heartbeat::new(shared.clone(), member(index), LEASE_TTL_S);
        let heartbeat_task = tokio::spawn(heartbeat.run(self.stop.subscribe()));
        let (sender, mut events) = mpsc::channel::<LiveEvent>(64);
        let watch_task = tokio::spawn(follow_live_keys(shared, sender));
        let drain_task = tokio::spawn(async move { while events.recv().await.is_some() {} });
        self.vms.push(vec![heartbeat_task, watch_task, drain_task]);
    }

    fn kill_vms(&mut self, count: usize) {
        for tasks in self.vms.drain(..count) {
            tasks.iter().for_each(JoinHandle::abort);
        }
    }

    async fn measure_peak(&self, seconds: u32) -> Peak {
        let mut peak = Peak::default();
        for _ in 0..seconds {
            let before = self.store.counts();
            sleep(SECOND).await;
            let after = self.store.counts();
            let writes = |counts: &greengagetrail::standin::kv::CallCounts| {
                counts.txn + counts.grant_lease + counts.renew_lease + counts.revoke_lease
            };
            peak.writes = peak.writes.max(writes(&after) - writes(&before));
            let reads = after.range + after.watch - before.range - before.watch;
            peak.reads = peak.reads.max(reads);
        }
        peak
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_vms(self.vms.len());
    }
}

fn member(index: usize) -> Member {
    Member {
        vm: format!("vm-{index}").parse().unwrap(),
        data_centre: format!("dc-{}", index % 11).parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        entry_address: "127.0.0.1:2".parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

fn assert_within(peak: Peak, when: &str) {
    assert!(peak.writes <= WRITES_MAX_PER_S, "{when}: {peak:?}");
    assert!(peak.reads <= READS_MAX_PER_S, "{when}: {peak:?}");
}

#[tokio::test(start_paused = true)]
async fn the_call_rates_of_a_fleet_stay_within_those_of_the_service() {
    println!(
        "| nodes | normal writes | reads | after an outage writes | reads | data centre returned writes | reads |"
    );
    for nodes in [44, 88, 175, 350] {
        let mut fleet = Fleet::start(nodes, 630 * nodes / 350).await;
        sleep(60 * SECOND).await;
        let normal = fleet.measure_peak(60).await;
        fleet.store.set_faults(KvFaults::DOWN);
        sleep(120 * SECOND).await;
        fleet.store.set_faults(KvFaults::default());
        let outage = fleet.measure_peak(60).await;
        let lost = nodes / 11;
        fleet.kill_vms(lost);
        sleep(60 * SECOND).await;
        (0..lost).for_each(|index| fleet.start_vm(index));
        let returned = fleet.measure_peak(60).await;
        println!(
            "| {nodes} | {} | {} | {} | {} | {} | {} |",
            normal.writes,
            normal.reads,
            outage.writes,
            outage.reads,
            returned.writes,
            returned.reads
        );
        assert_within(normal, "normal operation");
        assert_within(outage, "after an outage");
        assert_within(returned, "after a data centre returned");
    }
}
