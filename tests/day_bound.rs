//! The maximum-value flow network that computes the upper bound of a day.

#[path = "../examples/policy_day_bound/flow.rs"]
mod flow;

use {flow::Network, std::iter::repeat_n};

#[test]
fn flow_of_higher_value_displaces_flow_of_lower_value() {
    let mut network = Network::default();
    let (source, sink) = (network.node(), network.node());
    let (high, low) = (network.node(), network.node());
    let (early, late) = (network.node(), network.node());
    network.arc(source, high, 2.0, 0.0);
    network.arc(source, low, 2.0, 0.0);
    network.arc(high, early, f64::INFINITY, 3.0);
    let low_early = network.arc(low, early, f64::INFINITY, 2.0);
    let low_late = network.arc(low, late, f64::INFINITY, 1.0);
    network.arc(early, sink, 2.5, 0.0);
    network.arc(late, sink, 1.0, 0.0);
    let value = network.maximize_value(source, sink);
    assert!(
        (value - (2.0 * 3.0 + 0.5 * 2.0 + 1.0)).abs() < 1e-6,
        "{value}"
    );
    assert!((network.flow(low_early) - 0.5).abs() < 1e-6);
    assert!((network.flow(low_late) - 1.0).abs() < 1e-6);
}

/// For unit jobs in unit slots, the network finds the same value as an exhaustive search.
#[test]
fn no_assignment_has_a_higher_value() {
    bolero::check!()
        .with_type::<[[u8; 4]; 4]>()
        .for_each(|values| {
            let mut network = Network::default();
            let (source, sink) = (network.node(), network.node());
            let slots: Vec<usize> = repeat_n((), 4).map(|()| network.node()).collect();
            for slot in &slots {
                network.arc(*slot, sink, 1.0, 0.0);
            }
            for values in values {
                let job = network.node();
                network.arc(source, job, 1.0, 0.0);
                for (slot, value) in slots.iter().zip(values) {
                    network.arc(job, *slot, 1.0, f64::from(*value));
                }
            }
            let value = network.maximize_value(source, sink);
            assert!((value - best_assignment(values, 0, 0)).abs() < 1e-6);
        });
}

fn best_assignment(values: &[[u8; 4]; 4], job: usize, taken: u8) -> f64 {
    if job == values.len() {
        return 0.0;
    }
    let free = (0..4).filter(|slot| taken & (1 << slot) == 0);
    let best = free.map(|slot| {
        f64::from(values[job][slot]) + best_assignment(values, job + 1, taken | (1 << slot))
    });
    best.fold(0.0, f64::max)
}
