//! Sizes of accelerator memory.

use {
    super::UnitError,
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        iter::Sum,
        ops::{Add, AddAssign},
        str::FromStr,
    },
};

/// An amount of accelerator memory in MiB.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemoryMib(pub u64);

impl MemoryMib {
    /// Subtracts an amount; the result is zero when the amount is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for MemoryMib {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl AddAssign for MemoryMib {
    fn add_assign(&mut self, other: Self) {
        self.0 += other.0;
    }
}

impl Sum for MemoryMib {
    fn sum<I: Iterator<Item = Self>>(sizes: I) -> Self {
        sizes.fold(Self::default(), Add::add)
    }
}

impl fmt::Display for MemoryMib {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} MiB", self.0)
    }
}

impl FromStr for MemoryMib {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let digits = text.strip_suffix("MiB").unwrap_or(text).trim();
        digits.parse().map(Self).map_err(|_| UnitError {
            expected: "memory size in MiB",
            text: text.chars().take(80).collect(),
            reason: "it is not a whole number",
        })
    }
}
