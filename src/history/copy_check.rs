//! Judges a history of model copies: an unload never takes the last one.

use thiserror::Error;

/// A change of the copies of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyEvent {
    /// When, on the clock of the run.
    pub at_ms: u64,
    /// The model.
    pub model: String,
    /// The engine of the copy.
    pub engine: String,
    /// The change.
    pub change: CopyChange,
}

/// A change of one copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyChange {
    /// The copy serves.
    Ready,
    /// The copy is taken out of service by an order.
    Unloaded,
}

/// Why a history is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CopyViolation {
    /// An unload took the last copy.
    #[error("at {at_ms} ms {model} lost its last copy on {engine}")]
    LastCopyUnloaded {
        /// When.
        at_ms: u64,
        /// The model.
        model: String,
        /// The engine.
        engine: String,
    },
    /// A copy is unloaded that never served.
    #[error("event {0} does not follow from those before")]
    InvalidEvent(usize),
}

/// Judges a history in the order of its events.
///
/// # Errors
///
/// Returns the first fault.
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
                check_rest(&copies, event)?;
            }
        }
    }
    Ok(())
}

fn check_rest(copies: &[(&str, &str)], event: &CopyEvent) -> Result<(), CopyViolation> {
    if copies.iter().any(|(model, _)| *model == event.model) {
        return Ok(());
    }
    Err(CopyViolation::LastCopyUnloaded {
        at_ms: event.at_ms,
        model: event.model.clone(),
        engine: event.engine.clone(),
    })
}
