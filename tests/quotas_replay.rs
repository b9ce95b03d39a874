//! Quotas over many nodes, replayed on pure state: uneven demand, failures, and limits that change.

use {
    greengagetrail::{
        quotas::{
            ANSWER_TTL, AllowanceAnswer, HomeLedger, HomeList, HomeShare, LeasedAllowance,
            QuotaBounds, SpendDecision,
        },
        traffic::NodeName,
        workspaces::{Quota, QuotaUnit, WorkspaceName},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::Instant,
};

const BOUNDS: QuotaBounds = QuotaBounds {
    window_s: 8.0,
    overage: 0.1,
    slack: 11_000.0,
};

const STEP: Duration = Duration::from_millis(5);

/// How long a registration outlives its node.
const LEASE: Duration = Duration::from_secs(3);

/// How late a node hears of a changed list at most, in steps.
const LIST_LAG_STEPS: u64 = 100;

fn quota(rate_per_s: f64) -> Quota {
    Quota {
        unit: QuotaUnit::Requests,
        rate_per_s,
        burst: rate_per_s,
    }
}

/// One node: as a home, as a spender, and as the others see it.
struct Node {
    name: NodeName,
    ledger: HomeLedger,
    leased: LeasedAllowance,
    /// Until when the process does nothing; it begins anew afterwards if it was killed.
    gone: Option<(Instant, Loss)>,
    lost_at: Instant,
    list_due: Option<(u64, Vec<NodeName>)>,
}

#[derive(Clone, Copy, PartialEq)]
enum Loss {
    Kill,
    Freeze,
    /// The store is out of reach, other nodes are not.
    Cut,
}

struct Replay {
    now: Instant,
    step: u64,
    quota: Quota,
    workspace: WorkspaceName,
    nodes: Vec<Node>,
    listed: Vec<NodeName>,
    /// When and how much reached runners.
    spent: Vec<(Instant, u64)>,
    refused: u64,
    rng: StdRng,
}

impl Replay {
    fn new(nodes: usize, rate_per_s: f64, seed: u64) -> Self {
        let now = Instant::now();
        let names: Vec<NodeName> = (0..nodes)
            .map(|n| format!("n{n}").as_str().into())
            .collect();
        let node = |name: &NodeName| Node {
            name: name.clone(),
            ledger: HomeLedger::new(HomeList::new(name, &names), now),
            leased: LeasedAllowance::new(now),
            gone: None,
            lost_at: now,
            list_due: None,
        };
        Self {
            now,
            step: 0,
            quota: quota(rate_per_s),
            workspace: "w".into(),
            nodes: names.iter().map(node).collect(),
            listed: names.clone(),
            spent: Vec::new(),
            refused: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Lets the time of `STEP` pass.
    fn advance(&mut self) {
        self.now += STEP;
        self.step += 1;
        for at in 0..self.nodes.len() {
            self.end_loss(at);
        }
        let now = self.now;
        let is_listed = |node: &&Node| node.gone.is_none() || now < node.lost_at + LEASE;
        let listed = self.nodes.iter().filter(is_listed);
        let listed: Vec<_> = listed.map(|node| node.name.clone()).collect();
        if listed != self.listed {
            self.listed = listed;
            for at in 0..self.nodes.len() {
                let lag = self.rng.random_range(0..LIST_LAG_STEPS);
                self.nodes[at].list_due = Some((self.step + lag, self.listed.clone()));
            }
        }
        for node in &mut self.nodes {
            let is_due = matches!(&node.list_due, Some((step, _)) if *step <= self.step);
            if is_due && node.gone.is_none() {
                let Some((_, names)) = node.list_due.take() else {
                    continue;
                };
                let list = HomeList::new(&node.name, &names);
                node.ledger.set_list(list, self.now);
            }
        }
    }

    fn end_loss(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if let Some((until, loss)) = node.gone
            && until <= self.now
        {
            node.gone = None;
            // Others were homes in its place once its lease had ended.
            if self.now >= node.lost_at + LEASE {
                node.ledger.forget(self.now);
            }
            if loss == Loss::Kill {
                let list = HomeList::new(&node.name, &self.listed);
                node.ledger = HomeLedger::new(list, self.now);
                node.leased = LeasedAllowance::new(self.now);
            }
        }
    }

    fn lose(&mut self, at: usize, loss: Loss, length: Duration) {
        if self.nodes[at].gone.is_none() {
            self.nodes[at].gone = Some((self.now + length, loss));
            self.nodes[at].lost_at = self.now;
        }
    }

    /// Returns whether a node answers as a home: it runs, and its lease has not ended.
    fn may_grant(&self, at: usize) -> bool {
        self.runs(at)
            && (self.nodes[at].gone.is_none() || self.now < self.nodes[at].lost_at + LEASE)
    }

    /// Returns whether a node's process runs.
    fn runs(&self, at: usize) -> bool {
        self.nodes[at]
            .gone
            .is_none_or(|(_, loss)| loss == Loss::Cut)
    }

    fn request(&mut self, at: usize, amount: u64) {
        if !self.runs(at) {
            return;
        }
        let decision = self.nodes[at].leased.spend(amount, self.now);
        let granted = match decision {
            SpendDecision::Spent(_, refill) => {
                if let Some(spare) = refill {
                    let homes = self.nodes[at].ledger.list().homes_to_ask(&self.workspace);
                    self.ask(at, &homes[..1], 0, spare);
                    self.nodes[at].leased.end_refill();
                }
                true
            }
            SpendDecision::Refuse(_) => false,
            SpendDecision::Ask(most) => {
                let homes = self.nodes[at].ledger.list().homes_to_ask(&self.workspace);
                self.ask(at, &homes, amount, most)
            }
        };
        match granted {
            true => self.spent.push((self.now, amount)),
            false => self.refused += amount,
        }
    }

    /// Asks homes in turn; returns whether one granted.
    fn ask(&mut self, at: usize, homes: &[NodeName], least: u64, most: u64) -> bool {
        let mut waits = Vec::new();
        for home in homes {
            let position = self.nodes.iter().position(|node| node.name == *home);
            let home = position.unwrap();
            if !self.may_grant(home) {
                continue;
            }
            let count = self.nodes[home].ledger.list().home_count();
            let share = HomeShare::of(&self.quota, &BOUNDS, count);
            let (workspace, now) = (&self.workspace, self.now);
            let home = &mut self.nodes[home].ledger;
            let answer = home.take(workspace, least, most, &share, now);
            match answer.map(|answer| answer.answer) {
                Some(AllowanceAnswer::Granted(amount)) => {
                    let leased = &mut self.nodes[at].leased;
                    leased.credit(amount, least, least, now);
                    return true;
                }
                Some(AllowanceAnswer::Denied(wait)) => waits.push(wait),
                None => {}
            }
        }
        if let Some(wait) = waits.iter().min() {
            let now = self.now;
            self.nodes[at].leased.record_denied(least, *wait, now);
        }
        false
    }

    /// Sends requests of the mean `size` at `per_s` over nodes, the first ones more often.
    fn load(&mut self, per_s: f64, size: u64, skew: f64) {
        let mut expected = per_s * STEP.as_secs_f64();
        while self.rng.random::<f64>() < expected {
            expected -= 1.0;
            let place = self.rng.random::<f64>().powf(skew);
            let at = (place * self.nodes.len() as f64) as usize;
            let amount = self.rng.random_range(size / 2..size * 3 / 2);
            self.request(at, amount);
        }
    }

    /// Returns the largest amount that was spent in any window.
    fn worst_window(&self) -> u64 {
        let window = Duration::from_secs_f64(BOUNDS.window_s);
        let (mut first, mut sum, mut worst) = (0, 0, 0);
        for (at, amount) in &self.spent {
            sum += amount;
            while self.spent[first].0 + window < *at {
                sum -= self.spent[first].1;
                first += 1;
            }
            worst = worst.max(sum);
        }
        worst
    }

    fn bound(&self) -> f64 {
        let allowed = self.quota.rate_per_s * BOUNDS.window_s + self.quota.burst;
        allowed + BOUNDS.excess(&self.quota)
    }

    fn spent_since(&self, from: Instant) -> u64 {
        let spent = self.spent.iter().filter(|(at, _)| *at >= from);
        spent.map(|(_, amount)| amount).sum()
    }
}

fn steps(length_s: u64) -> u64 {
    length_s * 1_000 / STEP.as_millis() as u64
}

#[test]
fn uneven_demand_over_70_nodes_uses_the_quota_and_not_more() {
    for (seed, rate, skew) in [(1, 390_000.0, 1.0), (2, 390_000.0, 4.0), (3, 24_000.0, 1.0)]
        .into_iter()
        .chain([(4, 24_000.0, 4.0), (5, 145_000.0, 12.0), (6, 8_000.0, 1.0)])
    {
        let mut replay = Replay::new(70, rate, seed);
        for _ in 0..steps(4) {
            replay.advance();
        }
        // Half of the quota: nothing is refused.
        for _ in 0..steps(10) {
            replay.advance();
            replay.load(0.55 * rate / 2_000.0, 2_000, skew);
        }
        let asked = replay.spent_since(replay.now - Duration::from_secs(10)) + replay.refused;
        assert!(
            replay.refused * 200 <= asked,
            "seed {seed}: {}",
            replay.refused
        );
        // Three times the quota: it is used, and not exceeded.
        for _ in 0..steps(20) {
            replay.advance();
            replay.load(3.0 * rate / 2_000.0, 2_000, skew);
        }
        let used = replay.spent_since(replay.now - Duration::from_secs(16)) as f64 / 16.0;
        assert!(used >= 0.95 * rate, "seed {seed}: {used} of {rate}");
        let worst = replay.worst_window() as f64;
        assert!(worst <= replay.bound(), "seed {seed}: {worst}");
    }
}

#[test]
fn no_window_exceeds_the_bound_while_nodes_are_killed_cut_and_frozen() {
    for seed in 0..60 {
        let rate = [8_000.0, 24_000.0, 145_000.0, 390_000.0][seed as usize % 4];
        let mut replay = Replay::new(70, rate, seed);
        let factor = replay.rng.random_range(0.6..7.0);
        for second in 0..40 {
            let homes = replay.nodes[0]
                .ledger
                .list()
                .homes_to_ask(&replay.workspace);
            for at in 0..replay.nodes.len() {
                // Homes fail most often; every fifth second any number of nodes does at once.
                let is_home = homes.contains(&replay.nodes[at].name);
                let odds = match (second % 5, is_home) {
                    (0, _) => 0.01 * (seed % 3 * 40) as f64,
                    (_, true) => 0.2,
                    (_, false) => 0.01,
                };
                if replay.rng.random::<f64>() < odds {
                    let losses = [Loss::Kill, Loss::Freeze, Loss::Cut];
                    let loss = losses[replay.rng.random_range(0..3)];
                    let length = Duration::from_millis(replay.rng.random_range(300..9_000));
                    replay.lose(at, loss, length);
                }
            }
            for _ in 0..steps(1) {
                replay.advance();
                replay.load(factor * rate / 2_000.0, 2_000, 1.5);
            }
        }
        let worst = replay.worst_window() as f64;
        assert!(
            worst <= replay.bound(),
            "seed {seed}: {worst} of {}",
            replay.bound()
        );
    }
}

#[test]
fn all_nodes_are_killed_at_once_and_serve_again_within_the_bound() {
    for (seed, rate) in [(1, 24_000.0), (2, 390_000.0), (3, 8_000.0)] {
        let mut replay = Replay::new(70, rate, seed);
        for second in 0..24 {
            if second == 10 {
                for at in 0..70 {
                    replay.lose(at, Loss::Kill, Duration::from_secs(1));
                }
            }
            for _ in 0..steps(1) {
                replay.advance();
                replay.load(4.0 * rate / 2_000.0, 2_000, 1.0);
            }
        }
        let after = replay.spent_since(replay.now - Duration::from_secs(13));
        assert!(after as f64 >= 12.0 * rate, "seed {seed}: {after}");
        assert!(
            replay.worst_window() as f64 <= replay.bound(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_lower_limit_binds_one_window_after_all_nodes_have_it() {
    for seed in 0..10 {
        let mut replay = Replay::new(70, 300_000.0, seed);
        for _ in 0..steps(10) {
            replay.advance();
            replay.load(600.0, 2_000, 1.5);
        }
        replay.quota = quota(60_000.0);
        for _ in 0..steps(8) {
            replay.advance();
            replay.load(600.0, 2_000, 1.5);
        }
        replay.spent.clear();
        for _ in 0..steps(16) {
            replay.advance();
            replay.load(600.0, 2_000, 1.5);
        }
        let worst = replay.worst_window() as f64;
        assert!(worst <= replay.bound(), "seed {seed}: {worst}");
        assert!(worst >= 0.95 * 8.0 * 60_000.0, "seed {seed}: {worst}");
    }
}

#[test]
fn allowance_that_comes_late_or_is_given_back_ends_soon() {
    let now = Instant::now();
    let mut leased = LeasedAllowance::new(now);
    assert!(matches!(leased.spend(100, now), SpendDecision::Ask(most) if most >= 100));
    leased.credit(100, 100, 0, now);
    let late = now + ANSWER_TTL;
    assert!(matches!(leased.spend(100, late), SpendDecision::Ask(_)));
    leased.give_back(100, late + Duration::from_millis(1));
    assert!(matches!(leased.spend(100, late), SpendDecision::Spent(..)));
    leased.record_denied(100, Duration::from_secs(2), late);
    let Some(SpendDecision::Refuse(wait)) = Some(leased.spend(100, late)) else {
        panic!("a request after a refusal is not refused");
    };
    assert_eq!(wait, Duration::from_secs(2));
    assert!(matches!(leased.spend(99, late), SpendDecision::Ask(_)));
}
