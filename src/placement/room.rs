//! The room for a copy on a runner.

/// The room for a copy on a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Room {
    /// It is free.
    Now,
    /// It will be free once what is being unloaded is gone.
    Coming,
    /// It will be free once these copies are unloaded, by position on the runner.
    After(Vec<usize>),
}
