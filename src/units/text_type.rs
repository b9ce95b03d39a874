//! The macro that declares the types of names.

/// Declares a newtype over reference-counted text, with `as_str` and `Display`.
macro_rules! text_type {
    ($(#[$meta:meta])* $type:ident) => {
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        $(#[$meta])*
        pub struct $type(std::sync::Arc<str>);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

pub(crate) use text_type;
