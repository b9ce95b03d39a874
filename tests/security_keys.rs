//! Shared keys: authenticated datagrams, and several accepted keys during a key rotation.

use greengagetrail::{
    gossip::{MAC_BYTES, append_mac, verify_mac},
    security::{KeyRing, SharedKey},
};

fn ring(keys: &[&str]) -> KeyRing {
    KeyRing::new(keys.iter().map(|&key| SharedKey::new(key)).collect())
}

#[test]
fn datagrams_are_unchanged_without_keys() {
    let none = KeyRing::default();
    assert_eq!(&*append_mac(b"load", &none), b"load");
    assert_eq!(verify_mac(b"load", &none), Some(b"load".as_slice()));
}

#[test]
fn only_codes_of_accepted_keys_are_verified() {
    let keys = ring(&["the first key"]);
    let authenticated = append_mac(b"load", &keys).into_owned();
    assert_eq!(authenticated.len(), 4 + MAC_BYTES);
    assert_eq!(verify_mac(&authenticated, &keys), Some(b"load".as_slice()));
    assert_eq!(verify_mac(&authenticated, &ring(&["another key"])), None);
    for position in 0..authenticated.len() {
        let mut changed = authenticated.clone();
        changed[position] ^= 1;
        assert_eq!(verify_mac(&changed, &keys), None);
        assert_eq!(verify_mac(&authenticated[..position], &keys), None);
    }
}

#[test]
fn a_key_rotation_in_three_steps_rejects_no_datagram() {
    let steps: [&[&str]; 4] = [&["old"], &["old", "new"], &["new", "old"], &["new"]];
    for pair in steps.windows(2) {
        let (before, after) = (ring(pair[0]), ring(pair[1]));
        for (from, to) in [(&before, &after), (&after, &before)] {
            assert!(verify_mac(&append_mac(b"load", from), to).is_some());
        }
    }
    assert!(verify_mac(&append_mac(b"load", &ring(&["old"])), &ring(&["new"])).is_none());
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
