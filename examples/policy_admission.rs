//! Measures admission under overload on the runtime's paused clock: goodput at rising load with
//! and without it, retries, and recovery.
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

/// Copies that share the load evenly.
const COPIES: f64 = 4.0;
/// The time for one token of each request on a copy, with none and per other request.
const TOKEN_BASE_MS: f64 = 15.0;
const TOKEN_SLOPE_MS: f64 = 1.0;
/// Tokens of an answer, those that its prompt costs, and those between two looks at the load.
const TOKENS: u32 = 60;
const PROMPT_COST: u32 = 10;
const CHUNK: u32 = 5;
/// Requests per second that four copies answer with 24 requests on each.
const CAPACITY_PER_S: f64 = 4.0 * 24.0 / (70.0 * 0.038);
/// Tries of a caller that is refused.
const TRIES: u32 = 3;
/// The classes with their share of the requests.
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

#[derive(Debug, Clone, Copy, PartialEq)]
enum Callers {
    Once,
    RetryAfter,
    RetryAtOnce,
}

struct World {
    admission: Option<Arc<AdmissionController>>,
    model: ModelName,
    running: Cell<u32>,
    tries: Cell<u32>,
    /// Per request: when it arrived, its class, whether it was in time.
    done: RefCell<Vec<(f64, u8, bool)>>,
    start: Instant,
}

impl World {
    async fn request(self: Rc<Self>, class: ClassTargets, callers: Callers) {
        let arrived = Instant::now();
        let at_s = (arrived - self.start).as_secs_f64();
        let mut in_time = false;
        for _ in 0..TRIES {
            self.tries.set(self.tries.get() + 1);
            match self.permit(&class).await {
                Ok(permit) => {
                    in_time = self.answer(&class, permit, Instant::now()).await;
                    break;
                }
                Err(retry_after_ms) => match callers {
                    Callers::Once => break,
                    Callers::RetryAfter => sleep(Duration::from_millis(retry_after_ms)).await,
                    Callers::RetryAtOnce => sleep(Duration::from_millis(10)).await,
                },
            }
        }
        self.done.borrow_mut().push((at_s, class.priority, in_time));
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

    /// Answers a request; its target counts from the try that was admitted.
    async fn answer(&self, class: &ClassTargets, permit: Option<Permit>, tried: Instant) -> bool {
        self.running.set(self.running.get() + 1);
        self.generate(PROMPT_COST).await;
        let first_token = Instant::now();
        if let Some(permit) = &permit {
            permit.record_first_token(class, first_token);
        }
        self.generate(TOKENS).await;
        let gap = first_token.elapsed() / TOKENS;
        if let Some(permit) = &permit {
            permit.record_token_gap(class, gap, Instant::now());
        }
        self.running.set(self.running.get() - 1);
        let gap_target = Duration::from_millis(class.between_tokens_target_ms);
        first_token - tried <= class.first_token_target() && gap <= gap_target
    }

    async fn generate(&self, tokens: u32) {
        for _ in 0..tokens / CHUNK {
            let others = f64::from(self.running.get()) / COPIES - 1.0;
            let token_ms = TOKEN_BASE_MS + TOKEN_SLOPE_MS * others.max(0.0);
            sleep(Duration::from_secs_f64(token_ms * f64::from(CHUNK) / 1e3)).await;
        }
    }
}

/// Runs one load profile: pairs of seconds and multiples of the capacity.
async fn run(profile: &[(f64, f64)], admitted: bool, callers: Callers, seed: u64) -> Rc<World> {
    let admission = admitted.then(|| Arc::new(AdmissionController::new()));
    let model: ModelName = "m".parse().expect("the name is valid");
    if let Some(admission) = &admission {
        admission.set_capacity(&model, 4 * 32);
    }
    let world = Rc::new(World {
        admission,
        model,
        running: Cell::default(),
        tries: Cell::default(),
        done: RefCell::default(),
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
                    tokio::task::spawn_local(Rc::clone(&world).request(class, callers));
                }
            }
        })
        .await;
    let _ = tokio::time::timeout(Duration::from_secs(120), tasks).await;
    world
}

fn shares(world: &World, from_s: f64, to_s: f64) -> (f64, f64) {
    let done = world.done.borrow();
    let within = done
        .iter()
        .filter(|request| (from_s..to_s).contains(&request.0));
    let (mut good, mut top, mut top_good) = (0, 0, 0);
    for &(_, priority, in_time) in within {
        good += u32::from(in_time);
        top += u32::from(priority == 0);
        top_good += u32::from(priority == 0 && in_time);
    }
    let per_s = f64::from(good) / (to_s - from_s);
    (per_s, f64::from(top_good) / f64::from(top.max(1)))
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    for seed in 0..3 {
        println!("seed {seed}: goodput per second and attainment of the highest class");
        for (admitted, callers) in [
            (false, Callers::Once),
            (true, Callers::Once),
            (true, Callers::RetryAfter),
            (true, Callers::RetryAtOnce),
        ] {
            let mut line = String::new();
            for load in [0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0] {
                let world = run(&[(90.0, load)], admitted, callers, seed).await;
                let (good, top) = shares(&world, 30.0, 90.0);
                let tries = f64::from(world.tries.get()) / world.done.borrow().len() as f64;
                line += &format!("{load}x {good:.1} {top:.3} ({tries:.2} tries)  ");
            }
            println!("  admission {admitted}, callers {callers:?}: {line}");
        }
        for admitted in [false, true] {
            let profile = [(60.0, 0.7), (30.0, 2.0), (60.0, 0.7)];
            let world = run(&profile, admitted, Callers::RetryAfter, seed).await;
            let recovered = (90..150).find(|&second| {
                let from_s = f64::from(second);
                let (good, _) = shares(&world, from_s, from_s + 2.0);
                let done = world.done.borrow();
                let asked = done
                    .iter()
                    .filter(|r| (from_s..from_s + 2.0).contains(&r.0));
                good * 2.0 >= asked.count() as f64 * 0.95
            });
            let recovered = recovered.map(|second| second - 90);
            println!("  recovery, admission {admitted}: {recovered:?} s after the overload");
        }
    }
}
