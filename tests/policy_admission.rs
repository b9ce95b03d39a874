//! Which requests wait, run or are refused, and how often one is retried.

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

/// Runs one request for `held`, so that the gate knows how long a slot is held.
async fn teach_hold_time(admission: &Arc<AdmissionController>, held: Duration) {
    let permit = run(admission, &PHONE);
    advance(held).await;
    drop(permit);
}

#[tokio::test(start_paused = true)]
async fn a_freed_slot_goes_to_the_highest_class_then_the_earliest_deadline() {
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
async fn what_cannot_make_its_target_is_refused_at_once_and_told_when_to_come_back() {
    let admission = admission(1);
    teach_hold_time(&admission, Duration::from_millis(3_000)).await;
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
async fn a_caller_that_goes_away_gives_its_place_or_its_slot_up() {
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
async fn congested_answers_shrink_the_limit_and_good_ones_restore_it() {
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
async fn the_last_slots_are_kept_for_the_highest_class() {
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

/// The time for one token, alone and per other request that runs.
const TOKEN_BASE_US: u64 = 15_000;
const TOKEN_SLOPE_US: u64 = 1_000;
/// Tokens of an answer and of its prompt, in chunks of ten.
const CHUNKS: u32 = 6;
const CHUNK: u64 = 10;
/// The time between arrivals that loads the engine fully with 24 requests at once.
const FULL_LOAD_GAP_US: u64 = 110_000;

/// Answers one request on an engine that slows down with its load; tells whether in time.
async fn answered(
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
    for chunk in 0..=CHUNKS {
        let others = u64::from(admission.running(&model())).saturating_sub(1);
        let token_us = TOKEN_BASE_US + TOKEN_SLOPE_US * others;
        tokio::time::sleep(Duration::from_micros(token_us * CHUNK)).await;
        if chunk == 0 {
            first_token = Instant::now();
            permit.record_first_token(&class, first_token);
        }
    }
    let gap = first_token.elapsed() / (CHUNKS * CHUNK as u32);
    permit.record_token_gap(&class, gap, Instant::now());
    let gap_target = Duration::from_millis(class.between_tokens_target_ms);
    first_token - arrived <= class.first_token_target() && gap <= gap_target
}

/// Sends `requests`, every fifth of the highest class; counts answers in time per second and
/// the highest class's share of them.
async fn goodput(requests: u64, gap_us: u64) -> (f64, f64) {
    let admission = admission(128);
    let started = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..requests {
        let class = if index % 5 == 0 { PHONE } else { CRITIQUE };
        tasks.push(tokio::spawn(answered(
            Arc::clone(&admission),
            class,
            Instant::now(),
        )));
        tokio::time::sleep(Duration::from_micros(gap_us)).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let (mut good, mut top_good) = (0.0, 0.0);
    for (index, task) in tasks.into_iter().enumerate() {
        let in_time = f64::from(u8::from(task.await.expect("no task panics")));
        good += in_time;
        top_good += if index % 5 == 0 { in_time } else { 0.0 };
    }
    (good / seconds, top_good * 5.0 / requests as f64)
}

#[tokio::test(start_paused = true)]
async fn goodput_at_twice_the_capacity_stays_near_its_peak() {
    let (full, _) = goodput(900, FULL_LOAD_GAP_US).await;
    let (double, top) = goodput(1_800, FULL_LOAD_GAP_US / 2).await;
    assert!(
        double >= full * 0.95,
        "{double} answers per second, {full} at full load"
    );
    assert!(top >= 0.99, "{top} of the highest class in time");
}
