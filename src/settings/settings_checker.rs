//! Checks that the settings of several processes share.

use {super::SettingsFault, std::net::SocketAddr};

/// The least length of a shared key, in bytes.
const SHARED_KEY_MIN_BYTES: usize = 16;

/// Checks fields and adds a fault for each invalid one.
#[derive(Debug)]
pub struct SettingsChecker<'a>(&'a mut Vec<SettingsFault>);

impl<'a> SettingsChecker<'a> {
    /// Creates a checker that adds its faults to `faults`.
    pub fn new(faults: &'a mut Vec<SettingsFault>) -> Self {
        Self(faults)
    }

    /// Adds a fault unless a condition holds.
    pub fn require(&mut self, holds: bool, field: &str, problem: impl Into<String>) {
        if !holds {
            self.0.push(SettingsFault {
                field: field.to_owned(),
                problem: problem.into(),
            });
        }
    }

    /// Requires a number to be at least `min`.
    pub fn require_at_least(&mut self, field: &str, value: u64, min: u64) {
        self.require(value >= min, field, format!("must be at least {min}"));
    }

    /// Requires a finite number above zero.
    pub fn require_positive(&mut self, field: &str, value: f64) {
        self.require(value.is_finite() && value > 0.0, field, "must be above 0");
    }

    /// Requires at least one address.
    pub fn require_addresses(&mut self, field: &str, addresses: &[SocketAddr]) {
        self.require(!addresses.is_empty(), field, "must name an address");
    }

    /// Requires a shared key of the least length or longer.
    pub fn require_key(&mut self, field: &str, key: &str) {
        let problem = format!("must have at least {SHARED_KEY_MIN_BYTES} bytes");
        self.require(key.len() >= SHARED_KEY_MIN_BYTES, field, problem);
    }
}
