//! Calls that another entry must dispatch.

use {
    crate::{
        membership::Member,
        units::{RequestId, ServiceName},
    },
    bytes::Bytes,
    futures::future::BoxFuture,
    std::fmt,
    thiserror::Error,
};

/// A header of a forwarded call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedHeader {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: Bytes,
}

/// A call that only the entry which minted its ticket may dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedCall {
    /// Identifies the request.
    pub request_id: RequestId,
    /// The ticket.
    pub ticket: String,
    /// The plain service.
    pub service: ServiceName,
    /// The method.
    pub method: String,
    /// The path and query at the backend server.
    pub path: String,
    /// The headers.
    pub headers: Vec<ForwardedHeader>,
    /// The body.
    pub body: Bytes,
}

/// The answer to a forwarded call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedReply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Vec<ForwardedHeader>,
    /// The body.
    pub body: Bytes,
}

/// Why a forwarded call has no answer; it may have run, now or in an earlier try.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the entry that minted the ticket gave no answer: {0}")]
pub struct ForwardError(pub String);

/// Reaches other entries.
pub trait Forwarder: fmt::Debug + Send + Sync {
    /// Has another entry dispatch a call.
    ///
    /// # Errors
    ///
    /// Fails when that entry cannot be reached or gives no answer.
    fn forward<'a>(
        &'a self,
        member: &'a Member,
        call: ForwardedCall,
    ) -> BoxFuture<'a, Result<ForwardedReply, ForwardError>>;
}
