//! A watch that is given up when it shows no sign of life.

use {
    super::{Changes, Store, StoreError, StoreVersion},
    futures::{
        StreamExt,
        stream::{self, BoxStream},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// The longest silence of a watch; the longest wait of a call that watches, and a margin.
pub const WATCH_SILENCE_MAX: Duration = Duration::from_secs(30);

/// Watches the keys that start with `prefix`, from just after `since`.
///
/// The stream ends after its first error, and silence for [`WATCH_SILENCE_MAX`] is one.
pub fn live_watch<'a>(
    store: &'a dyn Store,
    prefix: &'a str,
    since: StoreVersion,
) -> BoxStream<'a, Result<Changes, StoreError>> {
    let watch = store.watch(prefix, since);
    let live = stream::unfold(Some(watch), async |watch| {
        let mut watch = watch?;
        match timeout(WATCH_SILENCE_MAX, watch.next()).await {
            Ok(next) => next.map(|next| (next, Some(watch))),
            Err(_) => Some((
                Err(StoreError::Unknown("the watch is silent".to_owned())),
                None,
            )),
        }
    });
    live.boxed()
}
