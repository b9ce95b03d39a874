//! Leases of VMs, the list of live members, and the feed of live keys, with faults of the key-value
//! service.

use {
    greengagetrail::{
        keeper::{LiveEvent, follow_live_keys},
        membership::{Heartbeat, Member, MemberList, REMOVAL_GRACE},
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

fn store_down(down: bool) -> KvFaults {
    KvFaults {
        down,
        ..KvFaults::default()
    }
}

async fn member_count(store: &MemoryStore) -> usize {
    store.range(MEMBERS_PREFIX, 0).await.unwrap().entries.len()
}

#[tokio::test(start_paused = true)]
async fn a_missing_member_counts_as_live_until_its_grace_is_over() {
    let mut list = MemberList::default();
    assert!(list.insert(member("vm-1", 1)));
    assert!(!list.insert(member("vm-1", 1)));
    list.mark_missing(&"vm-1".parse().unwrap(), Instant::now());
    assert!(!list.remove_expired(Instant::now()));
    assert_eq!(list.members().len(), 1);
    advance(REMOVAL_GRACE).await;
    assert!(list.remove_expired(Instant::now()));
    assert!(list.members().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_member_that_returns_within_its_grace_changes_nothing() {
    let mut list = MemberList::default();
    list.insert(member("vm-1", 1));
    list.insert(member("vm-2", 1));
    assert!(!list.replace(vec![member("vm-2", 1)], Instant::now()));
    advance(REMOVAL_GRACE / 2).await;
    assert!(!list.insert(member("vm-1", 1)));
    advance(REMOVAL_GRACE).await;
    assert!(!list.remove_expired(Instant::now()));
    assert_eq!(list.members().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_member_is_removed_at_once_and_an_earlier_incarnation_never_replaces_it() {
    let mut list = MemberList::default();
    list.insert(member("vm-1", 5));
    assert!(!list.insert(member("vm-1", 4)));
    assert_eq!(list.members()[0].incarnation, Incarnation(5));
    assert!(list.remove(&"vm-1".parse().unwrap()));
    assert!(list.members().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_registers_again_after_an_outage_and_an_expired_lease() {
    let store = MemoryStore::new();
    let shared: SharedStore = Arc::new(store.clone());
    let (stop, stopped) = watch::channel(false);
    let heartbeat = Heartbeat::new(shared, member("vm-1", 1), TTL_S);
    let running = tokio::spawn(heartbeat.run(stopped));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(member_count(&store).await, 1);
    store.set_faults(store_down(true));
    sleep(Duration::from_secs(60)).await;
    store.set_faults(store_down(false));
    sleep(Duration::from_secs(10)).await;
    assert_eq!(member_count(&store).await, 1);
    stop.send_replace(true);
    running.await.unwrap();
    assert_eq!(member_count(&store).await, 0);
}

async fn next(events: &mut mpsc::Receiver<LiveEvent>) -> LiveEvent {
    let event = timeout(Duration::from_secs(30), events.recv()).await;
    event.expect("no event arrived").expect("the feed ended")
}

fn start_feed(store: &MemoryStore) -> mpsc::Receiver<LiveEvent> {
    let (sender, events) = mpsc::channel(64);
    let shared: SharedStore = Arc::new(store.clone());
    tokio::spawn(follow_live_keys(shared, sender));
    events
}

async fn register(store: &MemoryStore, vm: &str) -> watch::Sender<bool> {
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
async fn the_feed_lists_members_then_reports_registrations_and_planned_stops() {
    let store = MemoryStore::new();
    let _first = register(&store, "vm-1").await;
    let mut events = start_feed(&store);
    let LiveEvent::Listed { members, .. } = next(&mut events).await else {
        panic!("the feed did not start with a list");
    };
    assert_eq!(members.len(), 1);
    let stop = register(&store, "vm-2").await;
    assert_eq!(
        next(&mut events).await,
        LiveEvent::MemberWritten(member("vm-2", 1))
    );
    stop.send_replace(true);
    let vm: greengagetrail::units::VmName = "vm-2".parse().unwrap();
    assert_eq!(
        next(&mut events).await,
        LiveEvent::MemberLeaving(vm.clone())
    );
    assert_eq!(next(&mut events).await, LiveEvent::MemberKeyDeleted(vm));
}

#[tokio::test(start_paused = true)]
async fn the_feed_continues_after_an_outage_without_a_second_list() {
    let store = MemoryStore::new();
    let mut events = start_feed(&store);
    assert!(matches!(next(&mut events).await, LiveEvent::Listed { .. }));
    store.set_faults(store_down(true));
    sleep(Duration::from_secs(40)).await;
    store.set_faults(store_down(false));
    let _stop = register(&store, "vm-3").await;
    assert_eq!(
        next(&mut events).await,
        LiveEvent::MemberWritten(member("vm-3", 1))
    );
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_reopened_within_the_configured_bound() {
    let store = MemoryStore::new();
    let mut events = start_feed(&store);
    assert!(matches!(next(&mut events).await, LiveEvent::Listed { .. }));
    store.set_faults(KvFaults::WATCH_SILENT);
    sleep(Duration::from_secs(1)).await;
    let _stop = register(&store, "vm-4").await;
    store.set_faults(KvFaults::default());
    let event = timeout(Duration::from_secs(16), events.recv()).await;
    assert_eq!(
        event.unwrap().unwrap(),
        LiveEvent::MemberWritten(member("vm-4", 1))
    );
}
