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

mod aggregator_rounds;
mod aggregator_table;
mod datagram;
mod exchange;
mod exchange_choice;
mod exchange_rounds;
#[allow(clippy::module_inception)]
mod gossip;
mod gossip_counts;
mod gossip_sums;
mod item;
mod member_table;
mod news_log;
mod news_outbox;
mod note_outbox;
mod plan;
mod ranking;
mod relay_log;
mod report_history;
mod seal;
mod seen_numbers;
mod sender_table;
mod silence;
mod sum_teller;

pub use {
    datagram::*, exchange::*, gossip::*, gossip_counts::DatagramCounts, item::*, plan::*,
    ranking::*, report_history::*, seal::*, silence::*, sum_teller::*,
};
