//! The checks that settings of several processes share.

use {super::SettingsFault, std::net::SocketAddr};

/// The shortest shared key, in bytes.
const KEY_MIN_BYTES: usize = 16;

/// Checks fields and records a fault for each that is wrong.
#[derive(Debug)]
pub struct SettingsChecker<'a>(&'a mut Vec<SettingsFault>);

impl<'a> SettingsChecker<'a> {
    /// Records into `faults`.
    pub fn new(faults: &'a mut Vec<SettingsFault>) -> Self {
        Self(faults)
    }

    /// Records a fault unless a condition holds.
    pub fn require(&mut self, holds: bool, field: &str, problem: impl Into<String>) {
        if !holds {
            self.0.push(SettingsFault {
                field: field.to_owned(),
                problem: problem.into(),
            });
        }
    }

    /// Demands a whole number that is not too small.
    pub fn require_at_least(&mut self, field: &str, value: u64, min: u64) {
        self.require(value >= min, field, format!("must be at least {min}"));
    }

    /// Demands a finite number above zero.
    pub fn require_positive(&mut self, field: &str, value: f64) {
        self.require(value.is_finite() && value > 0.0, field, "must be above 0");
    }

    /// Demands an address.
    pub fn require_addresses(&mut self, field: &str, addresses: &[SocketAddr]) {
        self.require(!addresses.is_empty(), field, "must name an address");
    }

    /// Demands a shared key that is long enough.
    pub fn require_key(&mut self, field: &str, key: &str) {
        let problem = format!("must have at least {KEY_MIN_BYTES} bytes");
        self.require(key.len() >= KEY_MIN_BYTES, field, problem);
    }
}
