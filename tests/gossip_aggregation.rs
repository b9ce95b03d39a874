//! Load aggregation in large systems: node failures, partitions, loss and differing peer lists.

#[path = "common/aggregation_net.rs"]
mod aggregation_net;

use {
    aggregation_net::*,
    greengagetrail::{
        dispatch::LimitReport,
        gossip::Event,
        quarantine::{ContentId, PartId, QuarantineMessage, Verdict},
        units::RequestRate,
    },
    std::time::Duration,
};

const ZONES: [&str; 3] = ["east", "north", "west"];
const NODES_PER_ZONE: usize = 10;
const NODES: u32 = 30;

const SOON: Duration = Duration::from_secs(1);
const LATER: Duration = Duration::from_secs(6);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns nodes that each have two requests at a runner and know the sum of all others.
async fn converged() -> Net {
    let mut net = Net::new(&ZONES, NODES_PER_ZONE);
    net.load_all(0, 2);
    net.run(ms(2_500)).await;
    net.until("all know the sum", SOON, |net| {
        net.all_know(0, 2 * (NODES - 1))
    })
    .await;
    assert_eq!(net.aggregators().len(), ZONES.len());
    net
}

#[tokio::test(start_paused = true)]
async fn each_node_knows_the_sum_of_all_others_without_its_own() {
    let mut net = converged().await;
    for change in (1..20).map(|step| step * step) {
        net.load_all(0, change);
        let sum = change * (NODES - 1);
        let near =
            |net: &Net| (0..30).all(|index| net.load_of_others(index, 0).abs_diff(sum) * 10 <= sum);
        let took = net
            .until("all know the sum within 10 percent", SOON, near)
            .await;
        assert!(took <= ms(300), "{change} a node: {took:?}");
        net.until("all know the sum", ms(2_500), |net| net.all_know(0, sum))
            .await;
    }
    net.load_all(1, 3);
    let ended = |net: &Net| net.all_know(0, 0) && net.all_know(1, 3 * (NODES - 1));
    net.until("the end of a load is known", ms(2_500), ended)
        .await;
}

/// Returns the time in which any node overestimates the load of the others.
async fn overestimate_time(net: &mut Net, span: Duration) -> Duration {
    let mut time = Duration::ZERO;
    for _ in 0..span.as_millis() / 50 {
        net.run(ms(50)).await;
        let up = net.nodes.iter().filter(|node| node.is_up).count() as u32;
        let most = 2 * (up - 1);
        let mut nodes = (0..net.nodes.len()).filter(|&i| net.nodes[i].is_up);
        if nodes.any(|index| net.load_of_others(index, 0) > most) {
            time += ms(50);
        }
    }
    time
}

#[tokio::test(start_paused = true)]
async fn a_killed_aggregator_is_replaced_and_double_counting_is_brief() {
    for killed in [1, 2, 3] {
        let mut net = converged().await;
        for index in net.aggregators().into_iter().take(killed) {
            net.nodes[index].is_up = false;
        }
        let time = overestimate_time(&mut net, LATER).await;
        assert!(time <= ms(4_500), "{killed} killed: {time:?}");
        let sum = 2 * (NODES - killed as u32 - 1);
        net.until("the others are known", SOON, |net| net.all_know(0, sum))
            .await;
        assert_eq!(net.aggregators().len(), ZONES.len());
    }
}

#[tokio::test(start_paused = true)]
async fn the_remaining_nodes_converge_after_most_nodes_fail() {
    let mut net = converged().await;
    let left = [4, 5, 17, 26];
    for (index, node) in net.nodes.iter_mut().enumerate() {
        node.is_up = left.contains(&index);
    }
    let known = |net: &Net| net.all_know(0, 6);
    net.until("the rest know one another", Duration::from_secs(12), known)
        .await;
    net.run(LATER).await;
    assert!(net.all_know(0, 6));
}

fn leaving_event(number: usize) -> Event {
    Event::Leaving(runner(number))
}

#[tokio::test(start_paused = true)]
async fn urgent_events_reach_all_nodes_despite_failed_aggregators() {
    for killed in 0..=3 {
        for publisher in [0, 11, 29] {
            let mut net = converged().await;
            let mut aggregators = net.aggregators();
            aggregators.retain(|&index| index != publisher);
            for index in aggregators.into_iter().rev().take(killed) {
                net.nodes[index].is_up = false;
            }
            net.publish(publisher, leaving_event(5));
            let what = format!("published by {publisher}, {killed} killed");
            let received = |net: &Net| net.all_received(&leaving_event(5), publisher);
            let took = net.until(&what, SOON, received).await;
            assert!(took < ms(600), "{what}: {took:?}");
            net.run(SOON).await;
            let twice = net.nodes.iter().any(|node| node.events.len() > 1);
            assert!(!twice, "{what}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn events_reach_all_nodes_while_aggregators_are_replaced() {
    let mut net = converged().await;
    for index in net.aggregators() {
        net.nodes[index].is_up = false;
    }
    let publisher = (0..30).find(|&index| net.nodes[index].is_up).unwrap();
    for number in 10..40 {
        net.run(ms(100)).await;
        net.publish(publisher, leaving_event(number));
        let received = |net: &Net| net.all_received(&leaving_event(number), publisher);
        net.until(&format!("event {number}"), ms(700), received)
            .await;
    }
}

#[tokio::test(start_paused = true)]
async fn partitioned_data_centres_know_their_own_load_and_rejoin() {
    let mut net = converged().await;
    net.is_delivered =
        Box::new(|from, to| (from.zone == "west".into()) == (to.zone == "west".into()));
    net.run(LATER).await;
    let west = |index: usize| index >= 2 * NODES_PER_ZONE;
    for index in 0..net.nodes.len() {
        let others = if west(index) {
            NODES_PER_ZONE
        } else {
            2 * NODES_PER_ZONE
        } as u32
            - 1;
        assert_eq!(net.load_of_others(index, 0), 2 * others, "{index}");
    }
    net.is_delivered = Box::new(|_, _| true);
    net.until("all know the sum again", LATER, |net| {
        net.all_know(0, 2 * (NODES - 1))
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn lists_of_peers_may_differ() {
    let mut net = Net::new(&ZONES, NODES_PER_ZONE);
    net.load_all(0, 2);
    for (index, node) in net.nodes.iter_mut().enumerate() {
        let mut number = 0;
        node.peers.retain(|_| {
            number += 1;
            (number + index) % 5 != 0
        });
    }
    net.run(LATER).await;
    let sum = 2 * (NODES - 1);
    for index in 0..net.nodes.len() {
        assert_eq!(net.load_of_others(index, 0), sum, "{index}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_restarted_node_s_former_load_does_not_count_for_long() {
    for kind in [true, false] {
        let mut net = converged().await;
        let aggregators = net.aggregators();
        let found = (0..30).find(|index| aggregators.contains(index) == kind);
        let index = found.unwrap();
        net.restart(index);
        let known = |net: &Net| {
            let right = |other: usize| {
                if other == index {
                    2 * (NODES - 1)
                } else {
                    2 * (NODES - 2)
                }
            };
            (0..30).all(|other| net.load_of_others(other, 0) == right(other))
        };
        let took = net.until("its former load is gone", LATER, known).await;
        assert!(took < ms(3_000), "{took:?}");
        net.publish(index, leaving_event(3));
        let received = |net: &Net| net.all_received(&leaving_event(3), index);
        net.until("its event is delivered", SOON, received).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_crashed_runner_is_not_reported_by_each_node_that_fails_to_reach_it() {
    let mut net = converged().await;
    let unreachable = Event::Unreachable(runner(7));
    for index in 0..net.nodes.len() {
        net.publish(index, unreachable.clone());
        net.run(ms(5)).await;
    }
    net.run(SOON).await;
    let received = net.nodes.iter().map(|node| node.events.len());
    assert_eq!(received.max(), Some(1));
    net.publish(3, unreachable.clone());
    let again = |net: &Net| {
        let mut others = (0..net.nodes.len()).filter(|index| *index != 3);
        others.all(|index| net.nodes[index].events.last() == Some(&unreachable))
    };
    net.until("a later failure is reported", SOON, again).await;
}

#[tokio::test(start_paused = true)]
async fn a_harmless_content_is_not_announced_by_each_node_that_knows_it() {
    let mut net = converged().await;
    let harmless =
        |part| Event::Quarantine(QuarantineMessage::Harmless(ContentId::Part(PartId(part))));
    for step in 0..10 {
        for index in (0..net.nodes.len()).step_by(2) {
            net.publish(index, harmless(step % 2));
        }
        net.run(ms(50)).await;
    }
    for index in net.aggregators() {
        let kept = net.nodes[index].protocol.event_counts();
        assert!(kept.iter().all(|(_, count)| *count <= 2), "{kept:?}");
    }
    for node in net.nodes.iter().skip(1).step_by(2) {
        let received = |part| node.events.contains(&harmless(part));
        assert!(received(0) && received(1), "{}", node.peer.name);
    }
}

#[tokio::test(start_paused = true)]
async fn lost_datagrams_only_delay_convergence() {
    for seed in 1..=12 {
        converges_with_loss(seed).await;
    }
}

async fn converges_with_loss(mut seed: u64) {
    let mut net = converged().await;
    net.is_delivered = Box::new(move |_, _| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) % 100 >= 10
    });
    for change in [5, 1, 30, 2] {
        net.load_all(0, change);
        let sum = change * (NODES - 1);
        let near = |net: &Net| {
            (0..30).all(|index| net.load_of_others(index, 0).abs_diff(sum) <= (sum / 10).max(3))
        };
        net.until("all know the sum roughly", LATER, near).await;
        net.publish(3, leaving_event(change as usize));
        let received = |net: &Net| net.all_received(&leaving_event(change as usize), 3);
        net.until("the event is delivered", ms(2_500), received)
            .await;
    }
}

#[tokio::test(start_paused = true)]
async fn demand_reaches_the_planner_and_its_rise_arrives_at_once() {
    let mut net = converged().await;
    let planner = 25;
    net.nodes[planner].own.plan_wanted = true;
    for node in &mut net.nodes {
        node.own.demand = waiting(1);
    }
    net.until("the demand is known", Duration::from_secs(3), |net| {
        net.nodes[planner].waiting == NODES - 1
    })
    .await;
    assert!((0..30).all(|index| index == planner || net.nodes[index].waiting == 0));
    net.nodes[2].own.demand = waiting(8);
    let more = |net: &Net| net.nodes[planner].waiting == NODES + 6;
    net.until("the rise is known", ms(250), more).await;
}

#[tokio::test(start_paused = true)]
async fn the_state_of_others_ages_while_a_node_is_cut_off() {
    let mut net = converged().await;
    let cut = net.nodes[7].peer.name.clone();
    let changes = net.nodes[7].protocol.aggregator_changes();
    net.is_delivered = Box::new(move |from, to| from.name != cut && to.name != cut);
    net.run(Duration::from_secs(2)).await;
    let age = |net: &Net, index: usize| {
        net.nodes[index]
            .protocol
            .digest_age(tokio::time::Instant::now())
    };
    assert!(age(&net, 7) >= ms(1_500), "{:?}", age(&net, 7));
    assert!(age(&net, 8) < ms(1_500), "{:?}", age(&net, 8));
    assert!(net.nodes[7].protocol.aggregator_changes() > changes);
    net.publish(7, leaving_event(1));
    assert_eq!(net.nodes[7].protocol.event_counts(), [("leaving", 1)]);
}

#[tokio::test(start_paused = true)]
async fn a_newer_configuration_becomes_known_to_all() {
    let mut net = converged().await;
    net.nodes[7].config = 9;
    let received = |net: &Net| {
        let mut others = (0..30).filter(|&index| index != 7);
        others.all(|index| net.nodes[index].newest_config == Some(9))
    };
    let took = net.until("the version is known", SOON, received).await;
    assert!(took < ms(400), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_node_that_lists_few_peers_learns_of_an_aggregator() {
    let mut net = Net::new(&ZONES, NODES_PER_ZONE);
    net.load_all(0, 2);
    net.nodes[4].is_large = false;
    net.nodes[4].peers.truncate(3);
    net.run(SOON).await;
    for _ in 0..20 {
        net.run(ms(500)).await;
        net.send_direct(4);
    }
    net.until("all know the sum", SOON, |net| {
        net.all_know(0, 2 * (NODES - 1))
    })
    .await;
}

// Guards against a verdict on a prompt part that a restarted node doesn't learn.
#[tokio::test(start_paused = true)]
async fn restarted_nodes_learn_verdicts_in_a_large_system() {
    let mut net = converged().await;
    let verdict = Verdict {
        content: ContentId::Part(PartId(7)),
        version: 1,
        is_quarantined: true,
        is_provisional: false,
        remaining_ms: 600_000,
    };
    for node in &mut net.nodes {
        node.own.verdicts = vec![verdict];
    }
    for index in net.aggregators().into_iter().chain([11, 29]) {
        net.restart(index);
        let knows = move |net: &Net| net.nodes[index].own.verdicts == [verdict];
        let took = net.until(&format!("node {index}"), SOON, knows).await;
        assert!(took < ms(2_000), "node {index}: {took:?}");
    }
}

fn limit(observed_ms_ago: u32) -> LimitReport {
    LimitReport {
        runner: runner(3),
        limit: Some(RequestRate(1_100)),
        observed_ms_ago,
    }
}

// Guards against limits of runners that some nodes don't learn in a large system.
#[tokio::test(start_paused = true)]
async fn changed_limits_reach_all_nodes_and_restarted_ones() {
    let mut net = converged().await;
    // Several nodes get a response with the new limit at about the same time.
    for publisher in [4, 11, 29] {
        net.publish(publisher, Event::Limit(limit(publisher as u32)));
    }
    let is_limit = |event: &Event| matches!(event, Event::Limit(_));
    let received = |net: &Net| {
        let nodes = net.nodes.iter().enumerate();
        let mut others = nodes.filter(|(index, _)| ![4, 11, 29].contains(index));
        others.all(|(_, node)| node.events.iter().any(is_limit))
    };
    net.until("all know the limit", ms(600), received).await;
    for node in &mut net.nodes {
        node.own.known_limits = vec![limit(0)];
    }
    for index in net.aggregators().into_iter().chain([12]) {
        net.restart(index);
        let knows = move |net: &Net| net.nodes[index].own.known_limits == [limit(0)];
        net.until(&format!("node {index}"), SOON, knows).await;
    }
}
