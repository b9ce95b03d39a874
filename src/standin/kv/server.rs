//! The stand-in of the key-value service over HTTP, as the JSON gateway of etcd version 3.

use {
    super::MemoryStore,
    crate::{
        standin::{Body, BrokenOff, HttpService, json_response, read_json, text_response},
        store::{
            Changes, LeaseId, Op, Store, StoreError, StoreVersion, Txn, TxnReply,
            gateway::{
                ErrorReply, Header, Int64, KeyValue, LeaseGrantRequest, LeaseRequest,
                LeaseResponse, RangeRequest, RangeResponse, ResponseOp, StreamMessage, TxnRequest,
                TxnResponse, WatchCreateRequest, WatchRequest, WatchResponse,
            },
        },
    },
    bytes::Bytes,
    futures::{
        StreamExt,
        future::{BoxFuture, FutureExt},
        stream,
    },
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        Method, Request, Response, StatusCode,
        body::{Frame, Incoming},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// gRPC status codes with their HTTP statuses.
const INVALID_ARGUMENT: (i32, StatusCode) = (3, StatusCode::BAD_REQUEST);
const NOT_FOUND: (i32, StatusCode) = (5, StatusCode::NOT_FOUND);

/// Why a call has no good answer.
#[derive(Debug)]
enum Failure {
    /// The call is answered with an error.
    Error((i32, StatusCode), String),
    /// The connection is broken off.
    BrokenOff,
}

impl From<StoreError> for Failure {
    fn from(cause: StoreError) -> Self {
        match cause {
            StoreError::LeaseLapsed(_) => Self::Error(
                NOT_FOUND,
                "etcdserver: requested lease not found".to_owned(),
            ),
            StoreError::Refused(reason) => Self::Error(INVALID_ARGUMENT, reason),
            _ => Self::BrokenOff,
        }
    }
}

impl Failure {
    fn invalid(reason: impl ToString) -> Self {
        Self::Error(INVALID_ARGUMENT, reason.to_string())
    }
}

type Answer = Result<Response<Body>, Failure>;

impl HttpService for MemoryStore {
    fn is_up(&self) -> bool {
        !self.faults().down
    }

    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, BrokenOff>> {
        async move {
            match route(&self, request).await {
                Ok(response) => Ok(response),
                Err(Failure::BrokenOff) => Err(BrokenOff),
                Err(Failure::Error((code, status), message)) => {
                    Ok(json_response(status, &ErrorReply { code, message }))
                }
            }
        }
        .boxed()
    }
}

async fn route(store: &MemoryStore, request: Request<Incoming>) -> Answer {
    if request.method() != Method::POST {
        return Ok(text_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "only POST is allowed",
        ));
    }
    match request.uri().path() {
        "/v3/kv/range" => range(store, read(request).await?).await,
        "/v3/kv/txn" => txn(store, read(request).await?).await,
        "/v3/lease/grant" => grant(store, read(request).await?).await,
        "/v3/lease/keepalive" => keepalive(store, read(request).await?).await,
        "/v3/lease/revoke" => revoke(store, read(request).await?).await,
        "/v3/watch" => watch(store, read(request).await?),
        _ => Ok(text_response(StatusCode::NOT_FOUND, "no such call")),
    }
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Failure> {
    let body = read_json(request).await;
    body.map_err(|_| Failure::invalid("the body is not the JSON of this call"))
}

async fn range(store: &MemoryStore, request: RangeRequest) -> Answer {
    let start = request.key.to_key().map_err(Failure::invalid)?;
    let mut end = request.range_end.to_key().map_err(Failure::invalid)?;
    if end.is_empty() {
        end = format!("{start}\0");
    }
    let limit = request.limit.0.max(0) as usize;
    let range = store.range_between(&start, &end, limit).await?;
    ok(&RangeResponse {
        header: Header::at(range.version),
        kvs: range.entries.into_iter().map(KeyValue::from).collect(),
        more: range.more,
    })
}

async fn txn(store: &MemoryStore, request: TxnRequest) -> Answer {
    let txn = Txn::try_from(request).map_err(Failure::invalid)?;
    let reply = store.txn(txn.clone()).await?;
    ok(&TxnResponse {
        header: Header::at(reply.version),
        succeeded: reply.succeeded,
        responses: responses(&txn, reply),
    })
}

/// Lines up one answer per operation, of which only the reads carry content.
fn responses(txn: &Txn, reply: TxnReply) -> Vec<ResponseOp> {
    let ops = if reply.succeeded {
        &txn.then
    } else {
        &txn.otherwise
    };
    let header = Header::at(reply.version);
    let mut reads = reply.reads.into_iter();
    let respond = |op: &Op| match op {
        Op::Get { .. } => {
            let entry = reads.next().flatten();
            let kvs = entry.into_iter().map(KeyValue::from).collect();
            ResponseOp {
                response_range: Some(RangeResponse {
                    header: header.clone(),
                    kvs,
                    more: false,
                }),
            }
        }
        _ => ResponseOp::default(),
    };
    ops.iter().map(respond).collect()
}

async fn grant(store: &MemoryStore, request: LeaseGrantRequest) -> Answer {
    if request.ttl.0 <= 0 {
        return Err(Failure::invalid("the TTL must be positive"));
    }
    let lease = store.grant_lease(request.ttl.0 as u64).await?;
    ok(&LeaseResponse {
        header: Header::at(store.state().version()),
        id: Int64(lease.id.0),
        ttl: Int64(lease.ttl_s as i64),
    })
}

async fn keepalive(store: &MemoryStore, request: LeaseRequest) -> Answer {
    let renewed = store.renew_lease(LeaseId(request.id.0)).await;
    let ttl = match renewed {
        Ok(()) => store
            .state()
            .lease_ttl_s(LeaseId(request.id.0))
            .unwrap_or(0),
        Err(StoreError::LeaseLapsed(_)) => 0,
        Err(cause) => return Err(cause.into()),
    };
    ok(&StreamMessage {
        result: Some(LeaseResponse {
            header: Header::at(store.state().version()),
            id: request.id,
            ttl: Int64(ttl as i64),
        }),
        error: None,
    })
}

async fn revoke(store: &MemoryStore, request: LeaseRequest) -> Answer {
    store.revoke_lease(LeaseId(request.id.0)).await?;
    ok(&serde_json::json!({}))
}

fn watch(store: &MemoryStore, request: WatchRequest) -> Answer {
    let WatchCreateRequest {
        key,
        range_end,
        start_revision,
        ..
    } = request.create_request;
    let start = key.to_key().map_err(Failure::invalid)?;
    let end = range_end.to_key().map_err(Failure::invalid)?;
    let since = StoreVersion((start_revision.0 - 1).max(0));
    let created = WatchResponse {
        header: Header::at(store.state().version()),
        created: true,
        ..WatchResponse::default()
    };
    let messages = store.watch_between(&start, &end, since).map(message);
    let lines = stream::iter([Ok(created)]).chain(messages).map(|message| {
        let result = Some(message?);
        let line = StreamMessage {
            result,
            error: None,
        };
        let mut text = serde_json::to_vec(&line).map_err(|_| BrokenOff)?;
        text.push(b'\n');
        Ok(Frame::data(Bytes::from(text)))
    });
    Ok(Response::new(StreamBody::new(lines).boxed_unsync()))
}

fn message(batch: Result<Changes, StoreError>) -> Result<WatchResponse, BrokenOff> {
    match batch {
        Ok(batch) => Ok(WatchResponse {
            header: Header::at(batch.version),
            events: batch.changes.into_iter().map(Into::into).collect(),
            ..WatchResponse::default()
        }),
        Err(StoreError::Compacted) => Ok(WatchResponse {
            canceled: true,
            compact_revision: Int64(1),
            ..WatchResponse::default()
        }),
        Err(_) => Err(BrokenOff),
    }
}

fn ok(value: &impl Serialize) -> Answer {
    Ok(json_response(StatusCode::OK, value))
}
