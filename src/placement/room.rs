//! The kinds of room for a copy on a runner.

/// The room for a copy on a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Room {
    /// The memory is free.
    Free,
    /// The memory will be free once the unloads in progress are done.
    Releasing,
    /// The memory will be free once the copies at these positions on the runner are unloaded.
    AfterUnload(Vec<usize>),
}
