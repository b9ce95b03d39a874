//! Keeps the newest log events of a process in memory, for operators.

use {
    super::part_of,
    crate::units::unix_now_ms,
    logforth::{
        Append, Diagnostic, Error,
        kv::{KeyView, ValueView, Visitor},
        record::{Level, Record},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::{Arc, LazyLock, Mutex, PoisonError},
    },
};

/// The largest number of events that are kept.
const EVENTS_MAX: usize = 256;

/// The events of this process.
static PROCESS_EVENTS: LazyLock<RecentEvents> = LazyLock::new(RecentEvents::default);

/// A log event with fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// The number of the event, counted from 1 since the start of the process.
    pub number: u64,
    /// The time of the event, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The severity, in lower case.
    pub level: String,
    /// The part of the program that logged the event.
    pub part: String,
    /// The text of the event.
    pub message: String,
    /// The names and values of the fields, such as a runner, version or fencing token.
    pub fields: Vec<(String, String)>,
}

/// The kept events and the number of the last one.
#[derive(Debug, Default)]
struct EventBuffer {
    last_number: u64,
    events: VecDeque<LoggedEvent>,
}

/// A bounded buffer of the newest log events that have fields.
#[derive(Debug, Clone, Default)]
pub struct RecentEvents(Arc<Mutex<EventBuffer>>);

impl RecentEvents {
    /// Returns the buffer of this process.
    pub fn global() -> Self {
        PROCESS_EVENTS.clone()
    }

    /// Returns at most `limit` of the newest events, the newest last.
    pub fn newest(&self, limit: usize) -> Vec<LoggedEvent> {
        let buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let first = buffer.events.len().saturating_sub(limit);
        buffer.events.range(first..).cloned().collect()
    }

    /// Numbers and adds an event, and drops the oldest one if the buffer is full.
    pub fn add(&self, mut event: LoggedEvent) {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.last_number += 1;
        event.number = buffer.last_number;
        if buffer.events.len() >= EVENTS_MAX {
            buffer.events.pop_front();
        }
        buffer.events.push_back(event);
    }
}

impl Append for RecentEvents {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if record.level() < Level::Info {
            return Ok(());
        }
        let mut fields = FieldCollector::default();
        record.key_values().visit(&mut fields)?;
        if fields.0.is_empty() {
            return Ok(());
        }
        self.add(LoggedEvent {
            number: 0,
            at_unix_ms: unix_now_ms(),
            level: record.level().to_string().to_lowercase(),
            part: part_of(record.target()).to_owned(),
            message: record.payload().to_string(),
            fields: fields.0,
        });
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Collects the fields of a log record.
#[derive(Default)]
struct FieldCollector(Vec<(String, String)>);

impl Visitor for FieldCollector {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        self.0.push((key.as_str().to_owned(), value.to_string()));
        Ok(())
    }
}
