//! The macro that declares a settings struct together with its docs.

/// Declares a settings struct whose fields carry docs and defaults.
///
/// A field without `= "..."` must be given. The default is JSON text. An optional
/// `check` function gets the finished struct and the list of faults to add to.
#[macro_export]
macro_rules! settings_struct {
    (
        $(#[$meta:meta])*
        pub struct $type:ident $(check $check:path)? {
            $(
                #[doc = $doc:literal]
                $field:ident : $ftype:ty $(= $default:literal)?
            ),* $(,)?
        }
    ) => {
        $(#[$meta])*
        #[derive(Debug, Clone)]
        pub struct $type {
            $(
                #[doc = $doc]
                pub $field: $ftype,
            )*
        }

        impl $crate::settings::Settings for $type {
            const FIELDS: &'static [$crate::settings::FieldDoc] = &[
                $(
                    $crate::settings::FieldDoc {
                        name: stringify!($field),
                        default: $crate::settings_struct!(@default $($default)?),
                        doc: $doc,
                    },
                )*
            ];

            fn from_object(
                object: &serde_json::Map<String, serde_json::Value>,
            ) -> Result<Self, Vec<$crate::settings::SettingsFault>> {
                let mut faults = Vec::new();
                $crate::settings::report_unknown_fields(object, Self::FIELDS, &mut faults);
                $(
                    let $field: Option<$ftype> = $crate::settings::read_field(
                        object,
                        stringify!($field),
                        $crate::settings_struct!(@default $($default)?),
                        &mut faults,
                    );
                )*
                let whole = (|| Some(Self { $( $field: $field?, )* }))();
                $(
                    if let Some(whole) = &whole {
                        $check(whole, &mut faults);
                    }
                )?
                match whole {
                    Some(whole) if faults.is_empty() => Ok(whole),
                    _ => Err(faults),
                }
            }
        }
    };
    (@default) => { None };
    (@default $default:literal) => { Some($default) };
}
