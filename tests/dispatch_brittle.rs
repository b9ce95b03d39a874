//! Runners that fall over when they reject too many requests within a second.

mod common {
    pub mod registry_rig;
}

use {
    common::registry_rig::{Rig, generation_request, rig_in, runner},
    futures::FutureExt,
    greengagetrail::{
        dispatch::{Assignment, AttemptOutcome, NodeList},
        traffic::NodeName,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::{Instant, advance},
};

const RUNNERS: usize = 6;
const SLOTS: u32 = 16;
/// The rejections in a second that a runner bears.
const BEARS: u32 = 4;
const STEP: Duration = Duration::from_millis(10);
const GOSSIP_INTERVAL_MS: u64 = 30;
/// The time after which nodes must heed what runners say.
const CONTACT: Duration = Duration::from_secs(3);

struct Run {
    node: usize,
    runner: usize,
    assignment: Assignment,
    ends_at: Instant,
    is_rejected: bool,
}

/// Nodes that share runners which bear few rejections.
struct BrittleRig {
    rng: StdRng,
    nodes: Vec<Rig>,
    runs: Vec<Run>,
    rejected: Vec<Vec<Instant>>,
    served: usize,
    falls: usize,
}

impl BrittleRig {
    fn new(seed: u64, nodes: usize) -> Self {
        let entries: Vec<_> = (0..RUNNERS)
            .map(|number| {
                let mut entry = runner(&format!("r{number}"), &[("m1", &[])]);
                entry.slots = SLOTS;
                entry
            })
            .collect();
        let names: Vec<NodeName> = (0..nodes)
            .map(|node| format!("n{node}").as_str().into())
            .collect();
        let rigs = names.iter().map(|own| {
            let node = rig_in("east", entries.clone(), 1_000_000);
            let others = names.iter().filter(|name| *name != own);
            node.registry.set_nodes(NodeList {
                own: Some(own.clone()),
                others: others.cloned().collect(),
                is_unread: false,
            });
            node
        });
        Self {
            rng: StdRng::seed_from_u64(seed),
            nodes: rigs.collect(),
            runs: Vec::new(),
            rejected: vec![Vec::new(); RUNNERS],
            served: 0,
            falls: 0,
        }
    }

    /// Runs with a load of all nodes together; a runner takes `SLOTS` requests and no more.
    async fn run(&mut self, span: Duration, requests_per_s: f64, counts: bool) {
        let until = Instant::now() + span;
        let mut step = 0;
        while Instant::now() < until {
            advance(STEP).await;
            step += 1;
            if step % (GOSSIP_INTERVAL_MS / 10) == 0 {
                self.exchange_reports(step % 510 == 0);
            }
            let requests = requests_per_s * STEP.as_secs_f64();
            let requests = requests as u32 + u32::from(self.rng.random_bool(requests.fract()));
            for _ in 0..requests {
                self.send(counts);
            }
            self.end_runs();
        }
    }

    fn send(&mut self, counts: bool) {
        let now = Instant::now();
        let node = self.rng.random_range(0..self.nodes.len());
        let request = generation_request("m1");
        let assigned = self.nodes[node].dispatcher.assign(&request).now_or_never();
        let Some(Ok(assignment)) = assigned else {
            return;
        };
        let runner: usize = assignment.runner.key.id.as_str()[1..].parse().unwrap();
        let running = self.runs.iter();
        let running = running.filter(|run| run.runner == runner && !run.is_rejected);
        let is_rejected = running.count() >= SLOTS as usize;
        if is_rejected {
            let second = Duration::from_secs(1);
            let rejected = &mut self.rejected[runner];
            rejected.retain(|at| now < *at + second);
            rejected.push(now);
            if counts && rejected.len() > BEARS as usize {
                self.falls += 1;
                rejected.clear();
            }
        }
        let length_ms = match is_rejected {
            true => 10,
            false => self.rng.random_range(600..1_800),
        };
        self.runs.push(Run {
            node,
            runner,
            assignment,
            ends_at: now + Duration::from_millis(length_ms),
            is_rejected,
        });
    }

    fn end_runs(&mut self) {
        let now = Instant::now();
        let ended: Vec<_> = self.runs.extract_if(.., |run| now >= run.ends_at).collect();
        for run in ended {
            assert!(run.node < self.nodes.len());
            run.assignment.record_brittleness(Some(BEARS));
            self.served += usize::from(!run.is_rejected);
            run.assignment.finish(match run.is_rejected {
                true => AttemptOutcome::Shed,
                false => AttemptOutcome::Complete,
            });
        }
    }

    fn exchange_reports(&mut self, is_full: bool) {
        for from in 0..self.nodes.len() {
            let report = self.nodes[from].registry.collect_report(is_full);
            let name: NodeName = format!("n{from}").as_str().into();
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                self.nodes[to]
                    .registry
                    .apply_peer_report(&name, report.clone());
            }
        }
    }
}

// Guards against runners that fall over one after the other under a burst.
#[tokio::test(start_paused = true)]
async fn brittle_runners_do_not_fall_over_under_a_burst() {
    for nodes in [1, 7, 24] {
        for seed in 0..3 {
            let mut rig = BrittleRig::new(seed, nodes);
            rig.run(CONTACT, 40.0, false).await;
            // The runners take about 80 requests a second.
            rig.run(Duration::from_secs(10), 300.0, true).await;
            // In one such time a tenth of the runners and two more may fall.
            let allowed = 2 + RUNNERS / 10;
            assert!(
                rig.falls <= allowed,
                "seed {seed}, {nodes} nodes: {} falls, {allowed} allowed",
                rig.falls
            );
            assert!(
                rig.served > 300,
                "seed {seed}, {nodes} nodes: {}",
                rig.served
            );
        }
    }
}
