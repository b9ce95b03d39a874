//! Sets up logging for a process.

use {
    super::{LogRules, RecentEvents, log_rules::LogRulesFilter, set_log_rules},
    logforth::{
        Diagnostic, Filter,
        append::Stderr,
        filter::FilterResult,
        layout::{JsonLayout, TextLayout},
        record::FilterCriteria,
    },
    serde::{Deserialize, Serialize},
    std::sync::atomic::{AtomicBool, Ordering},
};

/// Whether log lines are JSON.
static IS_JSON: AtomicBool = AtomicBool::new(false);

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Errors and warnings.
    Warn,
    /// Errors, warnings and normal events.
    Info,
    /// All of the above, and details for developers.
    Debug,
}

/// Sets up logging of this process to standard error.
///
/// Has no effect if logging is already set up.
pub fn init_logs(level: LogLevel, format: LogFormat) {
    init_logs_by_part(LogRules::new(level), format);
}

/// Sets up logging like [`init_logs`], with a level for each part of the program.
///
/// Also keeps the newest events in [`RecentEvents::global`].
pub fn init_logs_by_part(rules: LogRules, format: LogFormat) {
    let builder = logforth::starter_log::builder();
    let builder = builder.dispatch(|dispatch| {
        let text = Stderr::default().with_layout(TextLayout::default().no_color());
        let dispatch = dispatch.filter(FormatFilter(LogFormat::Text));
        dispatch.filter(LogRulesFilter).append(text)
    });
    let builder = builder.dispatch(|dispatch| {
        let json = Stderr::default().with_layout(JsonLayout::default());
        let dispatch = dispatch.filter(FormatFilter(LogFormat::Json));
        dispatch.filter(LogRulesFilter).append(json)
    });
    let builder = builder.dispatch(|dispatch| dispatch.append(RecentEvents::global()));
    if builder.try_apply().is_ok() {
        set_log_rules(rules);
        set_log_format(format);
    }
}

/// Sets the format of subsequent log lines.
pub fn set_log_format(format: LogFormat) {
    IS_JSON.store(format == LogFormat::Json, Ordering::Relaxed);
}

/// A filter that passes messages while its format is the selected one.
#[derive(Debug)]
struct FormatFilter(LogFormat);

impl Filter for FormatFilter {
    fn enabled(&self, _: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let is_json = IS_JSON.load(Ordering::Relaxed);
        match is_json == (self.0 == LogFormat::Json) {
            true => FilterResult::Neutral,
            false => FilterResult::Reject,
        }
    }
}
