//! The interface for forwarding calls to the entry that must dispatch them.

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
    /// The name of the header.
    pub name: String,
    /// The value of the header.
    pub value: Bytes,
}

/// A call for the entry that minted its ticket; no other entry may dispatch it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedCall {
    /// The id of the request.
    pub request_id: RequestId,
    /// The ticket that the caller sent as idempotency key.
    pub ticket: String,
    /// The plain service that is called.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path and query at the backend server.
    pub path: String,
    /// The headers.
    pub headers: Vec<ForwardedHeader>,
    /// The body.
    pub body: Bytes,
}

/// The reply to a forwarded call: the HTTP response for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedReply {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Vec<ForwardedHeader>,
    /// The body.
    pub body: Bytes,
}

/// The reason why a forwarded call has no reply; the call may have run in this attempt or before.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the entry that minted the ticket did not reply: {0}")]
pub struct ForwardError(pub String);

/// Forwards calls to other entries.
pub trait Forwarder: fmt::Debug + Send + Sync {
    /// Forwards a call to the entry of `member` and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if that entry cannot be reached or does not reply.
    fn forward<'a>(
        &'a self,
        member: &'a Member,
        call: ForwardedCall,
    ) -> BoxFuture<'a, Result<ForwardedReply, ForwardError>>;
}
