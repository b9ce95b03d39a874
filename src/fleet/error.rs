//! Errors of reservations and of changes to runner records.

use {
    crate::{store::StoreError, units::MemoryMib},
    thiserror::Error,
};

/// Why memory for an order cannot be reserved.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReservationError {
    /// Residents and pending orders leave too little memory.
    #[error("not enough free memory: {needed} needed, {free} free")]
    InsufficientMemory {
        /// The memory that the order needs.
        needed: MemoryMib,
        /// The memory that is neither held nor reserved.
        free: MemoryMib,
    },
    /// Another order for the model or adapter is not known to be finished.
    #[error("another order for {0} is pending")]
    OrderPending(String),
    /// The model or adapter is already resident.
    #[error("{0} is already resident")]
    AlreadyResident(String),
    /// The model or adapter is not resident.
    #[error("{0} is not resident")]
    NotResident(String),
    /// The order names another incarnation of the engine.
    #[error("the order is for another incarnation of the engine")]
    IncarnationMismatch,
}

/// Why a read or a change of a runner record failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// Another owner holds the record.
    #[error("another owner holds the runner record")]
    OwnershipLost,
    /// The change reserves more memory than is free, or contradicts what is resident.
    #[error(transparent)]
    Reservation(#[from] ReservationError),
    /// Another key of the transaction changed, or others kept changing the record.
    #[error("another key of the transaction has changed")]
    Conflict,
    /// The record cannot be decoded or encoded.
    #[error("the runner record is malformed: {0}")]
    Malformed(String),
    /// The store failed; a change may have taken effect.
    #[error(transparent)]
    Store(#[from] StoreError),
}
