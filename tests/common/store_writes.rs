//! Writes to a store in memory.

use {
    bytes::Bytes,
    greengagetrail::store::{Op, Store, Txn},
};

/// Writes a key.
pub async fn write(store: &dyn Store, key: &str, text: &str) {
    let put = Op::Put {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(text.as_bytes()),
        lease: None,
    };
    let txn = Txn {
        then: vec![put],
        ..Txn::default()
    };
    store.txn(txn).await.unwrap();
}
