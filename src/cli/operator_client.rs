//! Calls from an operator to a keeper.

use {
    super::CliError,
    crate::{
        config::{Catalog, Digest, Head, Object, PublishOutcome},
        peer::{
            Connection, Credentials, PeerError, connect_operator, read_head, with_timeout,
            write_head,
        },
        peer_capnp::{operator, publish_outcome},
        units::{PublishId, Revision},
    },
    std::{net::SocketAddr, time::Duration},
};

/// The longest wait for an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest wait for the outcome of a publication.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(60);

/// A logged-in connection to a keeper. Needs a `LocalSet`.
pub struct OperatorClient {
    _connection: Connection,
    client: operator::Client,
}

/// A configuration to be published, as an operator sends it.
#[derive(Debug, Clone)]
pub struct OperatorPublication {
    /// The objects.
    pub catalog: Catalog,
    /// Identifies the attempt.
    pub publish_id: PublishId,
    /// Who publishes.
    pub author: String,
    /// Why.
    pub message: String,
    /// The revision that must be the newest.
    pub expected: Revision,
}

impl OperatorClient {
    /// Connects to a keeper and logs in.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection in time or the key is refused.
    pub async fn connect(keeper: SocketAddr, credentials: &Credentials) -> Result<Self, CliError> {
        let (connection, client) = connect_operator(keeper, credentials).await?;
        Ok(Self {
            _connection: connection,
            client,
        })
    }

    /// Publishes a configuration.
    ///
    /// # Errors
    ///
    /// Fails with [`CliError::Refused`] when the keeper finds faults; other errors leave open
    /// whether it is published.
    pub async fn publish(
        &self,
        publication: &OperatorPublication,
    ) -> Result<PublishOutcome, CliError> {
        let objects = serde_json::to_vec(&publication.catalog.objects())?;
        let mut request = self.client.publish_request();
        let mut params = request.get();
        params.set_snapshot(&objects);
        params.set_expected(publication.expected.0);
        let head = Head {
            revision: publication.expected.next(),
            digest: Digest::of(&objects),
            publish_id: publication.publish_id,
            author: publication.author.clone(),
            message: publication.message.clone(),
            published_at_ms: 0,
        };
        write_head(&head, params.init_head());
        let response = with_timeout(PUBLISH_TIMEOUT, request.send().promise).await?;
        let outcome = response.get().map_err(PeerError::from)?.get_outcome();
        read_outcome(outcome.map_err(PeerError::from)?)
    }

    /// Returns a revision, or the one in force for revision 0.
    ///
    /// The objects are `None` once they are not kept any more.
    ///
    /// # Errors
    ///
    /// Fails when no good answer comes in time.
    pub async fn show(
        &self,
        revision: Revision,
    ) -> Result<Option<(Head, Option<Catalog>)>, CliError> {
        let mut request = self.client.show_request();
        request.get().set_revision(revision.0);
        let response = with_timeout(RESPONSE_TIMEOUT, request.send().promise).await?;
        let response = response.get().map_err(PeerError::from)?;
        let Some(head) = read_head(response.get_head().map_err(PeerError::from)?)? else {
            return Ok(None);
        };
        let objects = response.get_snapshot().map_err(PeerError::from)?;
        if objects.is_empty() {
            return Ok(Some((head, None)));
        }
        let objects: Vec<Object> = serde_json::from_slice(objects)?;
        Ok(Some((head, Some(Catalog::from_objects(objects)))))
    }

    /// Returns the newest heads, newest first.
    ///
    /// # Errors
    ///
    /// Fails when no good answer comes in time.
    pub async fn history(&self, limit: u32) -> Result<Vec<Head>, CliError> {
        let mut request = self.client.history_request();
        request.get().set_limit(limit);
        let response = with_timeout(RESPONSE_TIMEOUT, request.send().promise).await?;
        let heads = response.get().map_err(PeerError::from)?.get_heads();
        let mut history = Vec::new();
        for head in heads.map_err(PeerError::from)? {
            history.extend(read_head(head)?);
        }
        Ok(history)
    }

    /// Returns the newest audit records, newest last.
    ///
    /// # Errors
    ///
    /// Fails when no good answer comes in time.
    pub async fn audit(&self, limit: u32) -> Result<Vec<String>, CliError> {
        let mut request = self.client.audit_request();
        request.get().set_limit(limit);
        let response = with_timeout(RESPONSE_TIMEOUT, request.send().promise).await?;
        let texts = response.get().map_err(PeerError::from)?.get_records();
        let mut records = Vec::new();
        for text in texts.map_err(PeerError::from)? {
            let text = text.map_err(PeerError::from)?;
            records.push(text.to_str().map_err(PeerError::from)?.to_owned());
        }
        Ok(records)
    }

    /// Returns what the keeper knows, as JSON.
    ///
    /// # Errors
    ///
    /// Fails when no good answer comes in time.
    pub async fn status(&self) -> Result<serde_json::Value, CliError> {
        let request = self.client.status_request();
        let response = with_timeout(RESPONSE_TIMEOUT, request.send().promise).await?;
        let text = response.get().map_err(PeerError::from)?.get_status();
        let text = text.map_err(PeerError::from)?;
        Ok(serde_json::from_slice(text.as_bytes())?)
    }

    /// Starts the planned stop of the keeper's VM.
    ///
    /// # Errors
    ///
    /// Fails when no good answer comes in time.
    pub async fn drain(&self) -> Result<(), CliError> {
        let request = self.client.drain_request();
        with_timeout(RESPONSE_TIMEOUT, request.send().promise).await?;
        Ok(())
    }
}

fn read_outcome(outcome: publish_outcome::Reader<'_>) -> Result<PublishOutcome, CliError> {
    let which = outcome.which().map_err(PeerError::from)?;
    let head = |reader: capnp::Result<_>| -> Result<Head, CliError> {
        let head = read_head(reader.map_err(PeerError::from)?)?;
        head.ok_or_else(|| CliError::Unsuccessful("the keeper's answer has no head".to_owned()))
    };
    match which {
        publish_outcome::Published(published) => Ok(PublishOutcome::Published(head(published)?)),
        publish_outcome::Conflict(other) => Ok(PublishOutcome::Conflict(head(other)?)),
        publish_outcome::Refused(texts) => {
            let mut faults = Vec::new();
            for text in texts.map_err(PeerError::from)? {
                let text = text.map_err(PeerError::from)?;
                faults.push(text.to_str().map_err(PeerError::from)?.to_owned());
            }
            Err(CliError::Refused(faults))
        }
        publish_outcome::Unknown(id) => {
            let text = id.map_err(PeerError::from)?.to_str();
            let id = text.map_err(PeerError::from)?.parse();
            Ok(PublishOutcome::Unknown(id.map_err(PeerError::from)?))
        }
    }
}
