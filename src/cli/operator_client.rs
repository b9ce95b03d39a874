//! Client for a keeper's operator port.

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

/// Timeout of a call other than a publication.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a publication.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(60);

/// An authenticated connection to a keeper. It must be used within a `LocalSet`.
pub struct OperatorClient {
    _connection: Connection,
    client: operator::Client,
}

/// A configuration to publish, with its metadata.
#[derive(Debug, Clone)]
pub struct OperatorPublication {
    /// The objects of the configuration.
    pub catalog: Catalog,
    /// The id of the publication attempt.
    pub publish_id: PublishId,
    /// The author to record.
    pub author: String,
    /// The reason for the change to record.
    pub message: String,
    /// The revision that must be the newest for the publication to succeed.
    pub expected: Revision,
}

impl OperatorClient {
    /// Connects to a keeper and authenticates.
    ///
    /// # Errors
    ///
    /// Fails if the connection is not established in time or the credentials are rejected.
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
    /// Returns [`CliError::Refused`] if the keeper rejects the configuration. After any other error
    /// the configuration may have been published.
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

    /// Returns a revision; revision 0 stands for the one in force.
    ///
    /// The objects are `None` if they are no longer stored. The result is `None` for an unknown
    /// revision.
    ///
    /// # Errors
    ///
    /// Fails if the keeper does not return a valid response in time.
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

    /// Returns the heads of the newest revisions, newest first.
    ///
    /// # Errors
    ///
    /// Fails if the keeper does not return a valid response in time.
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
    /// Fails if the keeper does not return a valid response in time.
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

    /// Returns the keeper's status as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the keeper does not return a valid response in time.
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
    /// Fails if the keeper does not return a valid response in time.
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
