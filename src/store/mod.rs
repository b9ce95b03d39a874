//! The interface of the platform's key-value service, its clients and decorators of them.

mod change_log;
mod client_limits;
mod error;
mod etcd_store;
mod failover_client;
pub mod gateway;
pub mod keys;
mod kv;
mod long_poll;
mod metered_store;
mod monitored_store;
mod reopening_watch;
mod request;
mod response;
mod upstream_store;
mod watch_reader;
mod watch_timeout;

pub use {
    change_log::*, client_limits::*, error::*, etcd_store::*, kv::*, long_poll::*,
    metered_store::*, monitored_store::*, upstream_store::*, watch_timeout::*,
};
