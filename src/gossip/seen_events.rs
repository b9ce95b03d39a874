//! The urgent events received so far, so that each is delivered once.

use {
    super::{Event, UrgentEvent, sequence_window::SequenceWindow},
    crate::{dispatch::LimitReport, quarantine::QuarantineMessage, traffic::NodeName},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long the sequence numbers of an origin are kept after its last event.
const ORIGIN_TTL: Duration = Duration::from_secs(30);

/// The largest number of origins; events of further origins are ignored.
const ORIGINS_MAX: usize = 2_048;

/// How long a second event about a leaving runner or a configuration is suppressed.
const DUPLICATE_CONTENT_TTL: Duration = Duration::from_secs(5);

/// How long a second event about the same limit of a runner is suppressed.
const DUPLICATE_LIMIT_TTL: Duration = Duration::from_millis(300);

/// How long a second event that clears the same content is suppressed; nodes remember the first one
/// for longer.
const DUPLICATE_HARMLESS_TTL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Origin {
    node: NodeName,
    start: u64,
    window: SequenceWindow,
    received_at: Instant,
}

/// The recent urgent events by origin.
#[derive(Debug, Default)]
pub(super) struct SeenEvents {
    origins: Vec<Origin>,
    /// The contents with the end of the time in which the same content is suppressed.
    recent_contents: Vec<(Event, Instant)>,
}

impl SeenEvents {
    /// Records an event and returns whether it is new.
    pub(super) fn insert(&mut self, urgent_event: &UrgentEvent, now: Instant) -> bool {
        let key = (&urgent_event.origin, urgent_event.start);
        let found = self
            .origins
            .binary_search_by(|origin| (&origin.node, origin.start).cmp(&key));
        let position = match found {
            Ok(position) => position,
            Err(_) if self.origins.len() >= ORIGINS_MAX => return false,
            Err(position) => {
                let origin = Origin {
                    node: urgent_event.origin.clone(),
                    start: urgent_event.start,
                    window: SequenceWindow::default(),
                    received_at: now,
                };
                self.origins.insert(position, origin);
                position
            }
        };
        self.origins[position].received_at = now;
        self.origins[position].window.insert(urgent_event.number)
    }

    /// Records the content of an event and returns whether the same content came recently.
    ///
    /// All nodes learn of a runner that leaves or crashed, or of a new configuration, at about the
    /// same time, and clear the common contents of a crash; the event of one of them is enough.
    pub(super) fn is_recent_duplicate(&mut self, event: &Event, now: Instant) -> bool {
        let suppressed_for = match event {
            Event::Leaving(_) | Event::StatedLeaving(_) | Event::Config(_) => DUPLICATE_CONTENT_TTL,
            Event::Unreachable(_) => event.ttl(),
            Event::Limit(_) => DUPLICATE_LIMIT_TTL,
            Event::Quarantine(QuarantineMessage::Harmless(_)) => DUPLICATE_HARMLESS_TTL,
            // Each crash counts by itself, and verdicts have versions.
            Event::Held(_) | Event::Quarantine(_) => return false,
        };
        self.recent_contents.retain(|(_, until)| now < *until);
        let content = without_age(event);
        let mut recent = self.recent_contents.iter();
        let is_duplicate = recent.any(|(known, _)| *known == content);
        if !is_duplicate {
            self.recent_contents.push((content, now + suppressed_for));
        }
        is_duplicate
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.origins
            .retain(|origin| now < origin.received_at + ORIGIN_TTL);
    }
}

/// Returns an event without the age of what it reports, by which equal reports differ.
fn without_age(event: &Event) -> Event {
    match event {
        Event::Limit(report) => Event::Limit(LimitReport {
            observed_ms_ago: 0,
            ..report.clone()
        }),
        other => other.clone(),
    }
}
