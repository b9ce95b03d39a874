//! Sets up the logs.
//!
//! Every message starts with the fixed prefix of its part, such as `entry:`.

use {
    logforth::{
        append::Stderr,
        core::DispatchBuilder,
        filter::rustlog::RustLogFilterBuilder,
        layout::{JsonLayout, TextLayout},
    },
    serde::Deserialize,
};

/// The shape of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per message.
    Text,
    /// One JSON object per line.
    Json,
}

/// The least severe messages that are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
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

impl LogLevel {
    fn spec(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        }
    }
}

/// Sends the logs of this process to standard error.
///
/// Does nothing when the logs are already set up.
pub fn init_logs(level: LogLevel, format: LogFormat) {
    let add = |dispatch: DispatchBuilder<false>| {
        let filter = RustLogFilterBuilder::from_spec(level.spec()).build();
        let append = match format {
            LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
            LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
        };
        dispatch.filter(filter).append(append)
    };
    let _ = logforth::starter_log::builder().dispatch(add).try_apply();
}
