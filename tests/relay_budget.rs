//! The retry budget over any window.

use {
    greengagetrail::{node::Bounds, relay::RetryBudget, traffic::ServiceId},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::{Instant, advance},
};

const SEED: u64 = 20_261_203;
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const NODES: usize = 7;

fn budget() -> RetryBudget {
    let bounds = serde_json::json!({
        "drain_ms": 2000, "grace_s": 8.0, "config_apply_ms": 2000, "retry_budget_ratio": RATIO,
        "budget_window_s": 10.0, "retry_budget_slack": SLACK, "lease_ms": 3000,
        "thaw_slack_ms": 300, "fencing_enforced": true, "ceiling_window_s": 5.0,
        "contact_ms": 3000, "lease_min_ms": 1000,
    });
    RetryBudget::new(&serde_json::from_value::<Bounds>(bounds).unwrap())
}

#[tokio::test(start_paused = true)]
async fn no_window_has_more_retries_than_its_share() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let (budget, service) = (budget(), ServiceId::from("s"));
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    advance(WINDOW * 2).await;
    for step in 0..6000 {
        // Busy and idle periods of four seconds in turn.
        let busy = step / 400 % 2 == 0;
        advance(Duration::from_millis(10)).await;
        for _ in 0..if busy { rng.random_range(0..4) } else { 0 } {
            budget.count_request(&service);
            requests.push(Instant::now());
        }
        for _ in 0..rng.random_range(0..3) {
            if budget.try_retry(&service, NODES) {
                retries.push(Instant::now());
            }
        }
        let now = Instant::now();
        let within = |times: &[Instant], ends: Instant| {
            let recent = |at: &&Instant| **at <= ends && ends - **at <= WINDOW;
            times.iter().filter(recent).count() as f64
        };
        // The platform allows retries by the largest count of requests in three windows.
        let spans = [now, now - WINDOW / 2, now - WINDOW];
        let wanted = spans.map(|ends| within(&requests, ends));
        let allowed = RATIO * wanted.into_iter().fold(0.0, f64::max) + SLACK / NODES as f64;
        assert!(within(&retries, now) <= allowed);
    }
    assert!(retries.len() > 500, "{}", retries.len());
}

#[tokio::test(start_paused = true)]
async fn services_have_budgets_of_their_own() {
    let budget = budget();
    let (first, second) = (ServiceId::from("a"), ServiceId::from("b"));
    let spent = (0..100).filter(|_| budget.try_retry(&first, NODES)).count();
    assert_eq!(spent, 6);
    assert!(budget.try_retry(&second, NODES));
    advance(WINDOW * 2).await;
    assert!(budget.try_retry(&first, NODES));
}
