//! Checks that no order unloads the last copy of a model.

use thiserror::Error;

/// A change of one copy of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyEvent {
    /// When the change happened, in milliseconds on the clock of the run.
    pub at_ms: u64,
    /// The model that the copy serves.
    pub model: String,
    /// The engine that holds the copy.
    pub engine: String,
    /// What changed.
    pub change: CopyChange,
}

/// What changed about a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyChange {
    /// The copy is ready to serve requests.
    Ready,
    /// An order took the copy out of service.
    Unloaded,
}

/// Why a history of copies is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CopyViolation {
    /// An order unloaded the last copy of a model.
    #[error("at {at_ms} ms the last copy of {model} was unloaded from {engine}")]
    LastCopyUnloaded {
        /// When the copy was unloaded, in milliseconds.
        at_ms: u64,
        /// The model without copies.
        model: String,
        /// The engine that held the last copy.
        engine: String,
    },
    /// The event at this index unloads a copy that was never ready.
    #[error("event {0} contradicts the events before it")]
    InvalidEvent(usize),
}

/// Checks a history in the order of its events.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_copies(events: &[CopyEvent]) -> Result<(), CopyViolation> {
    let mut copies: Vec<(&str, &str)> = Vec::new();
    for (index, event) in events.iter().enumerate() {
        let copy = (event.model.as_str(), event.engine.as_str());
        let position = copies.iter().position(|known| *known == copy);
        match (event.change, position) {
            (CopyChange::Ready, None) => copies.push(copy),
            (CopyChange::Ready, Some(_)) => {}
            (CopyChange::Unloaded, None) => return Err(CopyViolation::InvalidEvent(index)),
            (CopyChange::Unloaded, Some(at)) => {
                copies.remove(at);
                check_copies_left(&copies, event)?;
            }
        }
    }
    Ok(())
}

fn check_copies_left(copies: &[(&str, &str)], event: &CopyEvent) -> Result<(), CopyViolation> {
    if copies.iter().any(|(model, _)| *model == event.model) {
        return Ok(());
    }
    Err(CopyViolation::LastCopyUnloaded {
        at_ms: event.at_ms,
        model: event.model.clone(),
        engine: event.engine.clone(),
    })
}
