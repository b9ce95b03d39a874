//! A stand-in of a model engine.

mod batch_queue;
mod begin;
mod control;
mod events;
mod faults;
mod generation;
mod inference;
mod load_report;
mod local_link;
mod order_log;
mod orders;
mod prefix_cache;
mod record;
mod request;
mod residents;
mod server;
mod settings;
mod sse;
mod standin_engine;

pub use {
    batch_queue::*, events::*, faults::*, generation::*, prefix_cache::*, record::*, request::*,
    residents::*, settings::*, standin_engine::*,
};
