//! Tests of the snapshot codec: round trips, the blobs that a change affects, and invalid input.

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
    let smallest_bytes = changed.iter().map(|blob| blob.data().len()).min().unwrap();
    let total_bytes: usize = EncodedSnapshot::encode(&after)
        .unwrap()
        .blobs()
        .iter()
        .map(|blob| blob.data().len())
        .sum();
    assert!(smallest_bytes * 4 < total_bytes);
}

/// Returns the blobs of the second catalog that the first does not have.
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
fn corrupted_and_missing_blobs_are_refused() {
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

/// Arbitrary bytes cause neither a panic nor unbounded memory use.
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

/// A valid snapshot with one changed byte is refused or has another digest.
#[test]
fn decoder_survives_changed_bytes() {
    let snapshot = EncodedSnapshot::encode(&sample_catalog(40)).unwrap();
    let packed = snapshot.pack().unwrap();
    bolero::check!()
        .with_iterations(2000)
        .with_type::<(u16, u8)>()
        .for_each(|(position, mask)| {
            let mut bytes = packed.to_vec();
            let position = usize::from(*position) % bytes.len();
            bytes[position] ^= mask;
            if let Ok(decoded) = EncodedSnapshot::unpack(bytes.into()) {
                let intact = decoded == snapshot;
                let other_digest = decoded.digest() != snapshot.digest();
                assert!(decoded.decode().is_err() || intact || other_digest);
            }
        });
}
