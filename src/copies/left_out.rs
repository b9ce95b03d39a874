//! Models and adapters that are asked for, have no copy, and get none from a plan.

use {
    crate::traffic::{AdapterId, ModelId},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a model or adapter must be left out before it is logged.
const LOGGED_AFTER: Duration = Duration::from_secs(3);

/// Why a plan has no copy for a model or adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeftOutCause {
    /// As many loads are in progress as may be.
    NoLoadsAvailable,
    /// No runner holds the adapter's model.
    NoModelCopy,
    /// No runner that has or can make room takes an order now.
    NoRunner,
}

impl LeftOutCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::NoLoadsAvailable => "no loads available",
            Self::NoModelCopy => "no copy of its model",
            Self::NoRunner => "no runner has room and takes orders",
        }
    }
}

/// A model or adapter that a plan left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeftOut {
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for the model itself.
    pub adapter: Option<AdapterId>,
    /// Why.
    pub cause: LeftOutCause,
}

impl LeftOut {
    /// Returns the sort key: model and adapter.
    pub(super) fn key(&self) -> (&ModelId, &Option<AdapterId>) {
        (&self.model, &self.adapter)
    }
}

/// A model or adapter that all plans have left out since an instant.
#[derive(Debug)]
struct Absence {
    model: ModelId,
    adapter: Option<AdapterId>,
    since: Instant,
    is_logged: bool,
}

/// Logs what is left out for long, sorted by model and adapter.
#[derive(Debug, Default)]
pub(super) struct AbsenceLog(Vec<Absence>);

impl AbsenceLog {
    /// Compares what a plan left out, sorted, with the plans before; logs what is left out for long,
    /// and when that ends.
    pub fn record(&mut self, left_out: &[LeftOut], now: Instant) {
        for entry in left_out {
            let found = self
                .0
                .binary_search_by(|known| known.key().cmp(&entry.key()));
            let position = found.unwrap_or_else(|position| {
                self.0.insert(position, Absence::new(entry, now));
                position
            });
            self.0[position].log_if_due(entry.cause, now);
        }
        self.0.retain(|known| {
            let found = left_out.binary_search_by(|entry| entry.key().cmp(&known.key()));
            let is_left_out = found.is_ok();
            if !is_left_out && known.is_logged {
                known.log_end(now);
            }
            is_left_out
        });
    }
}

impl Absence {
    fn new(entry: &LeftOut, since: Instant) -> Self {
        Self {
            model: entry.model.clone(),
            adapter: entry.adapter.clone(),
            since,
            is_logged: false,
        }
    }

    fn key(&self) -> (&ModelId, &Option<AdapterId>) {
        (&self.model, &self.adapter)
    }

    fn log_if_due(&mut self, cause: LeftOutCause, now: Instant) {
        if self.is_logged || now < self.since + LOGGED_AFTER {
            return;
        }
        self.is_logged = true;
        log::warn!(
            model:% = self.model,
            adapter:% = self.adapter.as_ref().map_or("", AdapterId::as_str),
            absent_ms = (now - self.since).as_millis() as u64,
            cause = cause.as_str();
            "copies: what is asked for has no copy."
        );
    }

    fn log_end(&self, now: Instant) {
        log::info!(
            model:% = self.model,
            adapter:% = self.adapter.as_ref().map_or("", AdapterId::as_str),
            absent_ms = (now - self.since).as_millis() as u64;
            "copies: what had no copy has one, or is no longer asked for."
        );
    }
}
