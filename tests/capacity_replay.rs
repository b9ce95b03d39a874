//! The load of prompts over runners of unequal speed, replayed without a network.

use {
    greengagetrail::{
        capacity::{ModelPaces, RunnerSpeed, SpeedSpread, StreamPace},
        dispatch::{Candidate, RunnerRequirements, TotalLoad, cost_ms, uneven_cost_ms},
    },
    std::time::Duration,
    tokio::time::Instant,
};

const RUNNERS: usize = 60;
const NODES: usize = 66;
const REQUESTS_PER_S: f64 = 400.0;
const PREFILL_TOKENS_PER_MS: f64 = 22.1;
const TOKENS_PER_EVENT: u32 = 4;
const CHUNK_TOKENS: f64 = 4_096.0;
const GAP_TARGET_MS: f64 = 300.0;
const FIRST_TARGET_MS: f64 = 800.0;
const REPORT_INTERVAL_MS: f64 = 130.0;
const TICK_MS: f64 = 10.0;

/// What the nodes know of the runners' speeds.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Knowledge {
    /// Nothing: all runners count as equal.
    Nothing,
    /// What each node learned from its own streams, and none from its peers.
    LearnedAlone,
    /// What each node learned from its own streams and from the reports of its peers.
    Learned,
    /// The true speeds.
    Oracle,
}

/// How a runner's slowness changes.
type Slowness = fn(runner: usize, at_ms: f64, streams: usize, seed: u64) -> f64;

/// A request that no runner serves yet.
#[derive(Debug, Clone, Copy)]
struct Request {
    node: usize,
    needs: RunnerRequirements,
    output_tokens: u32,
    /// The first of the runners that hold the model.
    first_runner: usize,
    arrived_at_ms: f64,
}

#[derive(Debug)]
struct Stream {
    node: usize,
    unread_tokens: f64,
    kv_tokens: u64,
    tokens_left: u32,
    tokens_made: u32,
    event_at_ms: f64,
    pace: StreamPace,
    is_late: bool,
}

#[derive(Debug, Default)]
struct Runner {
    now_ms: f64,
    streams: Vec<Stream>,
    /// The recently sent prompt tokens, with the instant to which they decayed.
    recent: (f64, f64),
    /// The load at the last report.
    reported: (TotalLoad, f64, f64),
}

#[derive(Debug, Default)]
struct Node {
    speeds: Vec<RunnerSpeed>,
    paces: ModelPaces,
    spread: SpeedSpread,
    /// Requests and prompt tokens sent since the last report, by runner.
    unreported: Vec<(u32, f64)>,
}

#[derive(Debug, Default)]
struct Outcome {
    late: u32,
    ended: u32,
    by_runner: Vec<u32>,
    waited_ms: f64,
}

impl Outcome {
    fn late_share(&self) -> f64 {
        f64::from(self.late) / f64::from(self.ended.max(1))
    }
}

/// A deterministic source of numbers from 0 to 1.
#[derive(Debug)]
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self) -> f64 {
        -self.next().max(1e-12).ln()
    }
}

fn base_slowness(runner: usize) -> f64 {
    1.0 / [0.6, 1.0, 1.6][runner % 3]
}

/// Three speeds; 15 in 100 of the time a runner takes 2.5 times as long.
fn noisy(runner: usize, at_ms: f64, _streams: usize, seed: u64) -> f64 {
    let period = (at_ms / 600.0) as u64;
    let mut draw = Draw(seed ^ (runner as u64 * 7_919 + period * 104_729));
    let is_slow = draw.next() < 0.15;
    base_slowness(runner) * if is_slow { 2.5 } else { 1.0 }
}

/// Equal runners, of which the first third slows down at half of its slots.
fn slow_when_half_full(runner: usize, _at_ms: f64, streams: usize, _seed: u64) -> f64 {
    if runner.is_multiple_of(3) && streams > 24 {
        2.5
    } else {
        1.0
    }
}

/// Three speeds; runner 2, a fast one, has half of its speed from 10 to 20 s.
fn halves_and_returns(runner: usize, at_ms: f64, _streams: usize, _seed: u64) -> f64 {
    let is_halved = runner == 2 && (10_000.0..20_000.0).contains(&at_ms);
    base_slowness(runner) * if is_halved { 2.0 } else { 1.0 }
}

struct Replay {
    knowledge: Knowledge,
    slowness: Slowness,
    seed: u64,
    begun: Instant,
    draw: Draw,
    waiting: Vec<Request>,
    runners: Vec<Runner>,
    nodes: Vec<Node>,
    outcome: Outcome,
    /// The requests sent to runner 2, by second.
    to_changing: Vec<u32>,
}

impl Replay {
    fn new(knowledge: Knowledge, slowness: Slowness, seed: u64) -> Self {
        let node = || Node {
            speeds: (0..RUNNERS).map(|_| RunnerSpeed::default()).collect(),
            unreported: vec![(0, 0.0); RUNNERS],
            ..Node::default()
        };
        Self {
            knowledge,
            slowness,
            seed,
            begun: Instant::now(),
            draw: Draw(seed),
            waiting: Vec::new(),
            runners: (0..RUNNERS).map(|_| Runner::default()).collect(),
            nodes: (0..NODES).map(|_| node()).collect(),
            outcome: Outcome {
                by_runner: vec![0; RUNNERS],
                ..Outcome::default()
            },
            to_changing: vec![0; 40],
        }
    }

    fn run(mut self, span_s: f64) -> Self {
        let (mut arrival_ms, mut report_at_ms) = (0.0, 0.0);
        for tick in 0..(span_s * 1_000.0 / TICK_MS) as u32 {
            let now_ms = f64::from(tick) * TICK_MS;
            self.advance(now_ms);
            if now_ms >= report_at_ms {
                report_at_ms += REPORT_INTERVAL_MS;
                self.report(now_ms);
                if self.knowledge == Knowledge::Learned {
                    self.report_speeds(now_ms);
                }
            }
            while arrival_ms <= now_ms {
                let request = self.request(arrival_ms);
                self.waiting.push(request);
                arrival_ms += self.draw.exponential() * 1_000.0 / REQUESTS_PER_S;
            }
            for request in std::mem::take(&mut self.waiting) {
                self.dispatch(request, now_ms);
            }
        }
        self
    }

    fn instant(&self, at_ms: f64) -> Instant {
        self.begun + Duration::from_secs_f64(at_ms / 1_000.0)
    }

    fn report(&mut self, now_ms: f64) {
        for runner in &mut self.runners {
            let unread: f64 = runner.streams.iter().map(|s| s.unread_tokens).sum();
            let total = TotalLoad {
                requests: runner.streams.len() as u32,
                kv_tokens: runner.streams.iter().map(|s| s.kv_tokens).sum(),
                prefill_tokens: unread as u64,
            };
            runner.reported = (total, runner.recent_tokens(now_ms), now_ms);
        }
        for node in &mut self.nodes {
            node.unreported.fill((0, 0.0));
        }
    }

    /// Tells four peers of each node how slow the runners of its streams are.
    fn report_speeds(&mut self, now_ms: f64) {
        let now = self.instant(now_ms);
        for from in 0..NODES {
            let speeds = self.nodes[from].speeds.iter().enumerate();
            let reports = speeds.filter_map(|(runner, speed)| Some((runner, speed.report(now)?)));
            let reports: Vec<_> = reports.collect();
            for _ in 0..4 {
                let to = (self.draw.next() * NODES as f64) as usize;
                for (runner, log_slowness) in reports.iter().filter(|_| to != from) {
                    self.nodes[to].speeds[*runner].record_report(*log_slowness, now);
                }
            }
        }
    }

    fn request(&mut self, arrived_at_ms: f64) -> Request {
        let prompt = (self.draw.exponential() * 900.0 + 200.0).min(3_790.0) as u64;
        let events = (self.draw.exponential() * 36.0 + 4.0).min(150.0) as u32;
        let output_tokens = events * TOKENS_PER_EVENT;
        Request {
            node: (self.draw.next() * NODES as f64) as usize,
            needs: RunnerRequirements {
                prompt_tokens: prompt,
                kv_tokens: prompt + u64::from(output_tokens),
                kv_capacity_tokens: Some(94_811),
                pace_budget_tokens: 3_900,
                most_urgent: false,
            },
            output_tokens,
            first_runner: (self.draw.next() * RUNNERS as f64) as usize,
            arrived_at_ms,
        }
    }

    /// Sends a request to the runner of the lowest cost, or lets it wait.
    fn dispatch(&mut self, request: Request, now_ms: f64) {
        let now = self.instant(now_ms);
        let mut best: Option<(usize, f64)> = None;
        // Models lie on some of the runners each.
        for step in 0..9 {
            let runner = (request.first_runner + step * 4 + step / 2) % RUNNERS;
            let drawn = (self.draw.next(), self.draw.next());
            let cost = self.cost(&request, runner, drawn, now_ms, now);
            if let Some(cost) = cost.filter(|cost| best.is_none_or(|(_, least)| *cost < least)) {
                best = Some((runner, cost));
            }
        }
        let waited_ms = now_ms - request.arrived_at_ms;
        let Some((chosen, _)) = best else {
            match waited_ms < FIRST_TARGET_MS {
                true => self.waiting.push(request),
                false => {
                    (self.outcome.late, self.outcome.ended) =
                        (self.outcome.late + 1, self.outcome.ended + 1)
                }
            }
            return;
        };
        self.outcome.ended += 1;
        self.outcome.by_runner[chosen] += 1;
        self.outcome.waited_ms += waited_ms;
        if chosen == 2 {
            self.to_changing[(now_ms / 1_000.0) as usize] += 1;
        }
        let prompt = request.needs.prompt_tokens as f64;
        let (requests, tokens) = &mut self.nodes[request.node].unreported[chosen];
        (*requests, *tokens) = (*requests + 1, *tokens + prompt);
        let runner = &mut self.runners[chosen];
        runner.recent = (runner.recent_tokens(now_ms) + prompt, now_ms);
        runner.streams.push(Stream {
            node: request.node,
            unread_tokens: prompt,
            kv_tokens: request.needs.kv_tokens,
            tokens_left: request.output_tokens,
            tokens_made: 0,
            event_at_ms: request.arrived_at_ms,
            pace: StreamPace::default(),
            is_late: false,
        });
    }

    /// Returns the cost of a runner as a node sees it by the last report.
    fn cost(
        &self,
        request: &Request,
        runner: usize,
        (drawn, share): (f64, f64),
        now_ms: f64,
        now: Instant,
    ) -> Option<f64> {
        let (node, needs) = (&self.nodes[request.node], &request.needs);
        let (mut total, recent, reported_ms) = self.runners[runner].reported;
        let (own_requests, own_tokens) = node.unreported[runner];
        total.requests += own_requests;
        total.prefill_tokens += own_tokens as u64;
        let decay = (-(now_ms - reported_ms) / 125.0).exp();
        let unseen = share * needs.prompt_tokens as f64;
        let candidate = Candidate {
            slots: 48,
            own_requests,
            total,
            recent_prompt_tokens: (recent * decay + own_tokens + unseen) as u64,
            cached_tokens: 0,
            same_zone: true,
            cold: false,
            slowness: match self.knowledge {
                Knowledge::Nothing => 1.0,
                Knowledge::LearnedAlone | Knowledge::Learned => node.speeds[runner].slowness(now),
                Knowledge::Oracle => base_slowness(runner),
            },
        };
        let is_uneven = match self.knowledge {
            Knowledge::Nothing => false,
            Knowledge::LearnedAlone | Knowledge::Learned => node.spread.is_uneven(),
            Knowledge::Oracle => true,
        };
        match is_uneven {
            true => uneven_cost_ms(needs, &candidate, drawn),
            false => cost_ms(needs, &candidate).map(|cost| cost + drawn * 5.0),
        }
    }

    /// Lets all runners work until an instant.
    fn advance(&mut self, until_ms: f64) {
        for position in 0..RUNNERS {
            while self.runners[position].now_ms < until_ms {
                if self.runners[position].streams.is_empty() {
                    self.runners[position].now_ms = until_ms;
                    break;
                }
                self.step(position);
            }
        }
    }

    /// Runs one step of a runner's engine: a chunk of prompts and a token of each stream.
    fn step(&mut self, position: usize) {
        let begun = self.begun;
        let runner = &mut self.runners[position];
        let count = runner.streams.len();
        let slowness = (self.slowness)(position, runner.now_ms, count, self.seed);
        let mut chunk = CHUNK_TOKENS;
        for stream in &mut runner.streams {
            let read = stream.unread_tokens.min(chunk);
            stream.unread_tokens -= read;
            chunk -= read;
        }
        let read_ms = (CHUNK_TOKENS - chunk) / PREFILL_TOKENS_PER_MS;
        runner.now_ms += (6.8 + 0.034 * count as f64 + read_ms) * slowness;
        let now_ms = runner.now_ms;
        let now = begun + Duration::from_secs_f64(now_ms / 1_000.0);
        for stream in &mut runner.streams {
            if stream.unread_tokens > 0.0 || stream.tokens_left == 0 {
                continue;
            }
            stream.tokens_left -= 1;
            stream.tokens_made += 1;
            if stream.tokens_made % TOKENS_PER_EVENT != 1 && stream.tokens_left > 0 {
                continue;
            }
            let is_first = stream.tokens_made == 1;
            let target_ms = if is_first {
                FIRST_TARGET_MS
            } else {
                GAP_TARGET_MS
            };
            stream.is_late |= now_ms - stream.event_at_ms > target_ms;
            stream.event_at_ms = now_ms;
            if let Some(usual_gap) = stream.pace.record_event(now) {
                let node = &mut self.nodes[stream.node];
                let speed = &mut node.speeds[position];
                node.paces.record(&"m0".into(), speed, usual_gap, now);
                node.spread
                    .update(node.speeds.iter_mut(), &mut node.paces, now);
            }
        }
        let late = runner
            .streams
            .iter()
            .filter(|s| s.tokens_left == 0 && s.is_late);
        self.outcome.late += late.count() as u32;
        runner.streams.retain(|stream| stream.tokens_left > 0);
    }
}

impl Runner {
    fn recent_tokens(&self, now_ms: f64) -> f64 {
        self.recent.0 * (-(now_ms - self.recent.1) / 125.0).exp()
    }
}

fn late_share(knowledge: Knowledge, slowness: Slowness) -> f64 {
    let shares = (7..9).map(|seed| {
        let replay = Replay::new(knowledge, slowness, seed).run(20.0);
        replay.outcome.late_share()
    });
    let share = shares.sum::<f64>() / 2.0;
    println!("{knowledge:?}: {share:.4}");
    share
}

#[test]
fn learned_speeds_serve_as_well_as_known_ones() {
    let blind = late_share(Knowledge::Nothing, noisy);
    let learned = late_share(Knowledge::Learned, noisy);
    let oracle = late_share(Knowledge::Oracle, noisy);
    assert!(learned < oracle * 1.2, "{learned} {oracle}");
    assert!(learned < blind * 0.75, "{learned} {blind}");
}

#[test]
fn a_node_without_reports_of_its_peers_learns_alone() {
    let blind = late_share(Knowledge::Nothing, noisy);
    let alone = late_share(Knowledge::LearnedAlone, noisy);
    let oracle = late_share(Knowledge::Oracle, noisy);
    assert!(alone < oracle * 1.2, "{alone} {oracle}");
    assert!(alone < blind * 0.9, "{alone} {blind}");
}

#[test]
fn a_runner_that_slows_at_half_of_its_slots_does_no_harm() {
    let blind = late_share(Knowledge::Nothing, slow_when_half_full);
    let learned = late_share(Knowledge::Learned, slow_when_half_full);
    assert!(learned <= blind + 0.01, "{learned} {blind}");
}

#[test]
fn a_change_of_speed_is_followed_within_3_s() {
    let replay = Replay::new(Knowledge::Learned, halves_and_returns, 7).run(34.0);
    let rate = |seconds: std::ops::Range<usize>| {
        let count = seconds.len() as f64;
        f64::from(replay.to_changing[seconds].iter().sum::<u32>()) / count
    };
    let (before, halved, after) = (rate(4..10), rate(13..20), rate(23..34));
    assert!(halved < before * 0.8, "{before} {halved} {after}");
    assert!(after > halved * 1.25, "{before} {halved} {after}");
    let fewest = replay.outcome.by_runner.iter().min();
    assert!(
        fewest.is_some_and(|requests| *requests >= 30),
        "none starves"
    );
}

#[test]
fn runners_of_the_same_speed_are_not_taken_for_different() {
    let equal: Slowness = |_, _, _, _| 1.0;
    let replay = Replay::new(Knowledge::Learned, equal, 7).run(20.0);
    let uneven = replay.nodes.iter().filter(|node| node.spread.is_uneven());
    assert_eq!(uneven.count(), 0);
}
