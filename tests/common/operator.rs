//! An operator who talks to a keeper.

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

const ANSWER_MAX: Duration = Duration::from_secs(20);

/// How a publication ended, as the operator was told.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
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
) -> Told {
    let call = async {
        let (_connection, operator) = connect_operator(keeper, &SharedKey::new(key).into()).await?;
        let mut request = operator.publish_request();
        let text = serde_json::to_vec(objects).unwrap();
        request.get().set_snapshot(&text);
        request.get().set_expected(expected.0);
        write_head(&wanted(author), request.get().init_head());
        let answer = request.send().promise.await?;
        read_told(answer.get()?.get_outcome()?)
    };
    match LocalSet::new().run_until(timeout(ANSWER_MAX, call)).await {
        Ok(Ok(told)) => told,
        Ok(Err(error)) => Told::Failed(error.to_string()),
        Err(_) => Told::Failed("no answer".to_owned()),
    }
}

/// Asks a keeper for its status.
pub async fn status(keeper: SocketAddr, key: &str) -> Option<Value> {
    let call = async {
        let (_connection, operator) = connect_operator(keeper, &SharedKey::new(key).into()).await?;
        let answer = operator.status_request().send().promise.await?;
        let text = answer.get()?.get_status()?.to_str()?.to_owned();
        Ok::<_, PeerError>(serde_json::from_str(&text).unwrap())
    };
    let answer = LocalSet::new().run_until(timeout(ANSWER_MAX, call)).await;
    answer.ok()?.ok()
}

/// Returns the revision that a keeper has in force; zero when it does not answer or has none.
pub async fn revision(keeper: SocketAddr, key: &str) -> u64 {
    let status = status(keeper, key).await.unwrap_or_default();
    status["head"]["revision"].as_u64().unwrap_or(0)
}

/// Asks a keeper to drain.
pub async fn drain(keeper: SocketAddr, key: &str) {
    let call = async {
        let (_connection, operator) = connect_operator(keeper, &SharedKey::new(key).into()).await?;
        operator.drain_request().send().promise.await?;
        Ok::<_, PeerError>(())
    };
    LocalSet::new().run_until(call).await.unwrap();
}

fn wanted(author: &str) -> Head {
    Head {
        revision: Revision(1),
        digest: Digest::of(b""),
        publish_id: PublishId::random(),
        author: author.to_owned(),
        message: "a test".to_owned(),
        published_at_ms: 0,
    }
}

fn read_told(outcome: publish_outcome::Reader<'_>) -> Result<Told, PeerError> {
    Ok(match outcome.which()? {
        publish_outcome::Published(head) => Told::Published(read_head(head?)?.unwrap()),
        publish_outcome::Conflict(head) => Told::Conflict(read_head(head?)?.unwrap()),
        publish_outcome::Refused(texts) => {
            let texts = texts?.iter().map(|text| text.unwrap().to_string().unwrap());
            Told::Refused(texts.collect())
        }
        publish_outcome::Unknown(_) => Told::Unknown,
    })
}
