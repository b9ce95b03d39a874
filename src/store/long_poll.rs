//! Builds watches from long-polling calls and range reads from pages.

use {
    super::{Changes, Range, StoreError, StoreVersion},
    futures::stream::{self, BoxStream, StreamExt},
    std::future::Future,
};

/// Builds a watch from long-polling calls that each wait for changes after a version.
///
/// Each call is made when the stream is polled. The stream ends after its first error.
pub fn long_poll<'a, Call, Response>(
    since: StoreVersion,
    call: Call,
) -> BoxStream<'a, Result<Changes, StoreError>>
where
    Call: Fn(StoreVersion) -> Response + Send + 'a,
    Response: Future<Output = Result<Changes, StoreError>> + Send + 'a,
{
    let next = move |since: Option<StoreVersion>| {
        let polled = since.map(|since| (since, call(since)));
        async move {
            let (since, response) = polled?;
            let response = response
                .await
                .and_then(|changes| not_before(since, changes));
            let next_since = response.as_ref().ok();
            let next_since = next_since.map(|changes| changes.version);
            Some((response, next_since))
        }
    };
    stream::unfold(Some(since), next).boxed()
}

/// Returns changes after `since`.
///
/// # Errors
///
/// Fails with [`StoreError::Compacted`] if they end before `since`: the store went back to an older
/// copy of itself.
pub fn not_before(since: StoreVersion, changes: Changes) -> Result<Changes, StoreError> {
    if changes.version < since {
        return Err(StoreError::Compacted);
    }
    Ok(changes)
}

/// Reads a range page by page until it ends or has `limit` entries.
///
/// `page` reads the page after a key. The returned version is that of the first page: later pages
/// may contain later writes, which a watch from the first version reports again.
///
/// # Errors
///
/// Returns the error of the first page that cannot be read.
pub async fn read_pages<Page, Response>(limit: usize, page: Page) -> Result<Range, StoreError>
where
    Page: Fn(Option<String>) -> Response,
    Response: Future<Output = Result<Range, StoreError>>,
{
    let mut range = page(None).await?;
    while range.more && range.entries.len() < limit {
        let last = range.entries.last().map(|entry| entry.key.clone());
        let next = page(last).await?;
        range.more = next.more && !next.entries.is_empty();
        range.entries.extend(next.entries);
    }
    range.more |= range.entries.len() > limit;
    range.entries.truncate(limit);
    Ok(range)
}
