//! Judges a history of accelerator memory: no engine ever holds more than it has.

use {crate::units::MemoryMib, thiserror::Error};

/// A change of what one engine's memory holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryEvent {
    /// When, on the clock of the run.
    pub at_ms: u64,
    /// The engine.
    pub engine: String,
    /// The change.
    pub change: MemoryChange,
}

/// A change of what an engine's memory holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemoryChange {
    /// The engine starts empty with this much memory.
    EngineStarted(MemoryMib),
    /// Something takes memory.
    Reserved(String, MemoryMib),
    /// Something gives its memory back.
    Released(String),
}

/// Why a history is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MemoryViolation {
    /// An engine held more than its memory.
    #[error("at {at_ms} ms {engine} held {held} of {memory}")]
    Overcommitted {
        /// When.
        at_ms: u64,
        /// The engine.
        engine: String,
        /// What it held.
        held: MemoryMib,
        /// Its memory.
        memory: MemoryMib,
    },
    /// The history does not fit together.
    #[error("event {0} does not follow from those before")]
    InvalidEvent(usize),
}

/// What one engine holds.
struct Held<'a> {
    engine: &'a str,
    memory: MemoryMib,
    items: Vec<(&'a str, MemoryMib)>,
}

/// Judges a history in the order of its events, and returns the largest share held, in
/// thousandths of an engine's memory.
///
/// # Errors
///
/// Returns the first fault.
pub fn check_memory(events: &[MemoryEvent]) -> Result<u64, MemoryViolation> {
    let mut engines: Vec<Held> = Vec::new();
    let mut peak_permille = 0;
    for (index, event) in events.iter().enumerate() {
        let held = step(&mut engines, event).ok_or(MemoryViolation::InvalidEvent(index))?;
        let sum: MemoryMib = held.items.iter().map(|(_, size)| *size).sum();
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

fn step<'a, 'b>(engines: &'b mut Vec<Held<'a>>, event: &'a MemoryEvent) -> Option<&'b Held<'a>> {
    if let MemoryChange::EngineStarted(memory) = event.change {
        engines.retain(|held| held.engine != event.engine);
        engines.push(Held {
            engine: &event.engine,
            memory,
            items: Vec::new(),
        });
    }
    let held = engines
        .iter_mut()
        .find(|held| held.engine == event.engine)?;
    match &event.change {
        MemoryChange::EngineStarted(_) => {}
        MemoryChange::Reserved(name, _) if held.items.iter().any(|(known, _)| known == name) => {
            return None;
        }
        MemoryChange::Reserved(name, size) => held.items.push((name, *size)),
        MemoryChange::Released(name) => {
            let position = held.items.iter().position(|(known, _)| known == name)?;
            held.items.remove(position);
        }
    }
    Some(held)
}
