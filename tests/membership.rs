//! Leases of VMs, the list of live members, and the feed of live keys, with faults of the key-value
//! service.

use {
    greengagetrail::{
        keeper::{LiveEvent, feed_live_keys},
        membership::{Heartbeat, Member, REMOVAL_GRACE, Roster},
        standin::kv::{KvFaults, MemoryStore},
        store::{SharedStore, Store, keys::MEMBERS_PREFIX},
        units::Incarnation,
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{Instant, advance, sleep, timeout},
    },
};

const TTL_S: u64 = 9;

fn member(vm: &str, incarnation: u64) -> Member {
    Member {
        vm: vm.parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        entry_address: "127.0.0.1:2".parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn down(down: bool) -> KvFaults {
    KvFaults {
        down,
        ..KvFaults::default()
    }
}

async fn listed(store: &MemoryStore) -> usize {
    store.range(MEMBERS_PREFIX, 0).await.unwrap().entries.len()
}

#[tokio::test(start_paused = true)]
async fn a_member_counts_as_live_until_its_grace_is_over() {
    let mut roster = Roster::default();
    assert!(roster.join(member("vm-1", 1)));
    assert!(!roster.join(member("vm-1", 1)));
    roster.leave(&"vm-1".parse().unwrap(), Instant::now());
    assert!(!roster.expire(Instant::now()));
    assert_eq!(roster.members().len(), 1);
    advance(REMOVAL_GRACE).await;
    assert!(roster.expire(Instant::now()));
    assert!(roster.members().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_member_that_comes_back_within_its_grace_moves_nothing() {
    let mut roster = Roster::default();
    roster.join(member("vm-1", 1));
    roster.join(member("vm-2", 1));
    assert!(!roster.replace(vec![member("vm-2", 1)], Instant::now()));
    advance(REMOVAL_GRACE / 2).await;
    assert!(!roster.join(member("vm-1", 1)));
    advance(REMOVAL_GRACE).await;
    assert!(!roster.expire(Instant::now()));
    assert_eq!(roster.members().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_member_that_leaves_on_purpose_goes_at_once_and_an_earlier_start_never_returns() {
    let mut roster = Roster::default();
    roster.join(member("vm-1", 5));
    assert!(!roster.join(member("vm-1", 4)));
    assert_eq!(roster.members()[0].incarnation, Incarnation(5));
    assert!(roster.depart(&"vm-1".parse().unwrap()));
    assert!(roster.members().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_outlasts_an_outage_and_a_lapse() {
    let store = MemoryStore::new();
    let shared: SharedStore = Arc::new(store.clone());
    let (stop, stopped) = watch::channel(false);
    let beat = Heartbeat::new(shared, member("vm-1", 1), TTL_S);
    let running = tokio::spawn(beat.run(stopped));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(listed(&store).await, 1);
    store.set_faults(down(true));
    sleep(Duration::from_secs(60)).await;
    store.set_faults(down(false));
    sleep(Duration::from_secs(10)).await;
    assert_eq!(listed(&store).await, 1);
    stop.send_replace(true);
    running.await.unwrap();
    assert_eq!(listed(&store).await, 0);
}

async fn next(events: &mut mpsc::Receiver<LiveEvent>) -> LiveEvent {
    let event = timeout(Duration::from_secs(30), events.recv()).await;
    event.expect("no event arrived").expect("the feed ended")
}

fn start_feed(store: &MemoryStore) -> mpsc::Receiver<LiveEvent> {
    let (sender, events) = mpsc::channel(64);
    let shared: SharedStore = Arc::new(store.clone());
    tokio::spawn(feed_live_keys(shared, sender));
    events
}

async fn join(store: &MemoryStore, vm: &str) -> watch::Sender<bool> {
    let shared: SharedStore = Arc::new(store.clone());
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(Heartbeat::new(shared, member(vm, 1), TTL_S).run(stopped));
    while !store_has(store, vm).await {
        sleep(Duration::from_millis(10)).await;
    }
    stop
}

async fn store_has(store: &MemoryStore, vm: &str) -> bool {
    let key = format!("{MEMBERS_PREFIX}{vm}");
    !store.range(&key, 1).await.unwrap().entries.is_empty()
}

#[tokio::test(start_paused = true)]
async fn the_feed_lists_then_tells_of_joins_and_planned_leaves() {
    let store = MemoryStore::new();
    let _first = join(&store, "vm-1").await;
    let mut events = start_feed(&store);
    let LiveEvent::Listed { members, .. } = next(&mut events).await else {
        panic!("the feed did not start with a list");
    };
    assert_eq!(members.len(), 1);
    let stop = join(&store, "vm-2").await;
    assert_eq!(
        next(&mut events).await,
        LiveEvent::Joined(member("vm-2", 1))
    );
    stop.send_replace(true);
    let vm: greengagetrail::units::VmName = "vm-2".parse().unwrap();
    assert_eq!(next(&mut events).await, LiveEvent::Departing(vm.clone()));
    assert_eq!(next(&mut events).await, LiveEvent::Left(vm));
}

#[tokio::test(start_paused = true)]
async fn the_feed_goes_on_after_an_outage_without_a_second_list() {
    let store = MemoryStore::new();
    let mut events = start_feed(&store);
    assert!(matches!(next(&mut events).await, LiveEvent::Listed { .. }));
    store.set_faults(down(true));
    sleep(Duration::from_secs(40)).await;
    store.set_faults(down(false));
    let _stop = join(&store, "vm-3").await;
    assert_eq!(
        next(&mut events).await,
        LiveEvent::Joined(member("vm-3", 1))
    );
}

#[tokio::test(start_paused = true)]
async fn a_watch_gone_silent_is_replaced_within_the_bound_of_the_configuration() {
    let store = MemoryStore::new();
    let mut events = start_feed(&store);
    assert!(matches!(next(&mut events).await, LiveEvent::Listed { .. }));
    store.set_faults(KvFaults::WATCH_SILENT);
    sleep(Duration::from_secs(1)).await;
    let _stop = join(&store, "vm-4").await;
    store.set_faults(KvFaults::default());
    let event = timeout(Duration::from_secs(16), events.recv()).await;
    assert_eq!(
        event.unwrap().unwrap(),
        LiveEvent::Joined(member("vm-4", 1))
    );
}
