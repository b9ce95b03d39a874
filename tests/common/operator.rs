//! Calls of an operator to a keeper.

#![allow(dead_code, reason = "each test uses a part of it")]

use {
    greengagetrail::{
        config::{Digest, Head},
        peer::{PeerError, SharedKey, connect_operator, read_head, write_head},
        peer_capnp::publish_outcome,
        units::{PublishId, Revision},
    },
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::{task::LocalSet, time::timeout},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The outcome of a publication, as reported to the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishResult {
    Published(Head),
    Conflict(Head),
    Refused(Vec<String>),
    Unknown,
    Failed(String),
}

/// Publishes objects through a keeper.
pub async fn publish(
    keeper: SocketAddr,
    key: &str,
    objects: &[Value],
    expected: Revision,
    author: &str,
) -> PublishResult {
    let call = async {
        let (_connection, operator) = connect_operator(keeper, &SharedKey::new(key).into()).await?;
        let mut request = operator.publish_request();
        let text = serde_json::to_vec(objects).unwrap();
        request.get().set_snapshot(&text);
        request.get().set_expected(expected.0);
        write_head(&publication_head(author), request.get().init_head());
        let answer = request.send().promise.await?;
        read_result(answer.get()?.get_outcome()?)
    };
    match LocalSet::new().run_until(timeout(CALL_TIMEOUT, call)).await {
        Ok(Ok(result)) => result,
        Ok(Err(error)) => PublishResult::Failed(error.to_string()),
        Err(_) => PublishResult::Failed("no answer".to_owned()),
    }
}

/// Requests the status of a keeper; `None` when the call fails.
pub async fn status(keeper: SocketAddr, key: &str) -> Option<Value> {
    let call = async {
        let (_connection, operator) = connect_operator(keeper, &SharedKey::new(key).into()).await?;
        let answer = operator.status_request().send().promise.await?;
        let text = answer.get()?.get_status()?.to_str()?.to_owned();
        Ok::<_, PeerError>(serde_json::from_str(&text).unwrap())
    };
    let answer = LocalSet::new().run_until(timeout(CALL_TIMEOUT, call)).await;
    answer.ok()?.ok()
}

/// Returns the revision that a keeper has in force; zero when the call fails or there is none.
pub async fn revision(keeper: SocketAddr, key: &str) -> u64 {
    let status = status(keeper, key).await.unwrap_or_default();
    status["head"]["revision"].as_u64().unwrap_or(0)
}

/// Starts the drain of a keeper's VM.
pub async fn drain(keeper: SocketAddr, key: &str) {
    let call = async {
        let (_connection, operator) = connect_operator(keeper, &SharedKey::new(key).into()).await?;
        operator.drain_request().send().promise.await?;
        Ok::<_, PeerError>(())
    };
    LocalSet::new().run_until(call).await.unwrap();
}

fn publication_head(author: &str) -> Head {
    Head {
        revision: Revision(1),
        digest: Digest::of(b""),
        publish_id: PublishId::random(),
        author: author.to_owned(),
        message: "a test".to_owned(),
        published_at_ms: 0,
    }
}

fn read_result(outcome: publish_outcome::Reader<'_>) -> Result<PublishResult, PeerError> {
    Ok(match outcome.which()? {
        publish_outcome::Published(head) => PublishResult::Published(read_head(head?)?.unwrap()),
        publish_outcome::Conflict(head) => PublishResult::Conflict(read_head(head?)?.unwrap()),
        publish_outcome::Refused(texts) => {
            let texts = texts?.iter().map(|text| text.unwrap().to_string().unwrap());
            PublishResult::Refused(texts.collect())
        }
        publish_outcome::Unknown(_) => PublishResult::Unknown,
    })
}
