//! Aggregation in a large system whose nodes publish more events than aggregators can forward.

#[path = "common/aggregation_net.rs"]
mod aggregation_net;

use {
    aggregation_net::*,
    greengagetrail::{
        dispatch::{ResidencyChange, RunnerHash},
        gossip::Event,
        quarantine::{ContentId, PartId, QuarantineMessage},
    },
    std::time::Duration,
    tokio::time::Instant,
};

const ZONES: [&str; 6] = ["east", "north", "south", "west", "center", "coast"];
const NODES_PER_ZONE: usize = 49;
const RUNNERS: usize = 160;

/// 20 Mbit/s.
const LINK_BYTES_PER_S: f64 = 2_500_000.0;

/// The interval at which loads change and events are published.
const STEP: Duration = Duration::from_millis(50);

/// The runners at which each node has requests.
const RUNNERS_IN_USE: usize = 4;

/// The contents that each node announces in a step.
const FLOOD_EVENTS_PER_STEP: usize = 200;

/// The time without a response after which nodes report to another aggregator.
const SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// The time within which nodes must know of a runner that leaves, by the platform's rules.
const DRAIN_MAX: Duration = Duration::from_millis(4_000);

/// The time after which nodes without contact are out of touch, by the platform's rules.
const CONTACT_MAX: Duration = Duration::from_millis(5_000);

/// Gives each node other loads at other runners.
fn change_loads(net: &mut Net, round: usize) {
    for (index, node) in net.nodes.iter_mut().enumerate() {
        let place = |at: usize| (index * 7 + round + at * 37) % RUNNERS;
        let mut loads: Vec<_> = (0..RUNNERS_IN_USE)
            .map(|at| {
                let requests = 1 + ((index + round + at) % 5) as u32;
                (RunnerHash::of(&runner(place(at))), load(requests))
            })
            .collect();
        loads.sort_unstable_by_key(|(runner, _)| *runner);
        node.own.loads = loads;
    }
}

/// An event that tells nodes that a prompt part is harmless.
fn harmless(number: usize) -> Event {
    let part = PartId(0x9e37_79b9_7f4a_7c15 ^ number as u64);
    Event::Quarantine(QuarantineMessage::Harmless(ContentId::Part(part)))
}

fn order(number: usize) -> Event {
    Event::Held(ResidencyChange {
        runner: runner(number % RUNNERS).id,
        born_unix_ms: 1_779_648_518_411,
        model: "model-100000".into(),
        adapter: Some(format!("a{number}").as_str().into()),
        held: true,
    })
}

/// Runs a system with a leader that orders, while all nodes announce contents if `floods`.
async fn run_busy(net: &mut Net, leader: usize, steps: std::ops::Range<usize>, floods: bool) {
    for step in steps {
        change_loads(net, step);
        net.publish(leader, order(step));
        let events = if floods { FLOOD_EVENTS_PER_STEP } else { 0 };
        for number in (0..events).map(|at| step * events + at) {
            net.publish(number * 13 % net.nodes.len(), harmless(number));
        }
        net.run(STEP).await;
    }
}

/// Returns a system in calm, and a node that leads and is no aggregator.
async fn calm_system() -> (Net, usize) {
    let mut net = Net::new(&ZONES, NODES_PER_ZONE);
    net.limit_links(LINK_BYTES_PER_S);
    net.run(Duration::from_secs(1)).await;
    let aggregators = net.aggregators();
    let leader = (0..net.nodes.len()).find(|index| !aggregators.contains(index));
    let leader = leader.unwrap();
    net.nodes[leader].own.plan_wanted = true;
    run_busy(&mut net, leader, 0..40, false).await;
    (net, leader)
}

/// Returns the longest time since a node got the state of the others.
fn longest_silence(net: &Net) -> Duration {
    let now = Instant::now();
    let nodes = net.nodes.iter().filter(|node| node.is_up);
    let ages = nodes.map(|node| node.protocol.digest_age(now));
    ages.max().unwrap_or_default()
}

/// Runs a flooded system until a condition holds, at most for a time.
async fn until(
    net: &mut Net,
    leader: usize,
    first_step: usize,
    (what, most): (&str, Duration),
    holds: impl Fn(&Net) -> bool,
) {
    let begin = Instant::now();
    for step in first_step.. {
        run_busy(net, leader, step..step + 1, true).await;
        if holds(net) {
            return;
        }
        assert!(begin.elapsed() < most, "{what}");
    }
}

// Guards against rounds so large that nodes take their silent aggregators for dead, which makes the
// rounds of the next ones larger still.
#[tokio::test(start_paused = true)]
async fn nodes_get_the_state_of_others_soon_after_an_aggregator_ended_amid_many_events() {
    let (mut net, leader) = calm_system().await;
    run_busy(&mut net, leader, 40..80, true).await;
    let ended = net.aggregators()[2];
    net.nodes[ended].is_up = false;
    let after = (CONTACT_MAX.as_millis() / STEP.as_millis()) as usize;
    run_busy(&mut net, leader, 80..80 + after, true).await;
    for step in 80 + after..120 + after {
        run_busy(&mut net, leader, step..step + 1, true).await;
        let silence = longest_silence(&net);
        assert!(silence < SILENCE_MAX, "step {step}: silent for {silence:?}");
    }
    assert_eq!(net.aggregators().len(), ZONES.len());
}

// Guards against a leader that plans without the demand of other nodes.
#[tokio::test(start_paused = true)]
async fn a_leader_learns_what_waits_amid_many_events() {
    let (mut net, leader) = calm_system().await;
    run_busy(&mut net, leader, 40..100, true).await;
    let last = net.nodes.len() - 1;
    net.nodes[last].own.demand = waiting(7);
    let knows = |net: &Net| net.nodes[leader].waiting == 7;
    let what = ("the leader does not know what waits", SILENCE_MAX);
    until(&mut net, leader, 100, what, knows).await;
}

#[tokio::test(start_paused = true)]
async fn a_leaving_runner_is_known_amid_many_events() {
    let (mut net, leader) = calm_system().await;
    run_busy(&mut net, leader, 40..100, true).await;
    let leaving = Event::Leaving(runner(RUNNERS));
    net.publish(3, leaving.clone());
    let received = |net: &Net| net.all_received(&leaving, 3);
    let what = ("not all nodes know of the runner", DRAIN_MAX);
    until(&mut net, leader, 100, what, received).await;
}

// Guards against loads that other nodes do not learn of, and refuse requests for.
#[tokio::test(start_paused = true)]
async fn a_loaded_adapter_is_known_amid_many_events() {
    let (mut net, leader) = calm_system().await;
    run_busy(&mut net, leader, 40..100, true).await;
    let loaded = order(10_000);
    net.publish(leader, loaded.clone());
    let received = |net: &Net| net.all_received(&loaded, leader);
    let what = ("not all nodes know of the load", DRAIN_MAX);
    until(&mut net, leader, 100, what, received).await;
}
