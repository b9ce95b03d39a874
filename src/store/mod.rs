//! The platform's key-value service, as this system uses it.

mod answer;
mod call;
mod change_log;
mod error;
mod etcd_store;
pub mod gateway;
mod http_link;
pub mod keys;
mod kv;
mod live_watch;
mod metered_store;
mod monitored_store;
mod upstream_store;
mod watch_reader;

pub use {
    change_log::*, error::*, etcd_store::*, kv::*, live_watch::*, metered_store::*,
    monitored_store::*, upstream_store::*,
};
