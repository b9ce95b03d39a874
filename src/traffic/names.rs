//! Names that the platform chooses: any short text without a meaning of its own.

use {
    serde::{Deserialize, Serialize},
    std::{convert::Infallible, fmt, str::FromStr, sync::Arc},
};

macro_rules! text_id {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(Arc<str>);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = Infallible;

            fn from_str(text: &str) -> Result<Self, Infallible> {
                Ok(Self(text.into()))
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

text_id!(
    /// Names a service of backend servers.
    ServiceId
);
text_id!(
    /// Names a model.
    ModelId
);
text_id!(
    /// Names an adapter of a model.
    AdapterId
);
text_id!(
    /// Names a runner; a restarted runner may keep its name.
    RunnerId
);
text_id!(
    /// Names a data centre.
    ZoneId
);
text_id!(
    /// Names a VM of the system.
    NodeName
);
