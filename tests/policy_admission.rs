//! Admission control and the retry budget: which requests run, wait or are refused, and how often
//! a failed request is retried.

use {
    greengagetrail::{
        admission::{
            AdmissionController, AdmissionDecision, ClassTargets, Permit, QueuedRequest, Refusal,
            RefusalReason, RetryBudget,
        },
        units::{ModelName, ServiceName},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, advance},
};

const PHONE: ClassTargets = ClassTargets {
    priority: 0,
    first_token_target_ms: 1_000,
    between_tokens_target_ms: 100,
};
const CRITIQUE: ClassTargets = ClassTargets {
    priority: 2,
    first_token_target_ms: 30_000,
    between_tokens_target_ms: 500,
};

fn model() -> ModelName {
    "m".parse().unwrap()
}

fn admission(slots: u32) -> Arc<AdmissionController> {
    let admission = Arc::new(AdmissionController::new());
    admission.set_capacity(&model(), slots);
    admission
}

fn run(admission: &Arc<AdmissionController>, class: &ClassTargets) -> Permit {
    match admission.admit(&model(), class, Instant::now()) {
        AdmissionDecision::Admitted(permit) => permit,
        other => panic!("not run: {other:?}"),
    }
}

fn wait(admission: &Arc<AdmissionController>, class: &ClassTargets) -> QueuedRequest {
    match admission.admit(&model(), class, Instant::now()) {
        AdmissionDecision::Queued(waiter) => waiter,
        other => panic!("not queued: {other:?}"),
    }
}

fn refused(admission: &Arc<AdmissionController>, class: &ClassTargets) -> Refusal {
    match admission.admit(&model(), class, Instant::now()) {
        AdmissionDecision::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// Runs one request for `held`, so that the controller learns how long a slot is occupied.
async fn record_hold_time(admission: &Arc<AdmissionController>, held: Duration) {
    let permit = run(admission, &PHONE);
    advance(held).await;
    drop(permit);
}

#[tokio::test(start_paused = true)]
async fn a_freed_slot_goes_to_the_most_urgent_class_then_the_earliest_deadline() {
    let admission = admission(1);
    let running = run(&admission, &PHONE);
    let late = wait(&admission, &CRITIQUE);
    let first = wait(&admission, &PHONE);
    advance(Duration::from_millis(10)).await;
    let second = wait(&admission, &PHONE);
    drop(running);
    let first = first.wait().await.expect("the first runs");
    assert_eq!(admission.queued(&model()), 2);
    drop(first);
    let second = second.wait().await.expect("the second runs");
    drop(second);
    assert!(late.wait().await.is_ok());
    assert_eq!(
        (admission.queued(&model()), admission.running(&model())),
        (0, 0)
    );
}

#[tokio::test(start_paused = true)]
async fn a_request_that_cannot_meet_its_target_is_refused_at_once_with_a_retry_delay() {
    let admission = admission(1);
    record_hold_time(&admission, Duration::from_millis(3_000)).await;
    let _running = run(&admission, &PHONE);
    let refusal = refused(&admission, &PHONE);
    assert_eq!(refusal.reason, RefusalReason::CannotMakeTarget);
    assert!((2_000..=3_000).contains(&refusal.retry_after_ms));
    drop(wait(&admission, &CRITIQUE));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_waits_past_its_target_is_refused_and_leaves_the_queue() {
    let admission = admission(1);
    let _running = run(&admission, &PHONE);
    let waited = Instant::now();
    let refusal = wait(&admission, &PHONE)
        .wait()
        .await
        .expect_err("no slot came");
    assert_eq!(refusal.reason, RefusalReason::WaitedTooLong);
    assert!(waited.elapsed() <= PHONE.first_token_target() + Duration::from_millis(5));
    assert_eq!(admission.queued(&model()), 0);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnects_leaves_the_queue_or_frees_its_slot() {
    let admission = admission(1);
    let running = run(&admission, &PHONE);
    drop(wait(&admission, &PHONE));
    assert_eq!(admission.queued(&model()), 0);
    let granted = wait(&admission, &PHONE);
    drop(running);
    assert_eq!(admission.running(&model()), 1);
    drop(granted);
    assert_eq!(admission.running(&model()), 0);
}

#[tokio::test(start_paused = true)]
async fn congested_responses_lower_the_limit_and_uncongested_ones_restore_it() {
    let admission = admission(16);
    let probe = run(&admission, &PHONE);
    for _ in 0..20 {
        advance(Duration::from_millis(950)).await;
        probe.record_token_gap(&PHONE, Duration::from_millis(101), Instant::now());
    }
    drop(probe);
    let mut held = Vec::new();
    while let AdmissionDecision::Admitted(permit) =
        admission.admit(&model(), &PHONE, Instant::now())
    {
        held.push(permit);
    }
    assert!(held.len() < 8, "{} still run at once", held.len());
    for _ in 0..1_000 {
        held[0].record_first_token(&PHONE, Instant::now());
        while let AdmissionDecision::Admitted(permit) =
            admission.admit(&model(), &PHONE, Instant::now())
        {
            held.push(permit);
        }
    }
    assert_eq!(held.len(), 16);
}

#[tokio::test(start_paused = true)]
async fn the_last_slots_are_reserved_for_the_most_urgent_class() {
    let admission = admission(20);
    drop(run(&admission, &PHONE));
    let critiques: Vec<_> = (0..18).map(|_| run(&admission, &CRITIQUE)).collect();
    let waiting = wait(&admission, &CRITIQUE);
    let phone = run(&admission, &PHONE);
    drop((critiques, phone, waiting));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn permits_of_many_threads_never_exceed_the_slots() {
    let admission = admission(4);
    let tasks = (0..64).map(|_| {
        let admission = Arc::clone(&admission);
        tokio::spawn(async move {
            let permit = match admission.admit(&model(), &CRITIQUE, Instant::now()) {
                AdmissionDecision::Admitted(permit) => permit,
                AdmissionDecision::Queued(waiter) => waiter.wait().await.expect("a slot comes"),
                AdmissionDecision::Refused(refusal) => panic!("{refusal}"),
            };
            assert!(admission.running(&model()) <= 4);
            tokio::task::yield_now().await;
            drop(permit);
        })
    });
    for task in futures::future::join_all(tasks).await {
        task.expect("no task panics");
    }
    assert_eq!(
        (admission.queued(&model()), admission.running(&model())),
        (0, 0)
    );
}

#[test]
fn retries_never_exceed_the_budget_and_back_off_with_jitter() {
    let budget = RetryBudget::new(10);
    let desk: ServiceName = "desk".parse().unwrap();
    let other: ServiceName = "other".parse().unwrap();
    let mut rng = StdRng::seed_from_u64(7);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_request(&desk);
        retries += u32::from(budget.try_retry(&desk, 1, &mut rng).is_some());
    }
    assert!((100..=110).contains(&retries), "{retries} retries");
    let backoffs: Vec<_> = (0..10)
        .filter_map(|_| budget.try_retry(&other, 9, &mut rng))
        .collect();
    assert_eq!(backoffs.len(), 10);
    assert!(
        backoffs
            .iter()
            .all(|wait| *wait <= Duration::from_millis(1_000))
    );
    assert!(backoffs.windows(2).any(|pair| pair[0] != pair[1]));
}

/// The time for one token without other requests, and the extra time per other running request.
const TOKEN_TIME_BASE_US: u64 = 15_000;
const TOKEN_TIME_PER_REQUEST_US: u64 = 1_000;
/// A response and the prompt's work, in chunks of ten tokens.
const CHUNKS_PER_RESPONSE: u32 = 6;
const TOKENS_PER_CHUNK: u64 = 10;
/// The arrival interval that fully loads the engine with 24 concurrent requests.
const FULL_LOAD_ARRIVAL_INTERVAL_US: u64 = 110_000;

/// Serves one request on an engine that slows down with load; returns whether the request met
/// both latency targets.
async fn meets_targets(
    admission: Arc<AdmissionController>,
    class: ClassTargets,
    arrived: Instant,
) -> bool {
    let permit = match admission.admit(&model(), &class, arrived) {
        AdmissionDecision::Admitted(permit) => permit,
        AdmissionDecision::Queued(waiter) => match waiter.wait().await {
            Ok(permit) => permit,
            Err(_) => return false,
        },
        AdmissionDecision::Refused(_) => return false,
    };
    let mut first_token = arrived;
    for chunk in 0..=CHUNKS_PER_RESPONSE {
        let others = u64::from(admission.running(&model())).saturating_sub(1);
        let token_us = TOKEN_TIME_BASE_US + TOKEN_TIME_PER_REQUEST_US * others;
        tokio::time::sleep(Duration::from_micros(token_us * TOKENS_PER_CHUNK)).await;
        if chunk == 0 {
            first_token = Instant::now();
            permit.record_first_token(&class, first_token);
        }
    }
    let gap = first_token.elapsed() / (CHUNKS_PER_RESPONSE * TOKENS_PER_CHUNK as u32);
    permit.record_token_gap(&class, gap, Instant::now());
    let gap_target = Duration::from_millis(class.between_tokens_target_ms);
    first_token - arrived <= class.first_token_target() && gap <= gap_target
}

/// Sends `requests`, every fifth of the most urgent class. Returns the responses in time per
/// second, and the share of the most urgent class's requests that were in time.
async fn goodput(requests: u64, arrival_interval_us: u64) -> (f64, f64) {
    let admission = admission(128);
    let started = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..requests {
        let class = if index % 5 == 0 { PHONE } else { CRITIQUE };
        tasks.push(tokio::spawn(meets_targets(
            Arc::clone(&admission),
            class,
            Instant::now(),
        )));
        tokio::time::sleep(Duration::from_micros(arrival_interval_us)).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let (mut in_time_count, mut urgent_in_time_count) = (0.0, 0.0);
    for (index, task) in tasks.into_iter().enumerate() {
        let in_time = f64::from(u8::from(task.await.expect("no task panics")));
        in_time_count += in_time;
        urgent_in_time_count += if index % 5 == 0 { in_time } else { 0.0 };
    }
    (
        in_time_count / seconds,
        urgent_in_time_count * 5.0 / requests as f64,
    )
}

#[tokio::test(start_paused = true)]
async fn goodput_at_twice_the_capacity_stays_near_its_peak() {
    let (at_full_load, _) = goodput(900, FULL_LOAD_ARRIVAL_INTERVAL_US).await;
    let (at_double_load, urgent_share) = goodput(1_800, FULL_LOAD_ARRIVAL_INTERVAL_US / 2).await;
    assert!(
        at_double_load >= at_full_load * 0.95,
        "{at_double_load} responses per second, {at_full_load} at full load"
    );
    assert!(
        urgent_share >= 0.99,
        "{urgent_share} of the most urgent class in time"
    );
}
