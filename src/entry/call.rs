//! The life cycle of a request as types: admitted, dispatchable, dispatched, responded.
//!
//! A problem document with the outcome `not-run` can only be made in a state before the dispatch.

use {
    crate::{
        http::{Body, Client, Exchange, Outcome, Problem, REQUEST_RAN, SendError, has_header},
        units::RequestId,
    },
    hyper::{HeaderMap, Request, StatusCode},
    std::{marker::PhantomData, net::SocketAddr, time::Duration},
    tokio::time,
};

/// State: the entry has accepted the request.
#[derive(Debug)]
pub struct Admitted;

/// State: the request may be dispatched, since it is idempotent, has no idempotency key, or holds
/// its key.
#[derive(Debug)]
pub struct Dispatchable;

/// State: the first byte of the request may have been sent.
#[derive(Debug)]
pub struct Dispatched;

/// State: the head of a response has been received.
#[derive(Debug)]
pub struct Responded;

/// A state in which a request may still fail without a response.
pub trait BeforeResponse {
    /// Whether the first byte of the request may have been sent in this state.
    const DISPATCHED: bool;
}

impl BeforeResponse for Admitted {
    const DISPATCHED: bool = false;
}

impl BeforeResponse for Dispatchable {
    const DISPATCHED: bool = false;
}

impl BeforeResponse for Dispatched {
    const DISPATCHED: bool = true;
}

/// Proof that a request may be dispatched again after it may have run.
#[derive(Debug, Clone, Copy)]
pub struct Idempotent(());

impl Idempotent {
    /// Returns the proof if the method is listed as idempotent.
    pub fn by_method(method: &str, idempotent_methods: &[String]) -> Option<Self> {
        let listed = idempotent_methods.iter().any(|listed| listed == method);
        listed.then_some(Self(()))
    }

    /// Returns the proof for an inference request, which has no side effects.
    pub fn inference() -> Self {
        Self(())
    }
}

/// One request in the state `S` of its life cycle.
#[derive(Debug)]
pub struct Call<S> {
    /// The id of the request.
    pub id: RequestId,
    may_have_run: bool,
    state: PhantomData<S>,
}

/// The reason why a dispatch returned no response.
#[derive(Debug)]
pub enum DispatchError {
    /// No byte of the request was sent.
    Unsent(Call<Dispatchable>, SendError),
    /// The request was sent, at least in part, and may run.
    Lost(Call<Dispatched>, LossCause),
}

/// The reason why a dispatched request has no usable response.
#[derive(Debug)]
pub enum LossCause {
    /// The connection broke, or the response was unusable.
    Failed(String),
    /// No response arrived in time.
    TimedOut,
}

impl<S> Call<S> {
    fn into_state<T>(self, _state: T) -> Call<T> {
        Call {
            id: self.id,
            may_have_run: self.may_have_run,
            state: PhantomData,
        }
    }
}

impl<S: BeforeResponse> Call<S> {
    /// Returns whether the request may have run in this dispatch or an earlier one.
    pub fn outcome(&self) -> Outcome {
        match S::DISPATCHED || self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    /// Builds the problem document for a request that failed.
    pub fn problem(
        &self,
        status: StatusCode,
        kind: &'static str,
        detail: impl Into<String>,
    ) -> Problem {
        match self.outcome() {
            Outcome::Unknown => Problem::unknown(status, kind, detail),
            Outcome::NotRun => Problem::not_run(status, kind, detail),
        }
    }
}

impl Call<Admitted> {
    /// Creates the call of an accepted request.
    pub fn new(id: RequestId) -> Self {
        Self {
            id,
            may_have_run: false,
            state: PhantomData,
        }
    }

    /// Marks the request as ready for dispatch.
    pub fn allow_dispatch(self) -> Call<Dispatchable> {
        self.into_state(Dispatchable)
    }
}

impl Call<Dispatchable> {
    /// Sends the request to a backend server and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the call in its state after the failure: dispatchable if no byte was sent.
    pub async fn dispatch(
        self,
        client: &Client,
        address: SocketAddr,
        request: Request<Body>,
        head_timeout: Duration,
    ) -> Result<(Call<Dispatched>, Exchange), DispatchError> {
        let sent = time::timeout(head_timeout, client.send(address, request)).await;
        match sent {
            Ok(Ok(exchange)) => Ok((self.into_state(Dispatched), exchange)),
            Ok(Err(SendError::Broken(cause))) => {
                let cause = LossCause::Failed(cause);
                Err(DispatchError::Lost(self.into_state(Dispatched), cause))
            }
            Ok(Err(unsent)) => Err(DispatchError::Unsent(self, unsent)),
            Err(_) => {
                let lost = self.into_state(Dispatched);
                Err(DispatchError::Lost(lost, LossCause::TimedOut))
            }
        }
    }
}

impl Call<Dispatched> {
    /// Makes the request dispatchable again if the response states that the request did not run.
    ///
    /// # Errors
    ///
    /// Returns the call unchanged if the response does not state so.
    pub fn into_not_run(self, headers: &HeaderMap) -> Result<Call<Dispatchable>, Self> {
        if !has_header(headers, REQUEST_RAN, "no") {
            return Err(self);
        }
        Ok(self.into_state(Dispatchable))
    }

    /// Allows another dispatch although the request may have run already.
    pub fn retry(mut self, _proof: Idempotent) -> Call<Dispatchable> {
        self.may_have_run = true;
        self.into_state(Dispatchable)
    }

    /// Marks the response as received.
    pub fn mark_responded(self) -> Call<Responded> {
        self.into_state(Responded)
    }
}
