//! Sets up the logs of a process.

use {
    super::{LogRules, RecentEvents, log_rules::SharedRules, set_log_rules},
    logforth::{append::Stderr, layout::JsonLayout, layout::TextLayout},
    serde::{Deserialize, Serialize},
};

/// The shape of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// The least severe messages that are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Errors and warnings.
    Warn,
    /// The normal course of events as well.
    Info,
    /// Details for developers as well.
    Debug,
}

/// Sends the logs of this process to standard error.
///
/// Does nothing when the logs are already set up.
pub fn init_logs(level: LogLevel, format: LogFormat) {
    init_logs_by_part(LogRules::new(level), format);
}

/// Does as [`init_logs`] with a level for each part, and keeps the newest events in memory.
pub fn init_logs_by_part(rules: LogRules, format: LogFormat) {
    let builder = logforth::starter_log::builder();
    let builder = builder.dispatch(|dispatch| {
        let append = match format {
            LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
            LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
        };
        dispatch.filter(SharedRules).append(append)
    });
    let builder = builder.dispatch(|dispatch| dispatch.append(RecentEvents::global()));
    if builder.try_apply().is_ok() {
        set_log_rules(rules);
    }
}
