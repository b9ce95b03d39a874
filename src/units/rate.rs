//! Rates.

use {
    super::UnitError,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, time::Duration},
};

/// A rate of requests, in thousandths of a request per second; written as requests per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the interval between two requests at this rate; `None` if the rate is 0.
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0).then(|| Duration::from_secs_f64(1.0 / self.per_s()))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s())
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number: Option<f64> = text.trim().parse().ok();
        let rate = number.filter(|number| number.is_finite() && *number >= 0.0);
        rate.map(|rate| Self((rate * 1_000.0) as u64))
            .ok_or_else(|| UnitError {
                expected: "rate in requests per second",
                text: text.chars().take(80).collect(),
                reason: "it is not a decimal number of 0 or more",
            })
    }
}
