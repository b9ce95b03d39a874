//! A client of the key-value service that uses the JSON gateway of etcd version 3.

use {
    super::{
        Changes, Entry, Lease, LeaseId, Range, Store, StoreError, StoreVersion, Txn, TxnReply,
        failover_client::{FailoverClient, FullResponse},
        gateway::{
            Base64, Int64, LeaseGrantRequest, LeaseRequest, LeaseResponse, RangeRequest,
            RangeResponse, TxnRequest, TxnResponse,
        },
        request::{count_call, encode_json},
        response::{parse_first_message, parse_response},
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
    client: FailoverClient,
    watch_timeout: Duration,
}

impl EtcdStore {
    /// Creates a client of the service at `addresses`, which are tried in turn.
    pub fn new(addresses: Vec<SocketAddr>, timeouts: StoreTimeouts) -> Self {
        Self {
            client: FailoverClient::new(addresses, Duration::from_millis(timeouts.call_ms)),
            watch_timeout: Duration::from_millis(timeouts.watch_silence_ms),
        }
    }

    async fn read_range(&self, start: &str, end: &str, limit: usize) -> Result<Range, StoreError> {
        let request = RangeRequest {
            key: Base64::from_text(start),
            range_end: Base64::from_text(end),
            limit: Int64(limit as i64),
        };
        count_call("range");
        let http_response = self
            .client
            .post(RANGE_PATH, encode_json(&request)?, false)
            .await?;
        let response: RangeResponse = parse_response(&http_response)?;
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
        let body = encode_json(&TxnRequest::from(txn))?;
        let http_response = self.client.post(TXN_PATH, body, true).await?;
        check_lease(&http_response, lease)?;
        let response: TxnResponse = parse_response(&http_response)?;
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
        let http_response = self
            .client
            .post(GRANT_PATH, encode_json(&request)?, true)
            .await?;
        let response: LeaseResponse = parse_response(&http_response)?;
        Ok(Lease {
            id: LeaseId(response.id.0),
            ttl_s: response.ttl.0.max(0) as u64,
        })
    }

    async fn renew(&self, id: LeaseId) -> Result<(), StoreError> {
        count_call("renew_lease");
        let body = encode_json(&LeaseRequest { id: Int64(id.0) })?;
        let http_response = self.client.post(KEEPALIVE_PATH, body, true).await?;
        check_lease(&http_response, Some(id))?;
        let response: LeaseResponse = parse_first_message(&http_response)?;
        if response.ttl.0 <= 0 {
            return Err(StoreError::LeaseLapsed(id));
        }
        Ok(())
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), StoreError> {
        count_call("revoke_lease");
        let body = encode_json(&LeaseRequest { id: Int64(id.0) })?;
        let http_response = self.client.post(REVOKE_PATH, body, true).await?;
        check_lease(&http_response, Some(id))?;
        parse_response::<serde_json::Value>(&http_response).map(drop)
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
            &self.client,
            self.watch_timeout,
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
fn check_lease(http_response: &FullResponse, lease: Option<LeaseId>) -> Result<(), StoreError> {
    match lease {
        Some(id) if http_response.status == StatusCode::NOT_FOUND => {
            Err(StoreError::LeaseLapsed(id))
        }
        _ => Ok(()),
    }
}
