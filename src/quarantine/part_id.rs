//! The identifier of a prompt part.

use {
    crate::units::UnitError,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Identifies the text of a part that prompts share; written in hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| UnitError {
            expected: "prompt part",
            text: text.chars().take(80).collect(),
            reason: "it is not a hexadecimal number",
        })
    }
}
