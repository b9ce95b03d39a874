//! The cost of sending a request to a runner, and the estimated prefix cache.

use greengagetrail::{
    dispatch::{
        Candidate, PrefixCacheEstimate, PromptChain, RunnerRequirements, TotalLoad, cost_ms,
    },
    relay::{GenerationRequest, PromptPart},
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

fn cost(needs: &RunnerRequirements, candidate: Candidate) -> f64 {
    cost_ms(needs, &candidate).unwrap()
}

#[test]
fn less_load_costs_less() {
    assert!(cost(&ENGINE, candidate(1)) < cost(&ENGINE, candidate(5)));
    assert!(cost(&PLAIN, candidate(0)) < cost(&PLAIN, candidate(1)));
    let mut loaded = candidate(1);
    loaded.total.prefill_tokens = 3_000;
    assert!(cost(&ENGINE, candidate(5)) < cost(&ENGINE, loaded));
}

#[test]
fn another_zone_a_cold_start_and_slowness_add_cost() {
    let same = cost(&ENGINE, candidate(2));
    let remote = Candidate {
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
    assert!(same < cost(&ENGINE, remote));
    assert!(same < cost(&ENGINE, cold));
    assert!(same < cost(&ENGINE, slow));
    assert!(cost(&ENGINE, remote) < cost(&ENGINE, candidate(7)) + 50.0);
}

#[test]
fn a_local_runner_costs_more_than_a_remote_one_with_much_less_load() {
    let remote = Candidate {
        same_zone: false,
        ..candidate(0)
    };
    assert!(cost(&PLAIN, candidate(0)) < cost(&PLAIN, remote));
    assert!(cost(&PLAIN, remote) < cost(&PLAIN, candidate(3)));
}

#[test]
fn cached_parts_cost_no_prefill() {
    let cached = Candidate {
        cached_tokens: 900,
        ..candidate(2)
    };
    let saved = cost(&ENGINE, candidate(2)) - cost(&ENGINE, cached);
    assert!((saved - 900.0 / 26.0).abs() < 0.01, "{saved}");
}

#[test]
fn full_runners_are_not_candidates() {
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
fn prompts_are_paced_unless_none_was_sent_recently() {
    let mut loaded = candidate(2);
    loaded.recent_prompt_tokens = 3_500;
    assert!(cost_ms(&ENGINE, &loaded).is_some());
    loaded.recent_prompt_tokens = 3_501;
    assert_eq!(cost_ms(&ENGINE, &loaded), None);
    loaded.cached_tokens = 1;
    assert!(cost_ms(&ENGINE, &loaded).is_some());
    let large = RunnerRequirements {
        prompt_tokens: 9_000,
        ..ENGINE
    };
    assert!(cost_ms(&large, &candidate(2)).is_some());
    loaded.recent_prompt_tokens = 2_250;
    assert!(cost_ms(&large, &loaded).is_some());
    loaded.recent_prompt_tokens = 2_251;
    assert_eq!(cost_ms(&large, &loaded), None);
}

#[test]
fn memory_must_fit_unless_the_runner_is_idle() {
    let large = RunnerRequirements {
        kv_tokens: 49_000,
        ..ENGINE
    };
    assert_eq!(cost_ms(&large, &candidate(1)), None);
    assert!(cost_ms(&large, &candidate(0)).is_some());
}

fn generation(parts: &[(u64, u32)]) -> GenerationRequest {
    let parts = parts.iter().map(|&(id, tokens)| PromptPart { id, tokens });
    GenerationRequest {
        model: "m1".into(),
        adapter: None,
        prompt_tokens: 0,
        output_tokens_max: 0,
        output_tokens_hint: None,
        prompt_parts: parts.collect(),
    }
}

#[test]
fn parts_count_as_cached_only_after_all_parts_before_them() {
    let mut cache = PrefixCacheEstimate::default();
    let prompt = PromptChain::of(&generation(&[(1, 100), (2, 50), (3, 10)]));
    cache.record_prompt(&prompt, 10_000);
    let cached = |parts: &[(u64, u32)]| cache.cached_tokens(&PromptChain::of(&generation(parts)));
    assert_eq!(cached(&[(1, 100), (2, 50), (4, 10)]), 150);
    assert_eq!(cached(&[(2, 50), (3, 10)]), 0);
    assert_eq!(cached(&[(1, 100), (3, 10)]), 100);
    let mut other = generation(&[(1, 100)]);
    other.adapter = Some("a1".into());
    assert_eq!(cache.cached_tokens(&PromptChain::of(&other)), 0);
}

#[test]
fn the_least_recently_used_parts_are_evicted() {
    let mut cache = PrefixCacheEstimate::default();
    let chain = |id| PromptChain::of(&generation(&[(id, 100)]));
    for id in 0..10 {
        cache.record_prompt(&chain(id), 500);
        cache.record_prompt(&chain(0), 500);
    }
    assert_eq!(cache.cached_tokens(&chain(0)), 100);
    assert_eq!(cache.cached_tokens(&chain(9)), 100);
    assert_eq!(cache.cached_tokens(&chain(1)), 0);
    for id in 0..10_000 {
        cache.record_prompt(&chain(id), u64::MAX);
    }
    let cached = (0..10_000).filter(|id| cache.cached_tokens(&chain(*id)) > 0);
    assert!(cached.count() <= 200);
}
