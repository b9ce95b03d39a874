//! Watches and ranges that are made of several calls.

use {
    super::{Changes, Range, StoreError, StoreVersion},
    futures::stream::{self, BoxStream, StreamExt},
    std::future::Future,
};

/// Makes a watch from calls that wait for changes after a version.
///
/// A call is made once its answer is asked for, and none after the first error.
pub fn long_poll<'a, Call, Answer>(
    since: StoreVersion,
    call: Call,
) -> BoxStream<'a, Result<Changes, StoreError>>
where
    Call: Fn(StoreVersion) -> Answer + Send + 'a,
    Answer: Future<Output = Result<Changes, StoreError>> + Send + 'a,
{
    let next = move |since: Option<StoreVersion>| {
        let asked = since.map(|since| (since, call(since)));
        async move {
            let (since, answer) = asked?;
            let answer = answer.await;
            let rest = answer.as_ref().ok();
            let rest = rest.map(|changes| since.max(changes.version));
            Some((answer, rest))
        }
    };
    stream::unfold(Some(since), next).boxed()
}

/// Reads a range page by page until it ends or has `limit` entries.
///
/// `page` reads the page after a key. The version is that of the first page: later pages see later
/// versions, and a watch from the first one repeats what they saw.
///
/// # Errors
///
/// Fails with the first page that does.
pub async fn read_pages<Page, Answer>(limit: usize, page: Page) -> Result<Range, StoreError>
where
    Page: Fn(Option<String>) -> Answer,
    Answer: Future<Output = Result<Range, StoreError>>,
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
