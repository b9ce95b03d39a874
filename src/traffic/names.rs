//! Names that the platform chooses: any short text without a meaning of its own.

use {
    crate::units::text_type,
    std::{convert::Infallible, str::FromStr},
};

macro_rules! text_id {
    ($(#[$doc:meta])* $type:ident) => {
        text_type!(
            $(#[$doc])*
            #[serde(transparent)]
            $type
        );

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
