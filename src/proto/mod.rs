//! Generated code for the protocol between the system's own processes.
//!
//! Made by `scripts/generate` from `schema/peer.capnp`.

#[allow(missing_docs, unused_qualifications, clippy::all)]
#[allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]
#[rustfmt::skip]
pub mod peer_capnp;
