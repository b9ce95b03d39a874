//! Gossip between nodes: the load of runners, the demand for models and urgent events, over UDP.
//!
//! With few peers each node sends its state directly to every other node, at most once in 30 ms
//! and at least once in 500 ms. A round holds one item for each runner at which the node has
//! requests in flight, so its size grows with the node's own load and not with the number of
//! runners.
//!
//! With more peers each node reports its load to one aggregator in its own data centre, the first
//! node of a fixed ranking that responds. Aggregators exchange the sums of the nodes that report to
//! them, and send digests of the whole system back to these nodes. `docs/design/load-signals.md`
//! states the cost and the delay of both ways.

mod aggregated_rounds;
mod aggregation;
mod aggregator_choice;
mod aggregator_table;
mod datagram;
mod digest_rounds;
mod digest_watch;
mod event_outbox;
mod failure_detector;
mod forwarded_events;
#[allow(clippy::module_inception)]
mod gossip;
mod gossip_counters;
mod item;
mod load_delta;
mod mac;
mod planning_data;
mod ranking;
mod report_history;
mod report_rounds;
mod reporting_nodes;
mod residency_outbox;
mod round_limits;
mod seen_events;
mod send_budget;
mod sender_table;
mod sequence_window;
mod speed_rounds;

pub use {
    aggregation::*,
    datagram::*,
    failure_detector::*,
    gossip::*,
    gossip_counters::{DatagramCounts, DatagramPurpose},
    item::*,
    load_delta::*,
    mac::*,
    planning_data::*,
    ranking::*,
    report_history::*,
    send_budget::*,
};
