//! Exchanges the load of runners and the demand for models between nodes.
//!
//! With few peers every node sends datagrams to every other: at most one round in 30 ms, at least
//! one in 500 ms. A round holds one item for each runner at which the node has requests in flight,
//! so its size follows the node's own load and not the number of runners.
//!
//! With more peers each node sends its load to one aggregator of its own data centre, the first of
//! a ranking that answers. Aggregators exchange the sums of the nodes that report to them, and send
//! all nodes digests of the whole. See `docs/design/load-signals.md` for what both come to.

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
    datagram::*, exchange::*, gossip::*, gossip_counts::Traffic, item::*, plan::*, ranking::*,
    report_history::*, seal::*, silence::*, sum_teller::*,
};
