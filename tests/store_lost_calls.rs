//! Watches go on in time after the store lost the calls that waited at it.

mod common {
    pub mod lossy_store;
    pub mod store_writes;
    pub mod traffic_configs;
    pub mod version_formats;
}

use {
    common::{
        lossy_store::LossyStore,
        store_writes::write,
        version_formats::{KEY, VersionFormats},
    },
    futures::StreamExt,
    greengagetrail::{
        standin::kv::{KvFaults, MemoryStore},
        store::{MonitoredStore, Store, WatchLimits},
        traffic::{ActiveConfig, ConfigFollower, ConfigVersion},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

/// How long the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);
/// How long after an outage a node must be up to date again.
const CONTACT_MS: u64 = 3_000;
/// The time within which a change must be noticed.
const NOTICE_MS: u64 = 2_000;

/// A node's store client; its lease renewals show outages.
struct Client {
    store: MemoryStore,
    link: MemoryStore,
    monitored: Arc<MonitoredStore>,
    watch_calls: Arc<AtomicU32>,
}

async fn start_client(limits: WatchLimits) -> Client {
    let store = MemoryStore::new();
    write(&store, KEY, "1").await;
    let link = store.link();
    let lossy = LossyStore::new(link.clone(), limits);
    let watch_calls = lossy.watch_calls.clone();
    let monitored = Arc::new(MonitoredStore::new(Arc::new(lossy)));
    Client {
        store,
        link,
        monitored,
        watch_calls,
    }
}

impl Client {
    /// Renews a lease about once a second, as nodes do.
    async fn start_renewals(&self) {
        let lease = self.monitored.grant_lease(60).await.unwrap();
        let monitored = self.monitored.clone();
        tokio::spawn(async move {
            loop {
                let _ = monitored.renew_lease(lease.id).await;
                sleep(Duration::from_millis(1_000)).await;
            }
        });
    }

    fn start_follower(&self) -> Arc<ActiveConfig> {
        let active_config = Arc::new(ActiveConfig::default());
        let formats = Arc::new(VersionFormats);
        let follower = ConfigFollower::new(self.monitored.clone(), formats, active_config.clone());
        tokio::spawn(follower.run());
        active_config
    }

    async fn silence(&self, length: Duration) {
        self.link.set_faults(KvFaults::SILENT);
        sleep(length).await;
        self.link.set_faults(KvFaults::NONE);
    }

    /// Ends the watch calls that are open by a write, so that the next ones begin now.
    async fn end_calls(&self, version: u64) {
        write(&self.store, KEY, &version.to_string()).await;
    }

    /// Publishes a version, and panics if it is not active in time.
    async fn check_activation(&self, active_config: &ActiveConfig, version: u64, context: &str) {
        write(&self.store, KEY, &version.to_string()).await;
        let deadline = Instant::now() + Duration::from_millis(NOTICE_MS);
        while active_config.version() != Some(ConfigVersion(version)) {
            assert!(
                Instant::now() < deadline,
                "version {version} is late: {context}"
            );
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// The limits of a service whose calls may wait for a whole history.
fn long_limits() -> WatchLimits {
    WatchLimits::for_history(HISTORY)
}

/// The store was silent for some seconds and lost the waiting calls; watches must not wait for them.
#[tokio::test(start_paused = true)]
async fn a_watch_call_that_was_lost_in_an_outage_is_replaced() {
    for silence_ms in [1_600, 2_500, 4_500, 8_000] {
        let client = start_client(long_limits()).await;
        client.start_renewals().await;
        let active_config = client.start_follower();
        sleep(Duration::from_secs(3)).await;
        tokio::join!(
            client.silence(Duration::from_millis(silence_ms)),
            client.end_calls(2)
        );
        sleep(Duration::from_millis(CONTACT_MS)).await;
        let context = format!("silent for {silence_ms} ms");
        client.check_activation(&active_config, 3, &context).await;
    }
}

/// A silence in which no other call failed must not leave a watch behind for longer.
#[tokio::test(start_paused = true)]
async fn a_lost_watch_call_that_no_other_call_shows_ends_in_time() {
    let noticed_within = Duration::from_millis(CONTACT_MS + NOTICE_MS);
    let client = start_client(WatchLimits::noticing_within(HISTORY, noticed_within)).await;
    let active_config = client.start_follower();
    for round in 0..20 {
        sleep(Duration::from_millis(700)).await;
        tokio::join!(
            client.silence(Duration::from_millis(300)),
            client.end_calls(10 * round + 2)
        );
        sleep(Duration::from_millis(CONTACT_MS)).await;
        let version = 10 * round + 3;
        let context = format!("round {round}");
        client
            .check_activation(&active_config, version, &context)
            .await;
    }
}

/// Outages in series, the next one while the node catches up with the one before.
#[tokio::test(start_paused = true)]
async fn watches_go_on_after_outages_in_series() {
    let noticed_within = Duration::from_millis(CONTACT_MS + NOTICE_MS);
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let client = start_client(WatchLimits::noticing_within(HISTORY, noticed_within)).await;
        client.start_renewals().await;
        let active_config = client.start_follower();
        let mut version = 2;
        for round in 0..4 {
            sleep(Duration::from_millis(rng.random_range(0..6_000))).await;
            for _ in 0..rng.random_range(1..4) {
                version += 2;
                let silence = Duration::from_millis(rng.random_range(100..8_000));
                tokio::join!(client.silence(silence), client.end_calls(version));
                sleep(Duration::from_millis(rng.random_range(0..800))).await;
            }
            sleep(Duration::from_millis(CONTACT_MS)).await;
            version += 2;
            let context = format!("seed {seed}, round {round}");
            client
                .check_activation(&active_config, version, &context)
                .await;
        }
    }
}

/// A slow store fails some calls, and its watches must get their responses all the same.
#[tokio::test(start_paused = true)]
async fn frequent_short_outages_reopen_a_watch_only_now_and_then() {
    let client = start_client(long_limits()).await;
    let monitored = client.monitored.clone();
    let since = monitored.range(KEY, 1).await.unwrap().version;
    let watched = tokio::spawn(async move {
        let mut watch = monitored.watch(KEY, since);
        while let Some(Ok(_)) = watch.next().await {}
    });
    let started = Instant::now();
    let lease = client.monitored.grant_lease(60).await.unwrap();
    for round in 0..100 {
        client.link.set_faults(KvFaults::DOWN);
        assert!(client.monitored.renew_lease(lease.id).await.is_err());
        client.link.set_faults(KvFaults::NONE);
        assert!(client.monitored.renew_lease(lease.id).await.is_ok());
        sleep_until(started + Duration::from_millis(100 * (round + 1))).await;
    }
    // Ten seconds, and at least two between two openings.
    let calls = client.watch_calls.load(Ordering::SeqCst);
    assert!((2..=6).contains(&calls), "{calls} watch calls");
    watched.abort();
}
