//! Numeric identifiers of requests, orders, processes and configuration revisions.

use {
    super::UnitError,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Declares a newtype for a number that only increases.
macro_rules! counter_type {
    ($(#[$doc:meta])* $type:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl $type {
            /// Returns the next higher value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse().map(Self).map_err(|_| UnitError {
                    expected: $expected,
                    text: text.chars().take(80).collect(),
                    reason: "it is not a whole number",
                })
            }
        }
    };
}

counter_type!(
    /// The number of a published configuration, which only increases.
    Revision,
    "revision"
);
counter_type!(
    /// The fencing number of a runner's owner, which increases with each change of owner.
    Epoch,
    "epoch"
);
counter_type!(
    /// The number of one start of a process or engine; a later start has a higher number.
    Incarnation,
    "incarnation"
);

/// Declares a newtype for a random 128-bit identifier, written as 32 hexadecimal digits.
macro_rules! random_id_type {
    ($(#[$doc:meta])* $type:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(pub u128);

        impl $type {
            /// Creates a new random identifier.
            pub fn random() -> Self {
                Self(rand::random())
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let fail = |reason| UnitError {
                    expected: $expected,
                    text: text.chars().take(80).collect(),
                    reason,
                };
                if text.len() != 32 {
                    return Err(fail("it is not 32 hexadecimal digits"));
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| fail("it is not hexadecimal"))
            }
        }

        impl TryFrom<String> for $type {
            type Error = UnitError;

            fn try_from(text: String) -> Result<Self, UnitError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(id: $type) -> String {
                id.to_string()
            }
        }
    };
}

random_id_type!(
    /// Identifies one request of a caller.
    RequestId,
    "request id"
);
random_id_type!(
    /// Identifies one order to a model engine.
    OrderId,
    "order id"
);
random_id_type!(
    /// Identifies one attempt to publish a configuration.
    PublishId,
    "publish id"
);
