//! Types for the names that the platform assigns; the system does not interpret them.

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
    /// The name of a service of backend servers.
    ServiceId
);
text_id!(
    /// The version of a runner's software; versions have no order.
    SoftwareVersion
);
text_id!(
    /// The name of a model.
    ModelId
);
text_id!(
    /// The name of an adapter of a model.
    AdapterId
);
text_id!(
    /// The name of a runner; a restarted runner may have the same name.
    RunnerId
);
text_id!(
    /// The name of a data centre.
    ZoneId
);
text_id!(
    /// The name of a VM of the system.
    NodeName
);
