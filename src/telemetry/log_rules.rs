//! Log levels by part of the program, which can change while the process runs.

use {
    super::LogLevel,
    logforth::{
        Diagnostic, Filter,
        filter::FilterResult,
        record::{FilterCriteria, Level},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{PoisonError, RwLock},
    },
};

/// The rules of this process; `None` until logging is set up.
static LOG_RULES: RwLock<Option<LogRules>> = RwLock::new(None);

/// The least severe level that is logged, for each part of the program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRules {
    /// The level of parts without an own level.
    pub level: LogLevel,
    /// The levels of single parts, by the name of their source folder, such as `relay`.
    pub parts: BTreeMap<String, LogLevel>,
}

impl LogRules {
    /// Creates rules with one level for all parts.
    pub fn new(level: LogLevel) -> Self {
        Self {
            level,
            parts: BTreeMap::new(),
        }
    }

    /// Returns the level of a log target, such as `greengagetrail::relay::call`.
    pub fn level_of(&self, target: &str) -> LogLevel {
        *self.parts.get(part_of(target)).unwrap_or(&self.level)
    }

    fn most_verbose(&self) -> log::LevelFilter {
        let levels = self.parts.values().copied().chain([self.level]);
        let levels = levels.map(level_filter);
        levels.max().unwrap_or(log::LevelFilter::Info)
    }
}

/// Returns the part of the program to which a log target belongs.
pub fn part_of(target: &str) -> &str {
    let mut segments = target.split("::");
    let first = segments.next().unwrap_or(target);
    segments.next().unwrap_or(first)
}

/// Sets the rules of this process.
///
/// Also sets the global maximum level, so that messages below the level of every part cost a single
/// comparison.
pub fn set_log_rules(rules: LogRules) {
    log::set_max_level(rules.most_verbose());
    *LOG_RULES.write().unwrap_or_else(PoisonError::into_inner) = Some(rules);
}

fn level_filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

/// A filter that passes messages according to the rules of this process.
#[derive(Debug)]
pub(super) struct LogRulesFilter;

impl Filter for LogRulesFilter {
    fn enabled(&self, criteria: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        let rules = LOG_RULES.read().unwrap_or_else(PoisonError::into_inner);
        let level = rules
            .as_ref()
            .map(|rules| rules.level_of(criteria.target()));
        let min_level = match level {
            Some(LogLevel::Error) => Level::Error,
            Some(LogLevel::Warn) => Level::Warn,
            Some(LogLevel::Info) | None => Level::Info,
            Some(LogLevel::Debug) => Level::Debug,
        };
        match criteria.level() >= min_level {
            true => FilterResult::Neutral,
            false => FilterResult::Reject,
        }
    }
}
