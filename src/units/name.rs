//! Names of configured objects and of VMs.

use {
    super::{UnitError, text_type::text_type},
    std::str::FromStr,
};

/// The greatest length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 63;

/// Checks that a text is a valid name.
fn check_name(expected: &'static str, text: &str) -> Result<(), UnitError> {
    let fail = |reason| {
        Err(UnitError {
            expected,
            text: text.chars().take(80).collect(),
            reason,
        })
    };
    if text.is_empty() {
        return fail("it is empty");
    }
    if text.len() > NAME_MAX_BYTES {
        return fail("it is longer than 63 bytes");
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    if !text.chars().all(allowed) {
        return fail("only a-z, 0-9, '-', '.' and '_' are allowed");
    }
    if !text.starts_with(|c: char| c.is_ascii_alphanumeric()) {
        return fail("it must start with a letter or digit");
    }
    Ok(())
}

/// Declares a newtype for the name of one kind of object.
macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident, $expected:literal) => {
        text_type!(
            $(#[$doc])*
            #[serde(try_from = "String", into = "String")]
            $type
        );

        impl FromStr for $type {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                check_name($expected, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $type {
            type Error = UnitError;

            fn try_from(text: String) -> Result<Self, UnitError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// The name of a model.
    ModelName,
    "model name"
);
name_type!(
    /// The name of an adapter.
    AdapterName,
    "adapter name"
);
name_type!(
    /// The name of a service.
    ServiceName,
    "service name"
);
name_type!(
    /// The name of a placement.
    PlacementName,
    "placement name"
);
name_type!(
    /// The name of a runner: one model engine on a backend server.
    RunnerName,
    "runner name"
);
name_type!(
    /// The name of a data centre.
    DataCentreName,
    "data centre name"
);
name_type!(
    /// The name of a region.
    RegionName,
    "region name"
);
name_type!(
    /// The name of an entry VM.
    VmName,
    "VM name"
);
name_type!(
    /// The name of one backend server of a plain service.
    BackendName,
    "backend name"
);
