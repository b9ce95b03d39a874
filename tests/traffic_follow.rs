//! The configuration follower activates published versions through faults of the store.

mod common {
    pub mod store_writes;
    pub mod traffic_configs;
    pub mod version_formats;
}

use {
    common::{
        store_writes::write,
        version_formats::{KEY, VersionFormats},
    },
    greengagetrail::{
        standin::kv::{KvFaults, MemoryStore},
        store::WATCH_SILENCE_MAX,
        traffic::{ActiveConfig, ConfigFollower, ConfigVersion},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The time within which a published version must be active.
const ACTIVATION_MAX: Duration = Duration::from_millis(2_000);

/// The time after which a call to the store stand-in without a response fails.
const UNANSWERED_CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn start_follower(store: &MemoryStore) -> Arc<ActiveConfig> {
    let active_config = Arc::new(ActiveConfig::default());
    let formats = Arc::new(VersionFormats);
    let follower = ConfigFollower::new(Arc::new(store.clone()), formats, active_config.clone());
    tokio::spawn(follower.run());
    active_config
}

async fn activates(active_config: &ActiveConfig, version: u64) -> bool {
    let deadline = Instant::now() + ACTIVATION_MAX;
    while Instant::now() < deadline {
        if active_config.version() == Some(ConfigVersion(version)) {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Returns a store with version 1, a link to it, and an active configuration that follows the link.
async fn store_with_follower() -> (MemoryStore, MemoryStore, Arc<ActiveConfig>) {
    let store = MemoryStore::new();
    write(&store, KEY, "1").await;
    let link = store.link();
    let active_config = start_follower(&link);
    assert!(activates(&active_config, 1).await);
    (store, link, active_config)
}

#[tokio::test(start_paused = true)]
async fn versions_are_activated_as_they_are_published() {
    let store = MemoryStore::new();
    let active_config = start_follower(&store.link());
    sleep(Duration::from_secs(3)).await;
    assert_eq!(active_config.version(), None);
    for version in [1, 7, 40] {
        write(&store, KEY, &version.to_string()).await;
        assert!(activates(&active_config, version).await, "{version}");
    }
}

#[tokio::test(start_paused = true)]
async fn older_undecodable_and_foreign_values_are_ignored() {
    let store = MemoryStore::new();
    write(&store, KEY, "10").await;
    let active_config = start_follower(&store.link());
    assert!(activates(&active_config, 10).await);
    for (key, text) in [
        (KEY, "9"),
        (KEY, "?"),
        ("configuration-of-others", "99"),
        ("configuration/x", "98"),
    ] {
        write(&store, key, text).await;
        sleep(ACTIVATION_MAX).await;
        assert_eq!(
            active_config.version(),
            Some(ConfigVersion(10)),
            "{key} {text}"
        );
    }
    write(&store, KEY, "11").await;
    assert!(activates(&active_config, 11).await);
}

/// Other keys with a common prefix must not hide the key.
#[tokio::test(start_paused = true)]
async fn the_key_is_found_among_keys_with_a_common_prefix() {
    let store = MemoryStore::new();
    write(&store, "configuration-of-others", "99").await;
    write(&store, KEY, "5").await;
    write(&store, "config", "98").await;
    let active_config = start_follower(&store.link());
    assert!(activates(&active_config, 5).await);
}

#[tokio::test(start_paused = true)]
async fn a_compacted_history_causes_a_new_read() {
    let (store, link, active_config) = store_with_follower().await;
    link.set_faults(KvFaults::DOWN);
    write(&store, KEY, "2").await;
    let mut state = store.copy_state();
    state.compact(state.version());
    store.restore(state);
    link.set_faults(KvFaults::default());
    assert!(activates(&active_config, 2).await);
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_replaced() {
    let (store, link, active_config) = store_with_follower().await;
    link.set_faults(KvFaults::WATCH_SILENT);
    write(&store, KEY, "2").await;
    sleep(WATCH_SILENCE_MAX).await;
    assert!(activates(&active_config, 2).await);
}

/// The time that a call waited in vain for a response counts towards the retry delay.
#[tokio::test(start_paused = true)]
async fn an_unanswered_call_counts_towards_the_retry_delay() {
    let (store, link, active_config) = store_with_follower().await;
    link.set_faults(KvFaults::DOWN);
    sleep(Duration::from_secs(10)).await;
    link.set_faults(KvFaults::SILENT);
    let before = store.counts();
    while store.counts() == before {
        sleep(Duration::from_millis(5)).await;
    }
    link.set_faults(KvFaults::default());
    write(&store, KEY, "2").await;
    sleep(UNANSWERED_CALL_TIMEOUT + Duration::from_millis(250)).await;
    assert_eq!(active_config.version(), Some(ConfigVersion(2)));
}

/// Under random faults the version never decreases, and the last one is active soon afterwards.
#[tokio::test(start_paused = true)]
async fn the_version_never_decreases_and_catches_up_after_faults() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let store = MemoryStore::new();
        let link = store.link();
        let active_config = start_follower(&link);
        let (mut version, mut seen) = (0, None);
        for _ in 0..40 {
            version += rng.random_range(1..5);
            write(&store, KEY, &version.to_string()).await;
            link.set_faults(KvFaults {
                down: rng.random_range(0..4) == 0,
                silent: rng.random_range(0..6) == 0,
                slow_ms: rng.random_range(0..300),
                ..KvFaults::default()
            });
            sleep(Duration::from_millis(rng.random_range(0..900))).await;
            let now = active_config.version();
            assert!(now >= seen, "seed {seed}: {seen:?} to {now:?}");
            seen = now;
        }
        link.set_faults(KvFaults::default());
        sleep(Duration::from_millis(2_500)).await;
        let last = Some(ConfigVersion(version));
        assert_eq!(active_config.version(), last, "seed {seed}");
    }
}
