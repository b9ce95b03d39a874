//! Test of publishing and fetching over the HTTP interface of the key-value service.

#[path = "common/catalogs.rs"]
mod catalogs;
#[path = "common/publications.rs"]
mod publications;

use {
    catalogs::sample_catalog,
    greengagetrail::{
        config::{
            Catalog, Digest, EncodedSnapshot, FetchPolicy, PublishOutcome, Publisher,
            StoreBlobSource, collect_garbage, fetch_snapshot,
        },
        standin::{kv::MemoryStore, serve},
        store::{EtcdStore, StoreTimeouts},
        units::Revision,
    },
    publications::publication,
    std::{net::SocketAddr, sync::Arc},
};

const STORE_TIMEOUTS: StoreTimeouts = StoreTimeouts {
    call_ms: 10_000,
    watch_silence_ms: 10_000,
};
/// The number of models in the large catalog; the version of each is incompressible.
const MODEL_COUNT: usize = 3000;

/// Returns a catalog that needs many blobs and several transactions.
fn large_catalog() -> Catalog {
    let mut catalog = sample_catalog(MODEL_COUNT);
    for (index, model) in catalog.models.iter_mut().enumerate() {
        let noise =
            (0..64u32).map(|part| Digest::of(&[index.to_be_bytes(), [part as u8; 8]].concat()));
        model.version = noise.map(|digest| digest.to_string()).collect();
    }
    catalog
}

#[tokio::test]
async fn large_configuration_is_published_and_fetched_over_http() {
    let memory = MemoryStore::new();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = serve(address, Arc::new(memory.clone())).await.unwrap();
    let store = Arc::new(EtcdStore::new(vec![server.address()], STORE_TIMEOUTS));
    let publisher = Publisher::new(store.clone());
    let catalog = large_catalog();
    let mut large = publication(1, 0);
    large.snapshot = EncodedSnapshot::encode(&catalog).unwrap();
    let outcome = publisher.publish(&large, || None).await.unwrap();
    let PublishOutcome::Published(head) = outcome else {
        panic!("{outcome:?}");
    };
    let source = StoreBlobSource::new(store.as_ref());
    let fetched = fetch_snapshot(head.digest, &[], &[&source], &FetchPolicy::default()).await;
    assert_eq!(fetched.unwrap().decode().unwrap(), catalog);
    for expected in 1..10 {
        let next = publication(expected as usize, expected);
        let outcome = publisher.publish(&next, || None).await.unwrap();
        assert!(matches!(outcome, PublishOutcome::Published(_)));
    }
    assert!(collect_garbage(store.as_ref()).await.unwrap() > 0);
    assert_eq!(
        publisher.history(2).await.unwrap()[0].revision,
        Revision(10)
    );
}
