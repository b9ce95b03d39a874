//! Errors of the fleet's layer.

use {
    crate::{store::StoreError, units::MemoryMib},
    thiserror::Error,
};

/// Why an order can't be reserved.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LedgerError {
    /// Residents and open orders leave too little memory.
    #[error("{needed} needed, {free} free")]
    NoRoom {
        /// The memory that the order takes.
        needed: MemoryMib,
        /// The memory that is neither held nor reserved.
        free: MemoryMib,
    },
    /// Another order about the model or adapter is not known to be finished.
    #[error("another order about {0} is open")]
    Busy(String),
    /// The model or adapter is resident already.
    #[error("{0} is resident")]
    Resident(String),
    /// The model or adapter is not resident.
    #[error("{0} is not resident")]
    NotResident(String),
    /// The order names another start of the engine.
    #[error("the order is for another start of the engine")]
    OtherIncarnation,
}

/// Why a change of a runner record failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// Another owner holds the record.
    #[error("another owner holds the record")]
    Lost,
    /// The change is not allowed.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
    /// A condition besides the record's version did not hold.
    #[error("another key of the transaction has changed")]
    Contended,
    /// The record is not readable.
    #[error("the record is malformed: {0}")]
    Malformed(String),
    /// The store failed; the change may have taken effect.
    #[error(transparent)]
    Store(#[from] StoreError),
}
