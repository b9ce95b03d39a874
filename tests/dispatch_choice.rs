//! The cost of sending a request to a runner, and the estimated prefix cache.

use greengagetrail::{
    dispatch::{
        Candidate, PrefixCacheEstimate, PromptChain, RunnerRequirements, TotalLoad, cost_ms,
    },
    relay::{Generation, PromptPart},
};

const ENGINE: RunnerRequirements = RunnerRequirements {
    prompt_tokens: 1_000,
    kv_tokens: 1_200,
    kv_capacity_tokens: Some(50_000),
    pace_budget_tokens: 4_500,
    most_urgent: false,
};

const PLAIN: RunnerRequirements = RunnerRequirements {
    prompt_tokens: 0,
    kv_tokens: 0,
    kv_capacity_tokens: None,
    pace_budget_tokens: 0,
    most_urgent: false,
};

fn candidate(requests: u32) -> Candidate {
    Candidate {
        slots: 8,
        own_requests: requests,
        total: TotalLoad {
            requests,
            kv_tokens: u64::from(requests) * 1_200,
            prefill_tokens: 0,
        },
        recent_prompt_tokens: 0,
        cached_tokens: 0,
        same_zone: true,
        cold: false,
        slowness: 1.0,
    }
}

fn cost(need: &RunnerRequirements, candidate: Candidate) -> f64 {
    cost_ms(need, &candidate).unwrap()
}

#[test]
fn less_load_costs_less() {
    assert!(cost(&ENGINE, candidate(1)) < cost(&ENGINE, candidate(5)));
    assert!(cost(&PLAIN, candidate(0)) < cost(&PLAIN, candidate(1)));
    let mut reading = candidate(1);
    reading.total.prefill_tokens = 3_000;
    assert!(cost(&ENGINE, candidate(5)) < cost(&ENGINE, reading));
}

#[test]
fn another_zone_a_cold_start_and_slowness_cost() {
    let same = cost(&ENGINE, candidate(2));
    let far = Candidate {
        same_zone: false,
        ..candidate(2)
    };
    let cold = Candidate {
        cold: true,
        ..candidate(2)
    };
    let slow = Candidate {
        slowness: 2.0,
        ..candidate(2)
    };
    assert!(same < cost(&ENGINE, far));
    assert!(same < cost(&ENGINE, cold));
    assert!(same < cost(&ENGINE, slow));
    assert!(cost(&ENGINE, far) < cost(&ENGINE, candidate(7)) + 50.0);
}

#[test]
fn a_near_runner_yields_to_a_far_one_that_is_much_freer() {
    let far = Candidate {
        same_zone: false,
        ..candidate(0)
    };
    assert!(cost(&PLAIN, candidate(0)) < cost(&PLAIN, far));
    assert!(cost(&PLAIN, far) < cost(&PLAIN, candidate(3)));
}

#[test]
fn kept_parts_cost_no_reading() {
    let kept = Candidate {
        cached_tokens: 900,
        ..candidate(2)
    };
    let saved = cost(&ENGINE, candidate(2)) - cost(&ENGINE, kept);
    assert!((saved - 900.0 / 26.0).abs() < 0.01, "{saved}");
}

#[test]
fn full_runners_are_no_choice() {
    assert!(cost_ms(&ENGINE, &candidate(7)).is_some());
    assert_eq!(cost_ms(&ENGINE, &candidate(8)), None);
    let urgent = RunnerRequirements {
        most_urgent: true,
        ..ENGINE
    };
    assert!(cost_ms(&urgent, &candidate(8)).is_some());
    assert_eq!(cost_ms(&urgent, &candidate(9)), None);
    assert_eq!(cost_ms(&PLAIN, &candidate(8)), None);
}

#[test]
fn prompts_are_paced_unless_there_is_none() {
    let mut reading = candidate(2);
    reading.recent_prompt_tokens = 3_500;
    assert!(cost_ms(&ENGINE, &reading).is_some());
    reading.recent_prompt_tokens = 3_501;
    assert_eq!(cost_ms(&ENGINE, &reading), None);
    reading.cached_tokens = 1;
    assert!(cost_ms(&ENGINE, &reading).is_some());
    let large = RunnerRequirements {
        prompt_tokens: 9_000,
        ..ENGINE
    };
    assert!(cost_ms(&large, &candidate(2)).is_some());
    reading.recent_prompt_tokens = 2_250;
    assert!(cost_ms(&large, &reading).is_some());
    reading.recent_prompt_tokens = 2_251;
    assert_eq!(cost_ms(&large, &reading), None);
}

#[test]
fn memory_must_fit_unless_the_runner_is_empty() {
    let large = RunnerRequirements {
        kv_tokens: 49_000,
        ..ENGINE
    };
    assert_eq!(cost_ms(&large, &candidate(1)), None);
    assert!(cost_ms(&large, &candidate(0)).is_some());
}

fn generation(parts: &[(u64, u32)]) -> Generation {
    let parts = parts.iter().map(|&(id, tokens)| PromptPart { id, tokens });
    Generation {
        model: "m1".into(),
        adapter: None,
        prompt_tokens: 0,
        output_tokens_max: 0,
        output_tokens_hint: None,
        parts: parts.collect(),
    }
}

#[test]
fn parts_count_as_kept_only_after_all_parts_before_them() {
    let mut record = PrefixCacheEstimate::default();
    let read = PromptChain::of(&generation(&[(1, 100), (2, 50), (3, 10)]));
    record.record_prompt(&read, 10_000);
    let kept = |parts: &[(u64, u32)]| record.cached_tokens(&PromptChain::of(&generation(parts)));
    assert_eq!(kept(&[(1, 100), (2, 50), (4, 10)]), 150);
    assert_eq!(kept(&[(2, 50), (3, 10)]), 0);
    assert_eq!(kept(&[(1, 100), (3, 10)]), 100);
    let mut other = generation(&[(1, 100)]);
    other.adapter = Some("a1".into());
    assert_eq!(record.cached_tokens(&PromptChain::of(&other)), 0);
}

#[test]
fn the_oldest_parts_yield() {
    let mut record = PrefixCacheEstimate::default();
    let chain = |id| PromptChain::of(&generation(&[(id, 100)]));
    for id in 0..10 {
        record.record_prompt(&chain(id), 500);
        record.record_prompt(&chain(0), 500);
    }
    assert_eq!(record.cached_tokens(&chain(0)), 100);
    assert_eq!(record.cached_tokens(&chain(9)), 100);
    assert_eq!(record.cached_tokens(&chain(1)), 0);
    for id in 0..10_000 {
        record.record_prompt(&chain(id), u64::MAX);
    }
    let kept = (0..10_000).filter(|id| record.cached_tokens(&chain(*id)) > 0);
    assert!(kept.count() <= 200);
}
