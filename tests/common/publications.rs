//! Publications of sample catalogs.

use {
    super::catalogs::sample_catalog,
    greengagetrail::{
        config::{EncodedSnapshot, Publication},
        units::{PublishId, Revision},
    },
};

/// Returns a publication of a catalog with a number of models, based on a revision.
pub fn publication(models: usize, expected: u64) -> Publication {
    Publication {
        snapshot: EncodedSnapshot::encode(&sample_catalog(models)).unwrap(),
        publish_id: PublishId::random(),
        author: "tester".to_owned(),
        message: format!("{models} models"),
        published_at_ms: 0,
        expected: Revision(expected),
    }
}
