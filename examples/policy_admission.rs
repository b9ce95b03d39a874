//! Simulates overload on the runtime's paused clock: goodput at rising load with and without
//! admission control, retries, and recovery.
//!
//! `cargo run --release --example policy_admission`

use {
    greengagetrail::{
        admission::{AdmissionController, AdmissionDecision, ClassTargets, Permit},
        units::ModelName,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// The number of copies that share the load evenly.
const COPY_COUNT: f64 = 4.0;
/// The time for one token without other requests, and the extra time per other request on a copy.
const TOKEN_TIME_BASE_MS: f64 = 15.0;
const TOKEN_TIME_PER_REQUEST_MS: f64 = 1.0;
/// Tokens of a response, the cost of its prompt in tokens, and the tokens generated between two
/// updates of the load.
const TOKENS_PER_RESPONSE: u32 = 60;
const PROMPT_COST_TOKENS: u32 = 10;
const TOKENS_PER_CHUNK: u32 = 5;
/// The requests per second that four copies serve with 24 concurrent requests each.
const CAPACITY_PER_S: f64 = 4.0 * 24.0 / (70.0 * 0.038);
/// The most attempts of a caller whose requests are refused.
const ATTEMPTS_MAX: u32 = 3;
/// The service classes with their share of the requests.
const CLASSES: [(f64, ClassTargets); 3] = [
    (0.2, class(0, 1_000, 60)),
    (0.4, class(1, 3_000, 80)),
    (0.4, class(2, 10_000, 80)),
];

const fn class(priority: u8, first_token: u64, between_tokens: u64) -> ClassTargets {
    ClassTargets {
        priority,
        first_token_target_ms: first_token,
        between_tokens_target_ms: between_tokens,
    }
}

/// What a caller does when a request is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallerBehaviour {
    Once,
    RetryAfter,
    RetryAtOnce,
}

/// The state of one simulated run.
struct Simulation {
    admission: Option<Arc<AdmissionController>>,
    model: ModelName,
    running: Cell<u32>,
    attempts: Cell<u32>,
    /// Per request: the arrival time, the priority, and whether the request met its targets.
    finished: RefCell<Vec<(f64, u8, bool)>>,
    start: Instant,
}

impl Simulation {
    async fn request(self: Rc<Self>, class: ClassTargets, caller_behaviour: CallerBehaviour) {
        let arrived = Instant::now();
        let at_s = (arrived - self.start).as_secs_f64();
        let mut met_target = false;
        for _ in 0..ATTEMPTS_MAX {
            self.attempts.set(self.attempts.get() + 1);
            match self.permit(&class).await {
                Ok(permit) => {
                    met_target = self.serve(&class, permit, Instant::now()).await;
                    break;
                }
                Err(retry_after_ms) => match caller_behaviour {
                    CallerBehaviour::Once => break,
                    CallerBehaviour::RetryAfter => {
                        sleep(Duration::from_millis(retry_after_ms)).await
                    }
                    CallerBehaviour::RetryAtOnce => sleep(Duration::from_millis(10)).await,
                },
            }
        }
        self.finished
            .borrow_mut()
            .push((at_s, class.priority, met_target));
    }

    async fn permit(&self, class: &ClassTargets) -> Result<Option<Permit>, u64> {
        let Some(admission) = &self.admission else {
            return Ok(None);
        };
        let permit = match admission.admit(&self.model, class, Instant::now()) {
            AdmissionDecision::Admitted(permit) => Ok(permit),
            AdmissionDecision::Queued(waiter) => waiter.wait().await,
            AdmissionDecision::Refused(refusal) => Err(refusal),
        };
        permit.map(Some).map_err(|refusal| refusal.retry_after_ms)
    }

    /// Serves a request; the target counts from the attempt that was admitted.
    async fn serve(&self, class: &ClassTargets, permit: Option<Permit>, started: Instant) -> bool {
        self.running.set(self.running.get() + 1);
        self.generate(PROMPT_COST_TOKENS).await;
        let first_token = Instant::now();
        if let Some(permit) = &permit {
            permit.record_first_token(class, first_token);
        }
        self.generate(TOKENS_PER_RESPONSE).await;
        let gap = first_token.elapsed() / TOKENS_PER_RESPONSE;
        if let Some(permit) = &permit {
            permit.record_token_gap(class, gap, Instant::now());
        }
        self.running.set(self.running.get() - 1);
        let gap_target = Duration::from_millis(class.between_tokens_target_ms);
        first_token - started <= class.first_token_target() && gap <= gap_target
    }

    async fn generate(&self, tokens: u32) {
        for _ in 0..tokens / TOKENS_PER_CHUNK {
            let others = f64::from(self.running.get()) / COPY_COUNT - 1.0;
            let token_ms = TOKEN_TIME_BASE_MS + TOKEN_TIME_PER_REQUEST_MS * others.max(0.0);
            sleep(Duration::from_secs_f64(
                token_ms * f64::from(TOKENS_PER_CHUNK) / 1e3,
            ))
            .await;
        }
    }
}

/// Simulates one load profile: pairs of a duration in seconds and a multiple of the capacity.
async fn run(
    profile: &[(f64, f64)],
    admitted: bool,
    caller_behaviour: CallerBehaviour,
    seed: u64,
) -> Rc<Simulation> {
    let admission = admitted.then(|| Arc::new(AdmissionController::new()));
    let model: ModelName = "m".parse().expect("the name is valid");
    if let Some(admission) = &admission {
        admission.set_capacity(&model, 4 * 32);
    }
    let simulation = Rc::new(Simulation {
        admission,
        model,
        running: Cell::default(),
        attempts: Cell::default(),
        finished: RefCell::default(),
        start: Instant::now(),
    });
    let mut rng = StdRng::seed_from_u64(seed);
    let tasks = tokio::task::LocalSet::new();
    tasks
        .run_until(async {
            for &(seconds, load) in profile {
                let end = Instant::now() + Duration::from_secs_f64(seconds);
                while Instant::now() < end {
                    let gap_s = -rng.random::<f64>().max(1e-9).ln() / (load * CAPACITY_PER_S);
                    sleep(Duration::from_secs_f64(gap_s)).await;
                    let drawn = rng.random::<f64>();
                    let class = match drawn {
                        drawn if drawn < CLASSES[0].0 => CLASSES[0].1,
                        drawn if drawn < CLASSES[0].0 + CLASSES[1].0 => CLASSES[1].1,
                        _ => CLASSES[2].1,
                    };
                    tokio::task::spawn_local(
                        Rc::clone(&simulation).request(class, caller_behaviour),
                    );
                }
            }
        })
        .await;
    let _ = tokio::time::timeout(Duration::from_secs(120), tasks).await;
    simulation
}

/// Returns the goodput per second and the attainment of the most urgent class in an interval.
fn shares(simulation: &Simulation, from_s: f64, to_s: f64) -> (f64, f64) {
    let finished = simulation.finished.borrow();
    let within = finished
        .iter()
        .filter(|request| (from_s..to_s).contains(&request.0));
    let (mut goodput, mut urgent, mut urgent_good) = (0, 0, 0);
    for &(_, priority, met_target) in within {
        goodput += u32::from(met_target);
        urgent += u32::from(priority == 0);
        urgent_good += u32::from(priority == 0 && met_target);
    }
    let per_s = f64::from(goodput) / (to_s - from_s);
    (per_s, f64::from(urgent_good) / f64::from(urgent.max(1)))
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    for seed in 0..3 {
        println!("seed {seed}: goodput per second and attainment of the highest class");
        for (admitted, caller_behaviour) in [
            (false, CallerBehaviour::Once),
            (true, CallerBehaviour::Once),
            (true, CallerBehaviour::RetryAfter),
            (true, CallerBehaviour::RetryAtOnce),
        ] {
            let mut line = String::new();
            for load in [0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0] {
                let simulation = run(&[(90.0, load)], admitted, caller_behaviour, seed).await;
                let (goodput, urgent) = shares(&simulation, 30.0, 90.0);
                let attempts = f64::from(simulation.attempts.get())
                    / simulation.finished.borrow().len() as f64;
                line += &format!("{load}x {goodput:.1} {urgent:.3} ({attempts:.2} attempts)  ");
            }
            println!("  admission {admitted}, callers {caller_behaviour:?}: {line}");
        }
        for admitted in [false, true] {
            let profile = [(60.0, 0.7), (30.0, 2.0), (60.0, 0.7)];
            let simulation = run(&profile, admitted, CallerBehaviour::RetryAfter, seed).await;
            let recovered = (90..150).find(|&second| {
                let from_s = f64::from(second);
                let (goodput, _) = shares(&simulation, from_s, from_s + 2.0);
                let finished = simulation.finished.borrow();
                let asked = finished
                    .iter()
                    .filter(|r| (from_s..from_s + 2.0).contains(&r.0));
                goodput * 2.0 >= asked.count() as f64 * 0.95
            });
            let recovered = recovered.map(|second| second - 90);
            println!("  recovery, admission {admitted}: {recovered:?} s after the overload");
        }
    }
}
