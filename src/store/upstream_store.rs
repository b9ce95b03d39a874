//! A store that receives changes from an upstream peer where possible.

use {
    super::{
        ChangeLogs, Changes, Lease, LeaseId, Range, SharedStore, Store, StoreError, StoreVersion,
        Txn, TxnReply,
    },
    futures::{
        StreamExt,
        future::BoxFuture,
        stream::{self, BoxStream},
    },
    std::{
        fmt,
        sync::{Arc, OnceLock},
    },
};

/// A source of changes other than the store itself, such as a peer.
pub trait ChangeSource: Send + Sync {
    /// Waits for a short time for changes below a prefix after a version.
    ///
    /// An empty batch shows that the source is alive. Returns `None` if there is no source or it
    /// failed, so that the store itself must be watched.
    fn changes_after<'a>(
        &'a self,
        prefix: &'a str,
        after: StoreVersion,
    ) -> BoxFuture<'a, Option<Changes>>;
}

/// A store whose watches receive changes from an upstream peer where possible.
///
/// All other calls are forwarded to the inner store. The newest changes are buffered for the peers
/// that follow this process.
pub struct UpstreamStore {
    inner: SharedStore,
    source: OnceLock<Arc<dyn ChangeSource>>,
    logs: Arc<ChangeLogs>,
}

impl fmt::Debug for UpstreamStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("UpstreamStore")
    }
}

impl UpstreamStore {
    /// Creates a store that forwards all calls to `inner` until a source is set.
    pub fn new(inner: SharedStore) -> Self {
        Self {
            inner,
            source: OnceLock::new(),
            logs: Arc::default(),
        }
    }

    /// Sets the source of changes; later calls have no effect.
    pub fn follow(&self, source: Arc<dyn ChangeSource>) {
        let _ = self.source.set(source);
    }

    /// Returns the newest changes that the watches reported.
    pub fn logs(&self) -> Arc<ChangeLogs> {
        self.logs.clone()
    }
}

/// A watch that polls the source first and falls back to the store.
struct UpstreamWatch<'a> {
    store: &'a UpstreamStore,
    prefix: &'a str,
    since: StoreVersion,
    /// The watch of the store itself, open while the source provides no changes.
    store_watch: Option<BoxStream<'a, Result<Changes, StoreError>>>,
}

impl UpstreamWatch<'_> {
    async fn next(&mut self) -> Option<Result<Changes, StoreError>> {
        let next = match self.poll_source().await {
            Some(changes) => {
                self.store_watch = None;
                Some(Ok(changes))
            }
            None => self.watch_store().await,
        };
        if let Some(Ok(batch)) = &next {
            self.store.logs.append(self.prefix, self.since, batch);
            self.since = self.since.max(batch.version);
        }
        next
    }

    async fn poll_source(&mut self) -> Option<Changes> {
        let source = self.store.source.get()?;
        source.changes_after(self.prefix, self.since).await
    }

    async fn watch_store(&mut self) -> Option<Result<Changes, StoreError>> {
        let (prefix, since) = (self.prefix, self.since);
        let inner = &self.store.inner;
        let store_watch = self
            .store_watch
            .get_or_insert_with(|| inner.watch(prefix, since));
        store_watch.next().await
    }
}

impl Store for UpstreamStore {
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.inner.range(prefix, limit)
    }

    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.inner.range_between(start, end, limit)
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        self.inner.txn(txn)
    }

    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        self.inner.grant_lease(ttl_s)
    }

    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.renew_lease(id)
    }

    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.inner.revoke_lease(id)
    }

    fn changes_now<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxFuture<'a, Result<Changes, StoreError>> {
        self.inner.changes_now(prefix, since)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>> {
        self.logs.start(prefix, since);
        let watch = UpstreamWatch {
            store: self,
            prefix,
            since,
            store_watch: None,
        };
        let batches = stream::unfold(Some(watch), async |watch| {
            let mut watch = watch?;
            let next = watch.next().await?;
            let rest = next.is_ok().then_some(watch);
            Some((next, rest))
        });
        batches.boxed()
    }
}
