//! Assigns runners to requests by load, resident models and queue order.
//!
//! Each node keeps its own view of the runners' load, built from its own requests and from
//! reports of its peers, and decides without a central scheduler.

mod board;
mod board_demand;
mod board_shared;
mod board_state;
mod board_sums;
mod choice;
mod copy_prospect;
mod decaying_count;
mod demand_meter;
mod demand_sum;
mod dispatch_counts;
mod dispatcher;
mod load;
mod load_sum;
mod pace_budget;
mod peak_rate;
mod peer_demand;
mod peer_loads;
mod place;
mod prefix_record;
mod prompt_pace;
mod prospect;
mod residency;
mod room_prospect;
mod runner_health;
mod runner_slot;
mod seating;
mod service_runners;
mod summed_usage;
mod types;
mod urgent_waits;
mod wait_queue;
mod waiting;

pub use {
    board::*, board_sums::*, choice::*, decaying_count::*, dispatch_counts::*, dispatcher::*,
    load::*, load_sum::*, place::*, prefix_record::*, residency::*, runner_health::*, types::*,
};
