//! Tests of parsing and printing identifiers and sizes.

use greengagetrail::units::{MemoryMib, ModelName, NAME_MAX_BYTES, OrderId, Revision};

#[test]
fn names_refuse_characters_invalid_in_paths_and_keys() {
    for text in [
        "",
        "A",
        "a/b",
        "a b",
        "-a",
        "é",
        &"a".repeat(NAME_MAX_BYTES + 1),
    ] {
        assert!(text.parse::<ModelName>().is_err(), "{text:?} was accepted");
    }
}

#[test]
fn every_accepted_text_round_trips() {
    bolero::check!().with_type::<String>().for_each(|text| {
        if let Ok(name) = text.parse::<ModelName>() {
            assert_eq!(&name.to_string(), text);
        }
        if let Ok(id) = text.parse::<OrderId>() {
            assert_eq!(id.to_string().parse::<OrderId>(), Ok(id));
        }
        if let Ok(revision) = text.parse::<Revision>() {
            assert_eq!(revision.to_string().parse::<Revision>(), Ok(revision));
        }
        if let Ok(size) = text.parse::<MemoryMib>() {
            assert_eq!(size.to_string().parse::<MemoryMib>(), Ok(size));
        }
    });
}
