//! Whether a runner may be sent a request: runners that say that they leave or ask for a pause.

mod common {
    pub mod registry_rig;
}

use {
    common::registry_rig::{Rig, generation_request, rig_with_memory, runner},
    futures::FutureExt,
    greengagetrail::{
        discovery::{RunnerEntry, RunnerKey, RunnerState},
        dispatch::{Assignment, AttemptOutcome, DispatchRefusal, DispatchRequest, NodeReport},
        history::{WishBounds, WishEvent, WishViolation, check_wishes},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::{Instant, advance},
};

const MODEL: &str = "m1";
const BOUNDS: WishBounds = WishBounds {
    drain_ms: 2_000,
    pause_grace_ms: 500,
    pause_requests_max: 2,
};

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("GGT_SEEDS").ok();
    0..count.and_then(|count| count.parse().ok()).unwrap_or(4)
}

fn runners(count: usize) -> Vec<RunnerEntry> {
    let names = (0..count).map(|number| format!("r{number:02}"));
    names.map(|name| runner(&name, &[(MODEL, &[])])).collect()
}

fn rig(runners: Vec<RunnerEntry>) -> Rig {
    rig_with_memory(runners, 100_000)
}

/// Asks for a runner; panics if the request waits.
fn assign_now(rig: &Rig) -> Result<Assignment, DispatchRefusal> {
    let request = generation_request(MODEL);
    let assigned = rig.dispatcher.assign(&request).now_or_never();
    assigned.expect("the request is decided on at once")
}

/// Lets a runner say in a response that it leaves.
fn say_leaving(rig: &Rig) -> RunnerKey {
    let assignment = assign_now(rig).unwrap();
    let key = assignment.runner.key.clone();
    assignment.record_leaving();
    assignment.finish(AttemptOutcome::Complete);
    key
}

fn gets_requests(rig: &Rig, key: &RunnerKey) -> bool {
    (0..20).any(|_| {
        let request = generation_request(MODEL);
        let assigned = rig.dispatcher.assign(&request).now_or_never();
        let Some(Ok(assignment)) = assigned else {
            return false;
        };
        let is_wanted = assignment.runner.key == *key;
        assignment.finish(AttemptOutcome::Complete);
        is_wanted
    })
}

// Guards against a runner's statement that lists and peers with an older view undo.
#[tokio::test(start_paused = true)]
async fn a_statement_that_a_runner_leaves_holds_for_its_incarnation() {
    let listed = runners(3);
    let rig = rig(listed.clone());
    let key = say_leaving(&rig);
    for round in 0..20 {
        advance(Duration::from_millis(700)).await;
        let without: Vec<_> = listed.iter().filter(|e| e.key != key).cloned().collect();
        match round % 3 {
            0 => rig.registry.set_runners(without),
            1 => rig.registry.set_runners(listed.clone()),
            _ => rig.registry.expire(),
        }
        assert!(!gets_requests(&rig, &key), "round {round}");
    }
}

// Guards against a runner that gets no requests as its predecessor at the same name left.
#[tokio::test(start_paused = true)]
async fn the_next_incarnation_is_served_at_once() {
    let rig = rig(runners(1));
    let key = say_leaving(&rig);
    assert!(!gets_requests(&rig, &key));
    let mut next = runners(1);
    next[0].key.born_unix_ms = 2;
    rig.registry.set_runners(next.clone());
    assert!(gets_requests(&rig, &next[0].key));
}

#[tokio::test(start_paused = true)]
async fn a_runner_without_a_start_time_is_served_once_it_was_delisted() {
    let mut listed = runners(2);
    listed
        .iter_mut()
        .for_each(|entry| entry.key.born_unix_ms = 0);
    let rig = rig(listed.clone());
    let key = say_leaving(&rig);
    assert!(!gets_requests(&rig, &key));
    let others = listed.iter().filter(|entry| entry.key != key);
    rig.registry.set_runners(others.cloned().collect());
    rig.registry.set_runners(listed);
    assert!(gets_requests(&rig, &key));
}

// Guards against a planner that counts on the copies of a runner that leaves.
#[tokio::test(start_paused = true)]
async fn the_planner_sees_a_runner_that_said_it_leaves_as_draining() {
    let rig = rig(runners(3));
    let key = say_leaving(&rig);
    rig.registry.set_runners(runners(3));
    for view in rig.registry.runners() {
        let is_ready = view.entry.state == RunnerState::Ready;
        assert_eq!(is_ready, view.entry.key != key);
    }
}

// Guards against a node that sends to a runner although another node was told that it leaves.
#[tokio::test(start_paused = true)]
async fn other_nodes_learn_that_a_runner_leaves() {
    for nodes in [7, 91] {
        let nodes: Vec<_> = (0..nodes).map(|_| rig(runners(4))).collect();
        let key = say_leaving(&nodes[0]);
        let from = "n0".into();
        for node in &nodes[1..] {
            match nodes.len() {
                7 => {
                    let report = nodes[0].registry.collect_report(false);
                    node.registry.apply_peer_report(&from, report);
                }
                _ => {
                    let report = nodes[0].registry.aggregator_report();
                    node.registry.apply_urgent_report(NodeReport {
                        stated_leaving: report.stated_leaving,
                        ..NodeReport::default()
                    });
                }
            }
        }
        // Their lists say for seconds that it is ready.
        for _ in 0..5 {
            advance(Duration::from_secs(1)).await;
            for node in &nodes {
                node.registry.set_runners(runners(4));
                assert!(!gets_requests(node, &key));
            }
        }
    }
}

fn ask_pause(rig: &Rig, pause: Duration) -> RunnerKey {
    let assignment = assign_now(rig).unwrap();
    let key = assignment.runner.key.clone();
    assignment.record_pause(pause);
    assignment.finish(AttemptOutcome::Shed);
    key
}

// Guards against callers that wait for runners which all asked for rest, and against callers that
// come back within the pause or all at once after it.
#[tokio::test(start_paused = true)]
async fn requests_are_refused_at_once_while_all_runners_pause() {
    let pause = Duration::from_secs(2);
    let rig = rig(runners(2));
    ask_pause(&rig, pause);
    ask_pause(&rig, pause);
    let waits: Vec<u64> = (0..60)
        .map(|_| assign_now(&rig).unwrap_err().retry_after_ms)
        .collect();
    assert!(waits.iter().all(|wait| *wait >= 2_000), "{waits:?}");
    for from_ms in (2_000..2_500).step_by(100) {
        let back = waits
            .iter()
            .filter(|wait| (from_ms..from_ms + 100).contains(*wait));
        let back = back.count();
        assert!(back <= 30, "{back} of 60 callers come back in 100 ms");
    }
}

// Guards against a runner that gets all that waited at the end of its pause.
#[tokio::test(start_paused = true)]
async fn one_request_is_sent_first_after_a_pause() {
    let rig = rig(runners(1));
    let key = ask_pause(&rig, Duration::from_secs(1));
    advance(Duration::from_millis(900)).await;
    // The pause ends soon: requests wait for it.
    let requests: Vec<DispatchRequest> = (0..5).map(|_| generation_request(MODEL)).collect();
    let mut waiting: Vec<_> = requests
        .iter()
        .map(|request| Box::pin(rig.dispatcher.assign(request)))
        .collect();
    assert!(waiting.iter_mut().all(|wait| wait.now_or_never().is_none()));
    advance(Duration::from_millis(130)).await;
    let mut first = Vec::new();
    waiting.retain_mut(|wait| match wait.now_or_never() {
        Some(assigned) => {
            first.push(assigned);
            false
        }
        None => true,
    });
    assert_eq!(first.len(), 1, "requests at the end of the pause");
    let mut first = first.pop().unwrap().unwrap();
    assert_eq!(first.runner.key, key);
    first.record_event(Instant::now());
    let next = waiting.iter_mut().filter_map(|wait| wait.now_or_never());
    assert!(next.count() > 1, "requests after the first response");
}

// Guards against a pause that ends as the list loses the runner for a moment.
#[tokio::test(start_paused = true)]
async fn a_pause_outlasts_the_loss_of_the_runners_entry_and_shorter_pauses() {
    let rig = rig(runners(2));
    let key = ask_pause(&rig, Duration::from_secs(5));
    let other = runners(2).into_iter().filter(|entry| entry.key != key);
    let other: Vec<_> = other.collect();
    for step in 0..4 {
        advance(Duration::from_secs(1)).await;
        rig.registry.set_runners(other.clone());
        rig.registry.set_runners(runners(2));
        assert!(!gets_requests(&rig, &key), "{step}");
    }
    advance(Duration::from_millis(1_100)).await;
    assert!(gets_requests(&rig, &key));
}

// Guards against an assignment that is used although the runner left or asked for rest since.
#[tokio::test(start_paused = true)]
async fn an_assignment_is_checked_again_before_it_is_used() {
    let rig = rig(runners(1));
    let (first, second, third) = (assign_now(&rig), assign_now(&rig), assign_now(&rig));
    let (first, second, third) = (first.unwrap(), second.unwrap(), third.unwrap());
    let check = second.send_check();
    assert_eq!(check.check(Instant::now()), Ok(()));
    first.record_pause(Duration::from_secs(1));
    let denied = check.check(Instant::now()).unwrap_err();
    assert_eq!(denied.label(), "paused");
    advance(Duration::from_millis(1_001)).await;
    assert_eq!(check.check(Instant::now()), Ok(()));
    third.record_leaving();
    let denied = check.check(Instant::now()).unwrap_err();
    assert_eq!(denied.label(), "leaving");
    rig.registry.set_runners(Vec::new());
    let denied = check.check(Instant::now()).unwrap_err();
    assert_eq!(denied.label(), "unlisted");
    assert_eq!(rig.registry.send_counters().withheld("paused"), 1);
}

/// A request on its way to a runner or being answered by it.
struct Exchange {
    node: usize,
    assignment: Option<Assignment>,
    sent_at: Instant,
    reaches_at: Instant,
    /// When the response arrives, once the request reached its runner.
    responds_at: Option<Instant>,
}

/// Nodes that send to runners which leave, ask for pauses and start again, at random.
struct WishRun {
    rng: StdRng,
    nodes: Vec<Rig>,
    born: Vec<u64>,
    leaves: Vec<bool>,
    paused_until: Vec<Option<Instant>>,
    exchanges: Vec<Exchange>,
    events: Vec<WishEvent>,
    begun: Instant,
}

impl WishRun {
    const RUNNERS: usize = 6;
    const STEP: Duration = Duration::from_millis(10);

    fn new(seed: u64, nodes: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            nodes: (0..nodes).map(|_| rig(runners(Self::RUNNERS))).collect(),
            born: vec![1; Self::RUNNERS],
            leaves: vec![false; Self::RUNNERS],
            paused_until: vec![None; Self::RUNNERS],
            exchanges: Vec::new(),
            events: Vec::new(),
            begun: Instant::now(),
        }
    }

    fn ms(&self, at: Instant) -> u64 {
        (at - self.begun).as_millis() as u64
    }

    /// Identifies an incarnation of a runner.
    fn incarnation(key: &RunnerKey) -> usize {
        let number: usize = key.id.as_str()[1..].parse().unwrap();
        number + Self::RUNNERS * key.born_unix_ms as usize
    }

    async fn run(&mut self, span: Duration) {
        while self.begun.elapsed() < span {
            advance(Self::STEP).await;
            self.change_runners();
            self.send_requests();
            self.advance_exchanges();
        }
    }

    fn change_runners(&mut self) {
        let runner = self.rng.random_range(0..Self::RUNNERS);
        let now = Instant::now();
        match self.rng.random_range(0..400) {
            0 => self.leaves[runner] = true,
            1 => {
                self.born[runner] += 1;
                self.leaves[runner] = false;
                self.paused_until[runner] = None;
            }
            2..5 => {
                let pause_ms = self.rng.random_range(200..4_000);
                self.paused_until[runner] = Some(now + Duration::from_millis(pause_ms));
            }
            5..20 => {
                // A list, at times an older one, at times without a runner, at some nodes.
                let mut listed = runners(Self::RUNNERS);
                for (entry, born) in listed.iter_mut().zip(&self.born) {
                    entry.key.born_unix_ms = *born;
                }
                if self.rng.random_bool(0.3) {
                    listed.remove(runner);
                }
                let from = self.rng.random_range(0..self.nodes.len());
                for node in &self.nodes[from..] {
                    node.registry.set_runners(listed.clone());
                }
            }
            _ => {}
        }
    }

    fn send_requests(&mut self) {
        let now = Instant::now();
        for _ in 0..self.rng.random_range(0..4) {
            let node = self.rng.random_range(0..self.nodes.len());
            let request = generation_request(MODEL);
            let assigned = self.nodes[node].dispatcher.assign(&request).now_or_never();
            let Some(Ok(assignment)) = assigned else {
                continue;
            };
            let delay_ms = match self.rng.random_bool(0.2) {
                true => self.rng.random_range(0..3_000),
                false => 3,
            };
            self.exchanges.push(Exchange {
                node,
                assignment: Some(assignment),
                sent_at: now,
                reaches_at: now + Duration::from_millis(delay_ms),
                responds_at: None,
            });
        }
    }

    fn advance_exchanges(&mut self) {
        let now = Instant::now();
        let mut exchanges = std::mem::take(&mut self.exchanges);
        for exchange in &mut exchanges {
            match exchange.responds_at {
                None if now >= exchange.reaches_at => self.deliver(exchange, now),
                Some(at) if now >= at => self.respond(exchange, now),
                _ => {}
            }
        }
        exchanges.retain(|exchange| exchange.assignment.is_some());
        self.exchanges = exchanges;
    }

    fn deliver(&mut self, exchange: &mut Exchange, now: Instant) {
        let assignment = exchange.assignment.take().unwrap();
        if assignment.send_check().check(now).is_err() {
            assignment.finish(AttemptOutcome::Withheld);
            return;
        }
        self.events.push(WishEvent::Reached {
            node: exchange.node,
            runner: Self::incarnation(&assignment.runner.key),
            sent_ms: self.ms(exchange.sent_at),
            at_ms: self.ms(now),
        });
        exchange.assignment = Some(assignment);
        exchange.responds_at = Some(now + Duration::from_millis(self.rng.random_range(5..400)));
    }

    fn respond(&mut self, exchange: &mut Exchange, now: Instant) {
        let assignment = exchange.assignment.take().unwrap();
        let number: usize = assignment.runner.key.id.as_str()[1..].parse().unwrap();
        if assignment.runner.key.born_unix_ms != self.born[number] {
            assignment.finish(AttemptOutcome::WrongRunner);
            return;
        }
        let (node, runner) = (exchange.node, Self::incarnation(&assignment.runner.key));
        let at_ms = self.ms(now);
        if self.leaves[number] {
            self.events.push(WishEvent::Leaving {
                node,
                runner,
                at_ms,
            });
            assignment.record_leaving();
        }
        match self.paused_until[number].filter(|until| now < *until) {
            Some(until) => {
                self.events.push(WishEvent::Paused {
                    node,
                    runner,
                    at_ms,
                    until_ms: self.ms(until),
                });
                assignment.record_pause(until - now);
                assignment.finish(AttemptOutcome::Shed);
            }
            None => assignment.finish(AttemptOutcome::Complete),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn nodes_heed_what_runners_ask_for_in_random_runs() {
    for seed in seeds() {
        for nodes in [1, 7, 91] {
            let mut run = WishRun::new(seed, nodes);
            run.run(Duration::from_secs(40)).await;
            let reached = run.events.iter();
            let reached = reached.filter(|event| matches!(event, WishEvent::Reached { .. }));
            assert!(reached.count() > 200, "seed {seed}, {nodes} nodes");
            let checked = check_wishes(&run.events, &BOUNDS);
            assert_eq!(checked, Ok(()), "seed {seed}, {nodes} nodes");
        }
    }
}

#[test]
fn the_checker_rejects_mutated_histories() {
    let reached = |sent_ms, at_ms| WishEvent::Reached {
        node: 1,
        runner: 2,
        sent_ms,
        at_ms,
    };
    let leaving = WishEvent::Leaving {
        node: 1,
        runner: 2,
        at_ms: 1_000,
    };
    let paused = WishEvent::Paused {
        node: 1,
        runner: 2,
        at_ms: 1_000,
        until_ms: 3_000,
    };
    let allowed = [
        leaving,
        reached(3_000, 3_500),
        paused,
        reached(1_400, 1_450),
    ];
    assert_eq!(check_wishes(&allowed, &BOUNDS), Ok(()));
    let late = [leaving, reached(3_001, 3_010)];
    assert!(matches!(
        check_wishes(&late, &BOUNDS),
        Err(WishViolation::Leaving { at_ms: 3_010, .. })
    ));
    let within = [
        paused,
        reached(1, 1_500),
        reached(1, 2_000),
        reached(1, 2_999),
    ];
    assert!(matches!(
        check_wishes(&within, &BOUNDS),
        Err(WishViolation::Paused { requests: 3, .. })
    ));
    assert_eq!(check_wishes(&within[..3], &BOUNDS), Ok(()));
}
