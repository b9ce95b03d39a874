//! Shared keys: sealed datagrams, and several accepted keys during a replacement.

use greengagetrail::{
    gossip::{SEAL_BYTES, open, seal},
    security::{KeyRing, SharedKey},
};

fn ring(keys: &[&str]) -> KeyRing {
    KeyRing::new(keys.iter().map(|&key| SharedKey::new(key)).collect())
}

#[test]
fn datagrams_stay_as_they_are_without_keys() {
    let none = KeyRing::default();
    assert_eq!(&*seal(b"load", &none), b"load");
    assert_eq!(open(b"load", &none), Some(b"load".as_slice()));
}

#[test]
fn only_what_an_accepted_key_seals_is_opened() {
    let keys = ring(&["the first key"]);
    let sealed = seal(b"load", &keys).into_owned();
    assert_eq!(sealed.len(), 4 + SEAL_BYTES);
    assert_eq!(open(&sealed, &keys), Some(b"load".as_slice()));
    assert_eq!(open(&sealed, &ring(&["another key"])), None);
    for position in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[position] ^= 1;
        assert_eq!(open(&changed, &keys), None);
        assert_eq!(open(&sealed[..position], &keys), None);
    }
}

#[test]
fn keys_are_replaced_in_three_steps_and_every_datagram_is_opened() {
    let steps: [&[&str]; 4] = [&["old"], &["old", "new"], &["new", "old"], &["new"]];
    for pair in steps.windows(2) {
        let (before, after) = (ring(pair[0]), ring(pair[1]));
        for (from, to) in [(&before, &after), (&after, &before)] {
            assert!(open(&seal(b"load", from), to).is_some());
        }
    }
    assert!(open(&seal(b"load", &ring(&["old"])), &ring(&["new"])).is_none());
}

#[test]
fn keys_in_settings_are_long_enough_and_never_printed() {
    assert!(serde_json::from_str::<SharedKey>("\"short\"").is_err());
    let key: SharedKey = serde_json::from_str("\"a key of 16 bytes or more\"").unwrap();
    assert!(!format!("{key:?}").contains("bytes"));
    let keys = KeyRing::new(vec![key]);
    assert!(keys.accepts(b"a key of 16 bytes or more"));
    keys.replace(vec![SharedKey::new("another")]);
    assert!(!keys.accepts(b"a key of 16 bytes or more") && keys.accepts(b"another"));
}
