//! Which bodies get memory, and which connections stay open, under loads of many unfinished ones.

use {
    greengagetrail::{
        http::ConnectionTable,
        request_memory::{Decision, Holder, Ledger, MemoryLimits, ShareId, UNCOUNTED_BYTES},
    },
    std::time::Duration,
    tokio::time::Instant,
    tokio_util::sync::CancellationToken,
};

const MIB: usize = 1 << 20;

/// A ledger of 16 MiB, 12 of them for requests, and bodies of 1 MiB less a byte that fill it.
fn full_ledger(now: Instant) -> (Ledger, Vec<ShareId>) {
    let mut ledger = Ledger::new(MemoryLimits::of_bodies(16 * MIB));
    let ids = (0..12).map(|_| {
        let id = ledger.open(Holder::Arriving, now);
        assert_eq!(ledger.ask(id, MIB, MIB - 1, now), Decision::Granted);
        id
    });
    let ids = ids.collect();
    (ledger, ids)
}

#[test]
fn a_stalled_body_gives_way_to_one_that_arrives() {
    let start = Instant::now();
    let (mut ledger, ids) = full_ledger(start);
    let now = start + Duration::from_secs(5);
    let newer = ledger.open(Holder::Arriving, now);
    let Decision::GivesWay(gone) = ledger.ask(newer, MIB, 64 * 1024, now) else {
        panic!("no body gives way");
    };
    assert!(ids.contains(&gone) && ledger.must_give_way(gone));
    // The memory comes back with the body, and no further one gives way meanwhile.
    assert_eq!(ledger.ask(newer, MIB, 64 * 1024, now), Decision::Wait);
    ledger.close(gone);
    assert_eq!(ledger.ask(newer, MIB, 64 * 1024, now), Decision::Granted);
}

#[test]
fn bodies_that_keep_the_pace_are_waited_for() {
    let start = Instant::now();
    let (mut ledger, _) = full_ledger(start);
    let newer = ledger.open(Holder::Arriving, start);
    let now = start + Duration::from_millis(900);
    assert_eq!(ledger.ask(newer, MIB, 1, now), Decision::Wait);
}

#[test]
fn a_trickle_is_no_pace() {
    let start = Instant::now();
    let mut ledger = Ledger::new(MemoryLimits::of_bodies(4 * MIB));
    let trickle = ledger.open(Holder::Arriving, start);
    assert_eq!(ledger.ask(trickle, 2 * MIB, MIB, start), Decision::Granted);
    let now = start + Duration::from_secs(3);
    assert_eq!(
        ledger.ask(trickle, 2 * MIB, MIB + 100, now),
        Decision::Granted
    );
    let newer = ledger.open(Holder::Arriving, now);
    assert_eq!(
        ledger.ask(newer, 2 * MIB, MIB, now),
        Decision::GivesWay(trickle)
    );
}

#[test]
fn bodies_of_requests_in_work_never_give_way() {
    let start = Instant::now();
    let (mut ledger, ids) = full_ledger(start);
    for id in ids {
        ledger.set_holder(id, Holder::Arrived);
    }
    let now = start + Duration::from_secs(9);
    let newer = ledger.open(Holder::Arriving, now);
    assert_eq!(ledger.ask(newer, MIB, 1, now), Decision::Refused);
}

#[test]
fn usual_bodies_and_responses_have_memory_beside_a_crowd() {
    let now = Instant::now();
    let (mut ledger, _) = full_ledger(now);
    let usual = ledger.open(Holder::Arriving, now);
    assert_eq!(
        ledger.ask(usual, UNCOUNTED_BYTES, UNCOUNTED_BYTES, now),
        Decision::Granted
    );
    let response = ledger.open(Holder::Response, now);
    assert_eq!(ledger.ask(response, MIB, MIB, now), Decision::Granted);
}

#[test]
fn a_body_larger_than_the_memory_is_taken_alone() {
    let now = Instant::now();
    let mut ledger = Ledger::new(MemoryLimits::of_bodies(16 * MIB));
    let large = ledger.open(Holder::Arriving, now);
    assert_eq!(ledger.ask(large, 32 * MIB, MIB, now), Decision::Granted);
    ledger.set_holder(large, Holder::Arrived);
    let other = ledger.open(Holder::Arriving, now);
    assert_eq!(ledger.ask(other, MIB, 1, now), Decision::Refused);
}

#[test]
fn what_is_held_never_exceeds_the_limit_and_all_of_it_comes_back() {
    let start = Instant::now();
    let mut ledger = Ledger::new(MemoryLimits::of_bodies(16 * MIB));
    let mut open = Vec::new();
    for step in 0..2_000_u64 {
        let now = start + Duration::from_millis(10 * step);
        let id = ledger.open(Holder::Arriving, now);
        open.push(id);
        let wanted_bytes = (step as usize * 7_919) % (4 * MIB);
        if let Decision::GivesWay(gone) = ledger.ask(id, wanted_bytes, wanted_bytes / 2, now) {
            ledger.close(gone);
            ledger.ask(id, wanted_bytes, wanted_bytes / 2, now);
        }
        assert!(ledger.held_bytes() <= 12 * MIB, "step {step}");
    }
    for id in open {
        ledger.close(id);
    }
    assert_eq!(ledger.held_bytes(), 0);
}

#[test]
fn a_connection_without_a_request_closes_for_a_new_one() {
    let start = Instant::now();
    let mut table = ConnectionTable::new(3);
    let close: Vec<_> = (0..4).map(|_| CancellationToken::new()).collect();
    let at = |ms| start + Duration::from_millis(ms);
    let ids: Vec<_> = (0..3)
        .map(|number| {
            table
                .admit(at(number), close[number as usize].clone())
                .unwrap()
        })
        .collect();
    table.begin_request(ids[0]);
    table.begin_request(ids[1]);
    table.end_request(ids[1], at(10));
    // The third was not used since it opened; the first has a request in work.
    assert!(table.admit(at(20), close[3].clone()).is_some());
    let closed: Vec<_> = close.iter().map(CancellationToken::is_cancelled).collect();
    assert_eq!(closed, [false, false, true, false]);
}

#[test]
fn a_new_connection_is_refused_while_all_have_requests_in_work() {
    let now = Instant::now();
    let mut table = ConnectionTable::new(1);
    let id = table.admit(now, CancellationToken::new()).unwrap();
    table.begin_request(id);
    assert!(table.admit(now, CancellationToken::new()).is_none());
    table.remove(id);
    assert!(table.admit(now, CancellationToken::new()).is_some());
}
