//! The checks that settings of several processes share.

use {super::Fault, std::net::SocketAddr};

/// The shortest shared key, in bytes.
const KEY_MIN_BYTES: usize = 16;

/// Checks fields and records a fault for each that is wrong.
#[derive(Debug)]
pub struct Requirements<'a>(&'a mut Vec<Fault>);

impl<'a> Requirements<'a> {
    /// Records into `faults`.
    pub fn new(faults: &'a mut Vec<Fault>) -> Self {
        Self(faults)
    }

    /// Records a fault unless a condition holds.
    pub fn holds(&mut self, holds: bool, field: &str, problem: impl Into<String>) {
        if !holds {
            self.0.push(Fault {
                field: field.to_owned(),
                problem: problem.into(),
            });
        }
    }

    /// Demands a whole number that is not too small.
    pub fn at_least(&mut self, field: &str, value: u64, min: u64) {
        self.holds(value >= min, field, format!("must be at least {min}"));
    }

    /// Demands a finite number above zero.
    pub fn positive(&mut self, field: &str, value: f64) {
        self.holds(value.is_finite() && value > 0.0, field, "must be above 0");
    }

    /// Demands an address.
    pub fn addresses(&mut self, field: &str, addresses: &[SocketAddr]) {
        self.holds(!addresses.is_empty(), field, "must name an address");
    }

    /// Demands a shared key that is long enough.
    pub fn key(&mut self, field: &str, key: &str) {
        let problem = format!("must have at least {KEY_MIN_BYTES} bytes");
        self.holds(key.len() >= KEY_MIN_BYTES, field, problem);
    }
}
