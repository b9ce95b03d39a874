//! A watch that fails when no message arrives in time.

use {
    super::{Changes, Store, StoreError, StoreVersion},
    futures::{
        StreamExt,
        stream::{self, BoxStream},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// The longest time between two messages of a watch: the longest long-polling call, and a margin.
pub const WATCH_SILENCE_MAX: Duration = Duration::from_secs(30);

/// Watches the keys that start with `prefix`, from just after `since`.
///
/// The stream ends after its first error. It fails if no message arrives for
/// [`WATCH_SILENCE_MAX`].
pub fn watch_with_timeout<'a>(
    store: &'a dyn Store,
    prefix: &'a str,
    since: StoreVersion,
) -> BoxStream<'a, Result<Changes, StoreError>> {
    let watch = store.watch(prefix, since);
    let messages = stream::unfold(Some(watch), async |watch| {
        let mut watch = watch?;
        match timeout(WATCH_SILENCE_MAX, watch.next()).await {
            Ok(next) => next.map(|next| (next, Some(watch))),
            Err(_) => Some((
                Err(StoreError::Unknown("the watch timed out".to_owned())),
                None,
            )),
        }
    });
    messages.boxed()
}
