//! The maximum-value flow network that computes the upper bound of a day.

#[path = "../examples/policy_day_bound/flow.rs"]
mod flow;

use {flow::Network, std::iter::repeat_n};

#[test]
fn what_is_worth_more_displaces_what_is_worth_less() {
    let mut network = Network::default();
    let (source, sink) = (network.node(), network.node());
    let (dear, cheap) = (network.node(), network.node());
    let (early, late) = (network.node(), network.node());
    network.arc(source, dear, 2.0, 0.0);
    network.arc(source, cheap, 2.0, 0.0);
    network.arc(dear, early, f64::INFINITY, 3.0);
    let cheap_early = network.arc(cheap, early, f64::INFINITY, 2.0);
    let cheap_late = network.arc(cheap, late, f64::INFINITY, 1.0);
    network.arc(early, sink, 2.5, 0.0);
    network.arc(late, sink, 1.0, 0.0);
    let worth = network.send(source, sink);
    assert!(
        (worth - (2.0 * 3.0 + 0.5 * 2.0 + 1.0)).abs() < 1e-6,
        "{worth}"
    );
    assert!((network.flow(cheap_early) - 0.5).abs() < 1e-6);
    assert!((network.flow(cheap_late) - 1.0).abs() < 1e-6);
}

/// For unit jobs in unit slots, the network finds the same value as an exhaustive search.
#[test]
fn no_assignment_is_worth_more() {
    bolero::check!()
        .with_type::<[[u8; 4]; 4]>()
        .for_each(|worths| {
            let mut network = Network::default();
            let (source, sink) = (network.node(), network.node());
            let slots: Vec<usize> = repeat_n((), 4).map(|()| network.node()).collect();
            for slot in &slots {
                network.arc(*slot, sink, 1.0, 0.0);
            }
            for worths in worths {
                let job = network.node();
                network.arc(source, job, 1.0, 0.0);
                for (slot, worth) in slots.iter().zip(worths) {
                    network.arc(job, *slot, 1.0, f64::from(*worth));
                }
            }
            let worth = network.send(source, sink);
            assert!((worth - best_assignment(worths, 0, 0)).abs() < 1e-6);
        });
}

fn best_assignment(worths: &[[u8; 4]; 4], job: usize, taken: u8) -> f64 {
    if job == worths.len() {
        return 0.0;
    }
    let free = (0..4).filter(|slot| taken & (1 << slot) == 0);
    let best = free.map(|slot| {
        f64::from(worths[job][slot]) + best_assignment(worths, job + 1, taken | (1 << slot))
    });
    best.fold(0.0, f64::max)
}
