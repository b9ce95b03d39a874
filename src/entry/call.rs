//! The life cycle of a request: admitted, claimed, dispatched, answered.
//!
//! Only the states before dispatch can make a problem that says `not-run`.

use {
    crate::{
        http::{Body, Client, Exchange, Outcome, Problem, REQUEST_RAN, SendError, has_header},
        units::RequestId,
    },
    hyper::{HeaderMap, Request, StatusCode},
    std::{marker::PhantomData, net::SocketAddr, time::Duration},
    tokio::time,
};

/// The request has a place in this entry.
#[derive(Debug)]
pub struct Admitted;

/// The request may be dispatched: it is idempotent, unkeyed, or its key is claimed for it.
#[derive(Debug)]
pub struct Dispatchable;

/// The first byte of the request may have left.
#[derive(Debug)]
pub struct Dispatched;

/// A response came whose head was read.
#[derive(Debug)]
pub struct Responded;

/// A state in which a request may end without an answer.
pub trait BeforeResponse {
    /// Whether the first byte of the request may have left in this state.
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

/// Shows that a request may be dispatched again after it may have run.
#[derive(Debug, Clone, Copy)]
pub struct Idempotent(());

impl Idempotent {
    /// Returns the proof for a method, if it is among the idempotent ones.
    pub fn by_method(method: &str, idempotent_methods: &[String]) -> Option<Self> {
        let listed = idempotent_methods.iter().any(|listed| listed == method);
        listed.then_some(Self(()))
    }

    /// Returns the proof for inference, which changes nothing.
    pub fn inference() -> Self {
        Self(())
    }
}

/// One request in a state of its life cycle.
#[derive(Debug)]
pub struct Call<S> {
    /// Identifies the request.
    pub id: RequestId,
    may_have_run: bool,
    state: PhantomData<S>,
}

/// Why a dispatch brought no response.
#[derive(Debug)]
pub enum DispatchError {
    /// No byte of the request left.
    Unsent(Call<Dispatchable>, SendError),
    /// The request may run.
    Lost(Call<Dispatched>, LossCause),
}

/// Why a dispatched request has no response.
#[derive(Debug)]
pub enum LossCause {
    /// The connection broke.
    Failed(String),
    /// No response came in time.
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
    /// Returns whether the request may have run, now or by an earlier dispatch.
    pub fn outcome(&self) -> Outcome {
        match S::DISPATCHED || self.may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    /// Describes why the request has no answer.
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
    /// Starts the life cycle.
    pub fn new(id: RequestId) -> Self {
        Self {
            id,
            may_have_run: false,
            state: PhantomData,
        }
    }

    /// Allows the dispatch.
    pub fn allow_dispatch(self) -> Call<Dispatchable> {
        self.into_state(Dispatchable)
    }
}

impl Call<Dispatchable> {
    /// Sends the request to a backend server and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the call in the state that it is in after the failure.
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
    /// Takes the request back when the backend server says that it did not run.
    ///
    /// # Errors
    ///
    /// Returns the call unchanged when the response says no such thing.
    pub fn into_not_run(self, headers: &HeaderMap) -> Result<Call<Dispatchable>, Self> {
        if !has_header(headers, REQUEST_RAN, "no") {
            return Err(self);
        }
        Ok(self.into_state(Dispatchable))
    }

    /// Allows another dispatch although the request may have run.
    pub fn retry(mut self, _proof: Idempotent) -> Call<Dispatchable> {
        self.may_have_run = true;
        self.into_state(Dispatchable)
    }

    /// Takes note of the response.
    pub fn mark_responded(self) -> Call<Responded> {
        self.into_state(Responded)
    }
}
