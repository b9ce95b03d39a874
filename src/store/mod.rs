//! The interface of the platform's key-value service, its clients and decorators of them.

mod answer;
mod call;
mod call_limits;
mod change_log;
mod error;
mod etcd_store;
pub mod gateway;
mod http_link;
pub mod keys;
mod kv;
mod live_watch;
mod long_poll;
mod metered_store;
mod monitored_store;
mod upstream_store;
mod watch_reader;

pub use {
    call_limits::*, change_log::*, error::*, etcd_store::*, kv::*, live_watch::*, long_poll::*,
    metered_store::*, monitored_store::*, upstream_store::*,
};
