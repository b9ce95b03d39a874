//! One workspace sends many times its usual while there is too little room: what the others get.

use {
    greengagetrail::{
        quotas::fair_level,
        workspaces::{
            FairShare::{Beyond, Within},
            PriorityRanks, Quota, QuotaUnit, Workspace,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

const WORKSPACES: usize = 16;

/// The usual demand relative to the quota.
const USUAL: f64 = 0.55;

fn workspaces() -> Vec<Workspace> {
    let workspace = |at: usize| Workspace {
        name: format!("w{at}").as_str().into(),
        keys: Vec::new(),
        priority: Some(1),
        quota: Some(Quota {
            unit: QuotaUnit::Requests,
            rate_per_s: quota_per_s(at),
            burst: quota_per_s(at),
        }),
    };
    (0..WORKSPACES).map(workspace).collect()
}

/// A few large workspaces and many small ones.
fn quota_per_s(at: usize) -> f64 {
    300.0 / (at + 1) as f64
}

/// Replays 200 rounds of arrivals that wait in a queue by rank, with room for `room` of the usual
/// demand; each request waits two rounds at most. Returns the share served of each workspace.
fn served(hot: Option<(usize, f64)>, room: f64, seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let ranks = PriorityRanks::new(&workspaces(), [0, 2]);
    let demand = |at: usize| match hot {
        // The quota bounds what a workspace may ask for.
        Some((which, times)) if which == at => (USUAL * times).min(1.0),
        _ => USUAL,
    };
    let demands: Vec<f64> = (0..WORKSPACES).map(demand).collect();
    let level = fair_level(demands.clone()).unwrap();
    let usual: f64 = (0..WORKSPACES).map(|at| USUAL * quota_per_s(at)).sum();
    let (mut asked, mut got) = ([0.0; WORKSPACES], [0.0; WORKSPACES]);
    let mut queue: Vec<(u8, u32, u64, usize, f64)> = Vec::new();
    for round in 0..200 {
        for at in 0..WORKSPACES {
            let arrivals = demands[at] * quota_per_s(at) / 10.0;
            let arrivals = arrivals as usize + usize::from(rng.random::<f64>() < arrivals.fract());
            for _ in 0..arrivals {
                let share = match demands[at] * rng.random::<f64>() > level {
                    true => Beyond,
                    false => Within,
                };
                let route = [0, 2][usize::from(rng.random::<f64>() < 0.2)];
                let rank = ranks.rank(Some(1), route, share).queue;
                let tokens = rng.random_range(0.5..1.5);
                asked[at] += tokens;
                queue.push((rank, round, rng.random(), at, tokens));
            }
        }
        queue.retain(|(_, arrived, ..)| round - arrived < 2);
        queue.sort_by_key(|waiting| (waiting.0, waiting.1, waiting.2));
        let mut left = usual * room / 10.0;
        let taken = queue.iter().take_while(|request| {
            left -= request.4;
            left > 0.0
        });
        let taken = taken.count();
        for request in queue.drain(..taken) {
            got[request.3] += request.4;
        }
    }
    (0..WORKSPACES).map(|at| got[at] / asked[at]).collect()
}

#[test]
fn the_others_get_as_much_beside_a_hot_workspace_as_without_it() {
    for seed in 0..12 {
        let hot = (seed as usize % 4, 3.0 + seed as f64 / 3.0);
        let room = [0.7, 0.9, 1.0][seed as usize % 3];
        let (without, with) = (served(None, room, seed), served(Some(hot), room, seed));
        let others = |served: &[f64]| {
            let rest = (0..WORKSPACES).filter(|at| *at != hot.0);
            rest.map(|at| served[at] * quota_per_s(at)).sum::<f64>()
                / (0..WORKSPACES)
                    .filter(|at| *at != hot.0)
                    .map(quota_per_s)
                    .sum::<f64>()
        };
        let (without, others) = (others(&without), others(&with));
        assert!(
            others >= without - 0.05,
            "seed {seed}: {others} of {without}"
        );
        let mean = with.iter().sum::<f64>() / WORKSPACES as f64;
        let least = with.iter().copied().fold(1.0, f64::min);
        assert!(least >= mean / 4.0, "seed {seed}: {least} of {mean}");
    }
}

#[test]
fn no_workspace_is_beyond_its_share_if_all_send_more_or_few_send() {
    let level = fair_level(vec![1.0; 5]).unwrap();
    assert!(level >= 1.0);
    assert_eq!(fair_level(vec![0.1, 3.0]), None);
    assert!(fair_level(vec![0.5, 3.0, 0.6]).unwrap() < 1.0);
}
