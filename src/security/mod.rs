//! Shared keys and mutual TLS between the system's own processes and with operators.
//!
//! Both are off unless settings name them. See `docs/design/tls.md`.

mod key_ring;
mod role;
mod role_verifier;
mod shared_key;
mod tls;
mod tls_configs;
mod tls_error;
mod tls_files;
mod tls_reloader;
mod tls_server;

pub use {
    key_ring::*, role::*, shared_key::*, tls::*, tls_error::*, tls_files::*, tls_reloader::*,
    tls_server::*,
};
