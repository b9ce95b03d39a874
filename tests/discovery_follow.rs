//! Following the platform's list of runners through changes and outages.

#[path = "common/registry_rig.rs"]
mod registry_rig;

use {
    bytes::Bytes,
    greengagetrail::{
        discovery::{ListedRunners, RunnerEntry, RunnerFollower},
        node::{FormatError, Formats, StoreKeys},
        relay::{AnswerHead, CallHead, ForwardHead, HeadError},
        standin::kv::{KvFaults, MemoryStore},
        store::{LeaseId, MonitoredStore, Op, Store, StoreVersion, Txn, WATCH_SILENCE_MAX},
        traffic::TrafficConfig,
    },
    hyper::{HeaderMap, http},
    registry_rig::*,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Reads entries of the form "BORN MODEL".
struct TextFormats;

impl Formats for TextFormats {
    fn keys(&self) -> StoreKeys {
        StoreKeys {
            config: "config".to_owned(),
            runners_prefix: "runners/".to_owned(),
            own_prefix: "own/".to_owned(),
        }
    }

    fn read_runner(&self, key: &str, bytes: &[u8]) -> Result<RunnerEntry, FormatError> {
        let wrong = || FormatError {
            what: "a runner",
            reason: "wrong".to_owned(),
        };
        let text = std::str::from_utf8(bytes).map_err(|_| wrong())?;
        let (born, model) = text.split_once(' ').ok_or_else(wrong)?;
        let name = key.strip_prefix("runners/").ok_or_else(wrong)?;
        let mut entry = runner(name, &[(model, &[])]);
        entry.key.born_unix_ms = born.parse().map_err(|_| wrong())?;
        Ok(entry)
    }

    fn read_config(&self, _: &[u8]) -> Result<TrafficConfig, FormatError> {
        unreachable!()
    }

    fn read_call(&self, _: &http::request::Parts) -> Result<CallHead, HeadError> {
        unreachable!()
    }

    fn write_forward(&self, _: &mut HeaderMap, _: &ForwardHead) {}

    fn read_answer(&self, _: &http::response::Parts) -> AnswerHead {
        unreachable!()
    }

    fn write_retry_after(&self, _: &mut HeaderMap, _: u64) {}
}

struct Follow {
    /// The platform's side of the store.
    store: MemoryStore,
    /// The node's side.
    link: MemoryStore,
    /// The node's store with its record of outages.
    monitored: Arc<MonitoredStore>,
    peer_list: watch::Sender<ListedRunners>,
    version: watch::Receiver<StoreVersion>,
    rig: Rig,
}

async fn follow(entries: &[(&str, &str)]) -> Follow {
    let store = MemoryStore::new();
    for (name, value) in entries {
        put(&store, name, value, None).await;
    }
    let follow = follow_on(store.clone(), store.link()).await;
    sleep(ms(50)).await;
    follow
}

async fn follow_on(store: MemoryStore, link: MemoryStore) -> Follow {
    let rig = rig(Vec::new());
    let monitored = Arc::new(MonitoredStore::new(Arc::new(link.clone())));
    let (peer_list, lists) = watch::channel(ListedRunners::default());
    let (health, formats) = (monitored.health(), Arc::new(TextFormats));
    let board = rig.registry.clone();
    let follower = RunnerFollower::new(monitored.clone(), health, formats, board, lists);
    let version = follower.version();
    tokio::spawn(follower.run());
    Follow {
        store,
        link,
        monitored,
        peer_list,
        version,
        rig,
    }
}

async fn put(store: &MemoryStore, name: &str, value: &str, lease: Option<LeaseId>) {
    let op = Op::Put {
        key: format!("runners/{name}"),
        value: Bytes::copy_from_slice(value.as_bytes()),
        lease,
    };
    run(store, op).await;
}

async fn remove(store: &MemoryStore, name: &str) {
    let key = format!("runners/{name}");
    run(store, Op::Delete { key }).await;
}

async fn run(store: &MemoryStore, op: Op) {
    let txn = Txn {
        then: vec![op],
        ..Txn::default()
    };
    assert!(store.txn(txn).await.unwrap().succeeded);
}

impl Follow {
    fn names(&self) -> String {
        let runners = self.rig.registry.runners();
        let names = runners.iter().map(|view| {
            let key = &view.entry.key;
            format!("{}{}", key.id, key.born_unix_ms)
        });
        names.collect::<Vec<_>>().join(" ")
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[tokio::test(start_paused = true)]
async fn changes_are_seen_well_within_the_time_to_drain() {
    let follow = follow(&[("a", "1 m1"), ("b", "1 m1")]).await;
    assert_eq!(follow.names(), "a1 b1");
    for round in 0..5 {
        put(&follow.store, "c", "1 m1", None).await;
        sleep(ms(100)).await;
        remove(&follow.store, "c").await;
        put(&follow.store, "d", &format!("{round} m1"), None).await;
        sleep(ms(1_000)).await;
        assert_eq!(follow.names(), format!("a1 b1 d{round}"));
    }
}

#[tokio::test(start_paused = true)]
async fn many_changes_cost_few_calls() {
    let follow = follow(&[("a", "1 m1")]).await;
    let before = follow.rig.registry.runners().len();
    assert_eq!(before, 1);
    let start = Instant::now();
    let mut receiver_changes = 0;
    let mut last = String::new();
    while start.elapsed() < ms(8_000) {
        put(
            &follow.store,
            "a",
            &format!("{} m1", start.elapsed().as_millis()),
            None,
        )
        .await;
        sleep(ms(20)).await;
        if follow.names() != last {
            last = follow.names();
            receiver_changes += 1;
        }
    }
    assert!((5..=12).contains(&receiver_changes), "{receiver_changes}");
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_cannot_be_read_names_no_runner() {
    let follow = follow(&[("a", "1 m1"), ("b", "broken"), ("c", "1 m1")]).await;
    assert_eq!(follow.names(), "a1 c1");
    put(&follow.store, "a", "\u{0}", None).await;
    sleep(ms(1_000)).await;
    assert_eq!(follow.names(), "c1");
}

#[tokio::test(start_paused = true)]
async fn an_outage_takes_no_runner_away() {
    let follow = follow(&[("a", "1 m1"), ("b", "1 m1")]).await;
    follow.link.set_faults(KvFaults::DOWN);
    sleep(ms(100)).await;
    remove(&follow.store, "a").await;
    remove(&follow.store, "b").await;
    sleep(ms(10_000)).await;
    assert_eq!(follow.names(), "a1 b1");
    follow.link.set_faults(KvFaults::default());
    sleep(ms(1_500)).await;
    assert_eq!(follow.names(), "a1 b1");
    // One of them registers itself again, the other does not.
    put(&follow.store, "b", "1 m1", None).await;
    sleep(ms(2_000)).await;
    assert_eq!(follow.names(), "b1");
}

/// Leases that the store ends at its return, told by a watch after the first read.
#[tokio::test(start_paused = true)]
async fn entries_that_lapse_at_the_return_of_the_store_stay_for_two_seconds() {
    let follow = follow(&[("a", "1 m1"), ("b", "1 m1")]).await;
    follow.link.set_faults(KvFaults::DOWN);
    sleep(ms(5_000)).await;
    follow.link.set_faults(KvFaults::default());
    sleep(ms(1_100)).await;
    remove(&follow.store, "a").await;
    remove(&follow.store, "b").await;
    sleep(ms(300)).await;
    assert_eq!(follow.names(), "a1 b1");
    put(&follow.store, "b", "1 m1", None).await;
    sleep(ms(2_000)).await;
    assert_eq!(follow.names(), "b1");
}

/// The watch waits through the outage, so that only a call beside it meets the outage.
#[tokio::test(start_paused = true)]
async fn an_outage_that_other_calls_met_keeps_what_a_waiting_watch_tells_as_gone() {
    let follow = follow(&[("a", "1 m1")]).await;
    sleep(ms(5_000)).await;
    follow.link.set_faults(KvFaults::SILENT);
    assert!(follow.monitored.range("own/", 1).await.is_err());
    remove(&follow.store, "a").await;
    follow.link.set_faults(KvFaults::default());
    sleep(ms(300)).await;
    assert_eq!(follow.names(), "a1");
    sleep(ms(2_000)).await;
    assert_eq!(follow.names(), "");
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_leaves_a_stable_store_is_out_within_the_time_to_drain() {
    let follow = follow(&[("a", "1 m1"), ("b", "1 m1")]).await;
    follow.link.set_faults(KvFaults::DOWN);
    sleep(ms(5_000)).await;
    follow.link.set_faults(KvFaults::default());
    // From then on the store counts as stable.
    sleep(ms(3_000)).await;
    let left_at = Instant::now();
    remove(&follow.store, "a").await;
    while follow.names() != "b1" {
        assert!(left_at.elapsed() < ms(1_900));
        sleep(ms(10)).await;
    }
}

/// The watch is cut again within the grace; the entry must not go any sooner.
#[tokio::test(start_paused = true)]
async fn a_second_read_within_the_grace_takes_nothing_away() {
    let follow = follow(&[("a", "1 m1")]).await;
    follow.link.set_faults(KvFaults::DOWN);
    sleep(ms(100)).await;
    remove(&follow.store, "a").await;
    sleep(ms(3_000)).await;
    follow.link.set_faults(KvFaults::default());
    sleep(ms(1_050)).await;
    follow.store.restore(follow.store.copy_state());
    sleep(ms(450)).await;
    assert_eq!(follow.names(), "a1");
    sleep(ms(2_000)).await;
    assert_eq!(follow.names(), "");
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_given_up() {
    let follow = follow(&[("a", "1 m1")]).await;
    follow.link.set_faults(KvFaults::WATCH_SILENT);
    put(&follow.store, "b", "1 m1", None).await;
    sleep(WATCH_SILENCE_MAX + ms(1_500)).await;
    assert_eq!(follow.names(), "a1 b1");
}

#[tokio::test(start_paused = true)]
async fn a_node_that_starts_in_an_outage_takes_the_list_of_a_peer() {
    let store = MemoryStore::new();
    let link = store.link();
    link.set_faults(KvFaults::DOWN);
    let follow = follow_on(store, link).await;
    sleep(ms(2_000)).await;
    assert_eq!(follow.names(), "");
    follow.peer_list.send_replace(listed(1, &["a", "b"]));
    sleep(ms(10)).await;
    assert_eq!(follow.names(), "a1 b1");
    // The store returns with one entry only; the other one has the grace of an outage.
    put(&follow.store, "c", "1 m1", None).await;
    put(&follow.store, "a", "1 m1", None).await;
    follow.link.set_faults(KvFaults::default());
    sleep(ms(1_500)).await;
    assert_eq!(follow.names(), "a1 b1 c1");
    sleep(ms(2_000)).await;
    assert_eq!(follow.names(), "a1 c1");
}

fn listed(store_version: i64, names: &[&str]) -> ListedRunners {
    let runners = names.iter().map(|name| runner(name, &[("m1", &[])]));
    ListedRunners {
        store_version,
        runners: runners.collect(),
    }
}

/// What a node itself saw go must not come back by the list of a peer that knows less.
#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_off_takes_newer_lists_only() {
    let follow = follow(&[("a", "1 m1"), ("b", "1 m1")]).await;
    remove(&follow.store, "a").await;
    sleep(ms(1_000)).await;
    assert_eq!(follow.names(), "b1");
    follow.link.set_faults(KvFaults::DOWN);
    let known = follow.version.borrow().0;
    follow.peer_list.send_replace(listed(known, &["a", "b"]));
    sleep(ms(2_000)).await;
    assert_eq!(follow.names(), "b1");
    follow.peer_list.send_replace(listed(known + 1, &["c"]));
    sleep(ms(1_500)).await;
    assert_eq!(follow.names(), "b1 c1");
    sleep(ms(1_000)).await;
    assert_eq!(follow.names(), "c1");
    assert_eq!(follow.version.borrow().0, known + 1);
}

/// The store accepts calls and answers none, and the watch waits.
#[tokio::test(start_paused = true)]
async fn a_newer_list_of_a_peer_counts_while_the_watch_is_silent() {
    let follow = follow(&[("a", "1 m1")]).await;
    let known = follow.version.borrow().0;
    follow.link.set_faults(KvFaults::SILENT);
    sleep(ms(2_000)).await;
    follow.peer_list.send_replace(listed(known + 1, &["b"]));
    sleep(ms(10)).await;
    assert_eq!(follow.names(), "a1 b1");
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_was_cut_without_an_outage_keeps_nothing_alive() {
    let follow = follow(&[("a", "1 m1"), ("b", "1 m1")]).await;
    let state = follow.store.copy_state();
    remove(&follow.store, "a").await;
    let after = follow.store.copy_state();
    drop(state);
    follow.store.restore(after);
    sleep(ms(1_200)).await;
    assert_eq!(follow.names(), "b1");
}

#[tokio::test(start_paused = true)]
async fn a_runner_that_restarts_under_its_name_is_another() {
    let follow = follow(&[("a", "1 m1")]).await;
    put(&follow.store, "a", "2 m1", None).await;
    sleep(ms(1_000)).await;
    assert_eq!(follow.names(), "a2");
}

#[tokio::test(start_paused = true)]
async fn more_entries_than_a_page_are_all_read() {
    let names: Vec<_> = (0..1_234).map(|number| format!("r{number:04}")).collect();
    let entries: Vec<_> = names.iter().map(|name| (name.as_str(), "1 m1")).collect();
    let follow = follow(&entries).await;
    assert_eq!(follow.rig.registry.runners().len(), 1_234);
}
