//! Tests of loading settings: overrides, defaults, and the report of all faults at once.

use {
    greengagetrail::{
        entry::EntrySettings,
        keeper::KeeperSettings,
        settings::{Invocation, Settings, SettingsError, load_settings, markdown_table},
    },
    std::{ffi::OsString, path::Path},
};

const ENTRY_SETTINGS: &str = r#"{
    "vm": "vm-1", "data_centre": "dc-1",
    "callers_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2",
    "operations_address": "127.0.0.1:3", "keeper_address": "127.0.0.1:4",
    "store_addresses": ["127.0.0.1:5"], "peer_key": "0123456789abcdef"
}"#;

fn to_args(words: &[&str]) -> Vec<OsString> {
    words.iter().map(OsString::from).collect()
}

fn settings_file(text: &str) -> (tempdir::TempFile, String) {
    let file = tempdir::TempFile::new(text);
    let path = file.path();
    (file, path)
}

mod tempdir {
    use std::{fs, path::PathBuf};

    pub struct TempFile(PathBuf);

    impl TempFile {
        pub fn new(text: &str) -> Self {
            let name = format!(
                "ggt-settings-{}-{:x}",
                std::process::id(),
                rand::random::<u64>()
            );
            let path = std::env::temp_dir().join(name);
            fs::write(&path, text).unwrap();
            Self(path)
        }

        pub fn path(&self) -> String {
            self.0.to_str().unwrap().to_owned()
        }
    }

    impl Drop for TempFile {
        fn drop(&mut self) {
            let _ = fs::remove_file(&self.0);
        }
    }
}

#[test]
fn an_argument_overrides_the_file_and_the_default() {
    let (_file, path) = settings_file(ENTRY_SETTINGS);
    let args = to_args(&["--settings", &path, "--threads", "7", "--vm", "vm-9"]);
    let Ok(Invocation::Run(settings)) = load_settings::<EntrySettings>("ggt-entry", args) else {
        panic!("the settings were refused");
    };
    assert_eq!(settings.threads, 7);
    assert_eq!(settings.vm.as_str(), "vm-9");
    assert_eq!(settings.data_centre.as_str(), "dc-1");
}

#[test]
fn all_faults_are_reported_at_once() {
    let (_file, path) = settings_file(
        r#"{"vm": "Bad Name", "threads": -1, "peer_adress": "127.0.0.1:1", "store_addresses": []}"#,
    );
    let refused = load_settings::<EntrySettings>("ggt-entry", to_args(&["--settings", &path]));
    let Err(SettingsError::Faults(faults)) = refused else {
        panic!("the invalid settings were accepted");
    };
    for field in [
        "vm",
        "threads",
        "peer_adress",
        "peer_address",
        "peer_key",
        "data_centre",
    ] {
        assert!(
            faults.iter().any(|fault| fault.field == field),
            "no fault names {field}"
        );
    }
}

#[test]
fn limits_of_fields_are_checked() {
    let text = ENTRY_SETTINGS.replace("0123456789abcdef", "short");
    let (_file, path) = settings_file(&text);
    let refused = load_settings::<EntrySettings>("ggt-entry", to_args(&["--settings", &path]));
    let error = refused.err().unwrap().to_string();
    assert!(
        error.contains("peer_key: must have at least 16 bytes"),
        "{error}"
    );
}

#[test]
fn invalid_command_line_or_file_is_reported() {
    let unknown = load_settings::<KeeperSettings>("ggt-keeper", to_args(&["--no-such-field", "1"]));
    assert!(matches!(unknown, Err(SettingsError::Usage(_))));
    let missing =
        load_settings::<KeeperSettings>("ggt-keeper", to_args(&["--settings", "/no/file"]));
    assert!(matches!(missing, Err(SettingsError::Unreadable { .. })));
    let (_file, path) = settings_file("[1, 2]");
    let array = load_settings::<KeeperSettings>("ggt-keeper", to_args(&["--settings", &path]));
    assert!(matches!(array, Err(SettingsError::NotJson { .. })));
}

#[test]
fn arbitrary_json_objects_are_refused_without_a_panic() {
    bolero::check!()
        .with_type::<Vec<(String, i64, bool)>>()
        .for_each(|entries| {
            let mut object = serde_json::Map::new();
            for (key, number, text) in entries {
                let value = if *text {
                    number.to_string().into()
                } else {
                    (*number).into()
                };
                object.insert(key.clone(), value);
            }
            assert!(EntrySettings::from_object(&object).is_err());
        });
}

#[test]
fn settings_page_lists_every_setting() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/settings.md");
    let page = std::fs::read_to_string(path).unwrap();
    for table in [
        markdown_table::<EntrySettings>(),
        markdown_table::<KeeperSettings>(),
    ] {
        assert!(page.contains(&table), "docs/settings.md lacks:\n{table}");
    }
}
