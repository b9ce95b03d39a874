//! The snapshot codec: what comes back, what changes, what is refused.

#[path = "common/catalogs.rs"]
mod catalogs;

use {
    bytes::Bytes,
    catalogs::sample_catalog,
    flate2::{Compression, write::ZlibEncoder},
    greengagetrail::{
        config::{
            BLOB_MAX_BYTES, Blob, Digest, EncodedSnapshot, Manifest, SnapshotError, diff_catalogs,
        },
        units::MemoryMib,
    },
    std::io::Write,
};

#[test]
fn decoded_catalog_equals_the_encoded_one() {
    for models in [0, 1, 40, 500] {
        let catalog = sample_catalog(models);
        let snapshot = EncodedSnapshot::encode(&catalog).unwrap();
        assert_eq!(snapshot.decode().unwrap(), catalog);
        let unpacked = EncodedSnapshot::unpack(snapshot.pack().unwrap()).unwrap();
        assert_eq!(unpacked, snapshot);
        assert!(
            snapshot
                .blobs()
                .iter()
                .all(|blob| blob.data().len() <= BLOB_MAX_BYTES)
        );
    }
}

#[test]
fn one_changed_object_changes_one_chunk_and_the_manifest() {
    let before = sample_catalog(500);
    let mut after = before.clone();
    after.models[77].memory_mib = MemoryMib(4097);
    let changed = new_blobs(&before, &after);
    assert_eq!(changed.len(), 2);
    assert_eq!(diff_catalogs(&before, &after).len(), 1);
    let smaller = changed.iter().map(|blob| blob.data().len()).min().unwrap();
    let whole: usize = EncodedSnapshot::encode(&after)
        .unwrap()
        .blobs()
        .iter()
        .map(|blob| blob.data().len())
        .sum();
    assert!(smaller * 4 < whole);
}

fn new_blobs(
    before: &greengagetrail::config::Catalog,
    after: &greengagetrail::config::Catalog,
) -> Vec<Blob> {
    let before = EncodedSnapshot::encode(before).unwrap();
    let after = EncodedSnapshot::encode(after).unwrap();
    after
        .blobs()
        .iter()
        .filter(|blob| before.blob(blob.digest()).is_err())
        .cloned()
        .collect()
}

#[test]
fn foreign_and_missing_blobs_are_refused() {
    let snapshot = EncodedSnapshot::encode(&sample_catalog(40)).unwrap();
    let blob = &snapshot.blobs()[0];
    let mut bytes = blob.data().to_vec();
    bytes[3] ^= 1;
    assert_eq!(
        Blob::verify(blob.digest(), bytes.into()),
        Err(SnapshotError::DigestMismatch(blob.digest()))
    );
    for missing in 0..snapshot.blobs().len() {
        let mut blobs = snapshot.blobs().to_vec();
        let digest = blobs.remove(missing).digest();
        let partial = EncodedSnapshot::from_blobs(snapshot.digest(), blobs);
        assert_eq!(partial.decode(), Err(SnapshotError::MissingBlob(digest)));
    }
}

#[test]
fn decompression_is_bounded() {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::best());
    let zeros = vec![b' '; 1 << 20];
    for _ in 0..64 {
        encoder.write_all(&zeros).unwrap();
    }
    let bomb = Blob::new(encoder.finish().unwrap().into());
    assert!(bomb.data().len() < BLOB_MAX_BYTES);
    assert!(matches!(
        Manifest::decode(&bomb),
        Err(SnapshotError::TooLarge(_))
    ));
}

#[test]
fn object_too_large_for_the_service_is_named() {
    let mut catalog = sample_catalog(3);
    let noise = (0..40_000u32).map(|i| Digest::of(&i.to_be_bytes()).to_string());
    catalog.models[1].version = noise.collect();
    let error = EncodedSnapshot::encode(&catalog).unwrap_err();
    assert_eq!(
        error.to_string(),
        "model model-0001 is too large to publish"
    );
}

/// Whatever bytes arrive: no panic, no unbounded memory.
#[test]
fn decoder_survives_arbitrary_bytes() {
    bolero::check!()
        .with_iterations(2000)
        .for_each(|bytes: &[u8]| {
            if let Ok(snapshot) = EncodedSnapshot::unpack(Bytes::copy_from_slice(bytes)) {
                let _ = snapshot.decode();
            }
        });
}

/// A valid snapshot with a flipped byte is refused or has another digest.
#[test]
fn decoder_survives_flipped_bytes() {
    let snapshot = EncodedSnapshot::encode(&sample_catalog(40)).unwrap();
    let packed = snapshot.pack().unwrap();
    bolero::check!()
        .with_iterations(2000)
        .with_type::<(u16, u8)>()
        .for_each(|(position, flip)| {
            let mut bytes = packed.to_vec();
            let position = usize::from(*position) % bytes.len();
            bytes[position] ^= flip;
            if let Ok(decoded) = EncodedSnapshot::unpack(bytes.into()) {
                let intact = decoded == snapshot;
                let renamed = decoded.digest() != snapshot.digest();
                assert!(decoded.decode().is_err() || intact || renamed);
            }
        });
}
