//! Checks that no engine ever uses more accelerator memory than it has.

use {crate::units::MemoryMib, thiserror::Error};

/// A change of the memory use of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryEvent {
    /// When the change happened, in milliseconds on the clock of the run.
    pub at_ms: u64,
    /// The engine whose memory use changed.
    pub engine: String,
    /// What changed.
    pub change: MemoryChange,
}

/// What changed about the memory use of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemoryChange {
    /// The engine started with this much memory, all of it free.
    EngineStarted(MemoryMib),
    /// Memory of this size was reserved for the named item.
    Reserved(String, MemoryMib),
    /// The memory of the named item was released.
    Released(String),
}

/// Why a history of memory use is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MemoryViolation {
    /// More memory was reserved on an engine than it has.
    #[error("at {at_ms} ms {held} were reserved on {engine}, which has {memory}")]
    Overcommitted {
        /// When the limit was exceeded, in milliseconds.
        at_ms: u64,
        /// The overcommitted engine.
        engine: String,
        /// The sum of the reservations.
        held: MemoryMib,
        /// The memory of the engine.
        memory: MemoryMib,
    },
    /// The event at this index contradicts the events before it, such as a release without a
    /// reservation.
    #[error("event {0} contradicts the events before it")]
    InvalidEvent(usize),
}

/// The reservations on one engine.
struct EngineMemory<'a> {
    engine: &'a str,
    memory: MemoryMib,
    reservations: Vec<(&'a str, MemoryMib)>,
}

/// Checks a history in the order of its events.
///
/// Returns the largest share of an engine's memory that was reserved at once, in thousandths.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_memory(events: &[MemoryEvent]) -> Result<u64, MemoryViolation> {
    let mut engines: Vec<EngineMemory> = Vec::new();
    let mut peak_permille = 0;
    for (index, event) in events.iter().enumerate() {
        let held = apply_event(&mut engines, event).ok_or(MemoryViolation::InvalidEvent(index))?;
        let sum: MemoryMib = held.reservations.iter().map(|(_, size)| *size).sum();
        if sum > held.memory {
            return Err(MemoryViolation::Overcommitted {
                at_ms: event.at_ms,
                engine: event.engine.clone(),
                held: sum,
                memory: held.memory,
            });
        }
        peak_permille = peak_permille.max(sum.0 * 1000 / held.memory.0.max(1));
    }
    Ok(peak_permille)
}

/// Applies an event; returns `None` if it contradicts the events before it.
fn apply_event<'a, 'b>(
    engines: &'b mut Vec<EngineMemory<'a>>,
    event: &'a MemoryEvent,
) -> Option<&'b EngineMemory<'a>> {
    if let MemoryChange::EngineStarted(memory) = event.change {
        engines.retain(|held| held.engine != event.engine);
        engines.push(EngineMemory {
            engine: &event.engine,
            memory,
            reservations: Vec::new(),
        });
    }
    let held = engines
        .iter_mut()
        .find(|held| held.engine == event.engine)?;
    match &event.change {
        MemoryChange::EngineStarted(_) => {}
        MemoryChange::Reserved(name, _)
            if held.reservations.iter().any(|(known, _)| known == name) =>
        {
            return None;
        }
        MemoryChange::Reserved(name, size) => held.reservations.push((name, *size)),
        MemoryChange::Released(name) => {
            let position = held
                .reservations
                .iter()
                .position(|(known, _)| known == name)?;
            held.reservations.remove(position);
        }
    }
    Some(held)
}
