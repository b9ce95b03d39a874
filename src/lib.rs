//! greengagetrail serves many models from fewer accelerators.
//!
//! The library holds every part of the system; the programs in `src/bin` only read their
//! settings and call into it.

pub mod admission;
pub mod capacity;
pub mod cli;
pub mod config;
pub mod copies;
pub mod discovery;
pub mod dispatch;
pub mod engine;
pub mod entry;
pub mod experiment;
pub mod fleet;
pub mod freshness;
pub mod gossip;
pub mod history;
pub mod http;
pub mod keeper;
pub mod leader;
pub mod load;
pub mod membership;
pub mod node;
pub mod peer;
pub mod placement;
pub mod proto;
pub mod quarantine;
pub mod quotas;
pub mod relay;
pub mod request_memory;
pub mod routing;
pub mod security;
pub mod settings;
pub mod standin;
pub mod store;
pub mod streams;
pub mod telemetry;
pub mod traffic;
pub mod units;
pub mod workspaces;

#[doc(hidden)]
pub use proto::peer_capnp;
