//! A client of the key-value service that uses the JSON gateway of etcd version 3.

use {
    super::{
        Changes, Entry, Lease, LeaseId, Range, Store, StoreError, StoreVersion, Txn, TxnReply,
        failover_client::{Answer, HttpLink},
        gateway::{
            Base64, Int64, LeaseGrantRequest, LeaseRequest, LeaseResponse, RangeRequest,
            RangeResponse, TxnRequest, TxnResponse,
        },
        request::{count_call, encode},
        response::{read_first, read_whole},
        watch_reader::{WatchReader, watch_stream},
    },
    futures::{
        future::{BoxFuture, FutureExt},
        stream::BoxStream,
    },
    hyper::StatusCode,
    std::{net::SocketAddr, time::Duration},
};

const RANGE_PATH: &str = "/v3/kv/range";
const TXN_PATH: &str = "/v3/kv/txn";
const GRANT_PATH: &str = "/v3/lease/grant";
const KEEPALIVE_PATH: &str = "/v3/lease/keepalive";
const REVOKE_PATH: &str = "/v3/lease/revoke";

/// The timeouts of [`EtcdStore`].
#[derive(Debug, Clone, Copy)]
pub struct StoreTimeouts {
    /// The longest wait for the response to a call, in milliseconds.
    pub call_ms: u64,
    /// The longest time between two messages of a watch, in milliseconds.
    ///
    /// The service must send progress notifications more often than this.
    pub watch_silence_ms: u64,
}

/// A client of the key-value service over HTTP.
#[derive(Debug)]
pub struct EtcdStore {
    link: HttpLink,
    watch_silence: Duration,
}

impl EtcdStore {
    /// Creates a client of the service at `addresses`, which are tried in turn.
    pub fn new(addresses: Vec<SocketAddr>, timeouts: StoreTimeouts) -> Self {
        Self {
            link: HttpLink::new(addresses, Duration::from_millis(timeouts.call_ms)),
            watch_silence: Duration::from_millis(timeouts.watch_silence_ms),
        }
    }

    async fn read_range(&self, start: &str, end: &str, limit: usize) -> Result<Range, StoreError> {
        let request = RangeRequest {
            key: Base64::from_text(start),
            range_end: Base64::from_text(end),
            limit: Int64(limit as i64),
        };
        count_call("range");
        let answer = self.link.post(RANGE_PATH, encode(&request)?, false).await?;
        let response: RangeResponse = read_whole(&answer)?;
        let entries = response.kvs.into_iter().map(Entry::try_from);
        Ok(Range {
            entries: entries.collect::<Result<_, _>>()?,
            version: StoreVersion(response.header.revision.0),
            more: response.more,
        })
    }

    async fn run_txn(&self, txn: Txn) -> Result<TxnReply, StoreError> {
        count_call("txn");
        let lease = lease_of(&txn);
        let body = encode(&TxnRequest::from(txn))?;
        let answer = self.link.post(TXN_PATH, body, true).await?;
        check_lease(&answer, lease)?;
        let response: TxnResponse = read_whole(&answer)?;
        let ranges = response
            .responses
            .into_iter()
            .filter_map(|op| op.response_range);
        let reads = ranges.map(|range| {
            range
                .kvs
                .into_iter()
                .next()
                .map(Entry::try_from)
                .transpose()
        });
        Ok(TxnReply {
            succeeded: response.succeeded,
            version: StoreVersion(response.header.revision.0),
            reads: reads.collect::<Result<_, _>>()?,
        })
    }

    async fn grant(&self, ttl_s: u64) -> Result<Lease, StoreError> {
        count_call("grant_lease");
        let request = LeaseGrantRequest {
            ttl: Int64(ttl_s as i64),
        };
        let answer = self.link.post(GRANT_PATH, encode(&request)?, true).await?;
        let response: LeaseResponse = read_whole(&answer)?;
        Ok(Lease {
            id: LeaseId(response.id.0),
            ttl_s: response.ttl.0.max(0) as u64,
        })
    }

    async fn renew(&self, id: LeaseId) -> Result<(), StoreError> {
        count_call("renew_lease");
        let body = encode(&LeaseRequest { id: Int64(id.0) })?;
        let answer = self.link.post(KEEPALIVE_PATH, body, true).await?;
        check_lease(&answer, Some(id))?;
        let response: LeaseResponse = read_first(&answer)?;
        if response.ttl.0 <= 0 {
            return Err(StoreError::LeaseLapsed(id));
        }
        Ok(())
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), StoreError> {
        count_call("revoke_lease");
        let body = encode(&LeaseRequest { id: Int64(id.0) })?;
        let answer = self.link.post(REVOKE_PATH, body, true).await?;
        check_lease(&answer, Some(id))?;
        read_whole::<serde_json::Value>(&answer).map(drop)
    }
}

impl Store for EtcdStore {
    fn range_between<'a>(
        &'a self,
        start: &'a str,
        end: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Range, StoreError>> {
        self.read_range(start, end, limit).boxed()
    }

    fn txn(&self, txn: Txn) -> BoxFuture<'_, Result<TxnReply, StoreError>> {
        self.run_txn(txn).boxed()
    }

    fn grant_lease(&self, ttl_s: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        self.grant(ttl_s).boxed()
    }

    fn renew_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.renew(id).boxed()
    }

    fn revoke_lease(&self, id: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        self.revoke(id).boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: StoreVersion,
    ) -> BoxStream<'a, Result<Changes, StoreError>> {
        watch_stream(WatchReader::new(
            &self.link,
            self.watch_silence,
            prefix,
            since,
        ))
    }
}

/// Returns the lease of the first write in a transaction that has one.
fn lease_of(txn: &Txn) -> Option<LeaseId> {
    let mut ops = txn.then.iter().chain(&txn.otherwise);
    ops.find_map(|op| match op {
        super::Op::Put { lease, .. } => *lease,
        _ => None,
    })
}

/// Fails if a response says that the lease does not exist.
///
/// The lease is the only object of a call whose absence the service reports with status 404.
fn check_lease(answer: &Answer, lease: Option<LeaseId>) -> Result<(), StoreError> {
    match lease {
        Some(id) if answer.status == StatusCode::NOT_FOUND => Err(StoreError::LeaseLapsed(id)),
        _ => Ok(()),
    }
}
