//! The macro that declares a settings struct with the descriptions of its fields.

/// Declares a settings struct whose fields have descriptions and defaults.
///
/// The default after `=` is JSON text; a field without a default is required. The optional `check`
/// function receives the parsed struct and the list of faults, to which it adds its own.
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
                let settings = (|| Some(Self { $( $field: $field?, )* }))();
                $(
                    if let Some(settings) = &settings {
                        $check(settings, &mut faults);
                    }
                )?
                match settings {
                    Some(settings) if faults.is_empty() => Ok(settings),
                    _ => Err(faults),
                }
            }
        }
    };
    (@default) => { None };
    (@default $default:literal) => { Some($default) };
}
