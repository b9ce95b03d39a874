//! Reads a watch, and reopens it at the last reported version when its connection fails.

use {
    super::{
        Change, Changes, StoreError, StoreVersion,
        failover_client::{FailoverClient, FullResponse},
        gateway::{Base64, Int64, WatchCreateRequest, WatchRequest, WatchResponse},
        prefix_end,
        request::{count_call, encode_json},
        response::{error_from_status, parse_stream_message},
    },
    bytes::{Bytes, BytesMut},
    futures::stream::{self, BoxStream, StreamExt},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::time::Duration,
    tokio::time::timeout,
};

const WATCH_PATH: &str = "/v3/watch";

/// The largest message of a watch, in bytes.
const MESSAGE_MAX_BYTES: usize = 64 << 20;

/// A watch that reconnects when its connection fails.
///
/// It fails if a new connection brings no message.
pub(super) struct WatchReader<'a> {
    client: &'a FailoverClient,
    /// The longest time between two messages of a connection.
    message_timeout: Duration,
    prefix: &'a str,
    since: StoreVersion,
    connection: Option<Connection>,
    ended: bool,
}

/// One connection of a watch.
struct Connection {
    body: Incoming,
    unread: BytesMut,
    has_received: bool,
}

/// Returns the stream of a watch; it ends after its first error.
pub(super) fn watch_stream(reader: WatchReader<'_>) -> BoxStream<'_, Result<Changes, StoreError>> {
    stream::unfold(reader, |mut reader| async move {
        if reader.ended {
            return None;
        }
        let next = reader.next().await;
        reader.ended = next.is_err();
        Some((next, reader))
    })
    .boxed()
}

impl<'a> WatchReader<'a> {
    pub(super) fn new(
        client: &'a FailoverClient,
        message_timeout: Duration,
        prefix: &'a str,
        since: StoreVersion,
    ) -> Self {
        Self {
            client,
            message_timeout,
            prefix,
            since,
            connection: None,
            ended: false,
        }
    }

    async fn next(&mut self) -> Result<Changes, StoreError> {
        loop {
            let mut connection = match self.connection.take() {
                Some(connection) => connection,
                None => self.open().await?,
            };
            let message = timeout(self.message_timeout, connection.next_message()).await;
            match message {
                Ok(Ok(line)) => {
                    connection.has_received = true;
                    self.connection = Some(connection);
                    return self.apply_message(&line);
                }
                Ok(Err(_)) | Err(_) if connection.has_received => {}
                Ok(Err(cause)) => return Err(cause),
                Err(_) => return Err(StoreError::Unknown("the watch timed out".to_owned())),
            }
        }
    }

    async fn open(&self) -> Result<Connection, StoreError> {
        count_call("watch");
        let create_request = WatchCreateRequest {
            key: Base64::from_text(self.prefix),
            range_end: Base64::from_text(&prefix_end(self.prefix)),
            start_revision: Int64(self.since.0 + 1),
            progress_notify: true,
        };
        let body = encode_json(&WatchRequest { create_request })?;
        let response = self.client.open(WATCH_PATH, body, false).await?;
        if !response.status().is_success() {
            return Err(error_from_status(&FullResponse {
                status: response.status(),
                body: Bytes::new(),
            }));
        }
        Ok(Connection {
            body: response.into_body(),
            unread: BytesMut::new(),
            has_received: false,
        })
    }

    fn apply_message(&mut self, line: &[u8]) -> Result<Changes, StoreError> {
        let response: WatchResponse = parse_stream_message(line)?;
        if response.compact_revision.0 > 0 {
            return Err(StoreError::Compacted);
        }
        if response.canceled {
            return Err(StoreError::Unknown(
                "the key-value service cancelled the watch".to_owned(),
            ));
        }
        let version = StoreVersion(response.header.revision.0);
        if response.created && version < self.since {
            let reason = format!(
                "the key-value service is at the older version {}",
                version.0
            );
            return Err(StoreError::Unknown(reason));
        }
        let changes = response.events.into_iter().map(Change::try_from);
        let changes = changes.collect::<Result<Vec<_>, _>>()?;
        match changes.last() {
            Some(last) => self.since = self.since.max(last.version()),
            None if !response.created => self.since = self.since.max(version),
            None => {}
        }
        Ok(Changes {
            changes,
            version: self.since,
        })
    }
}

impl Connection {
    /// Reads the next line that is not empty.
    async fn next_message(&mut self) -> Result<Bytes, StoreError> {
        loop {
            if let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
                let line = self.unread.split_to(end + 1).freeze();
                if line.trim_ascii().is_empty() {
                    continue;
                }
                return Ok(line);
            }
            self.read_more().await?;
        }
    }

    async fn read_more(&mut self) -> Result<(), StoreError> {
        let fail = |reason: String| Err(StoreError::Unknown(reason));
        match self.body.frame().await {
            None => fail("the key-value service closed the watch".to_owned()),
            Some(Err(cause)) => fail(cause.to_string()),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                self.unread.extend_from_slice(&data);
                if self.unread.len() > MESSAGE_MAX_BYTES {
                    return fail("a message of the watch is too large".to_owned());
                }
                Ok(())
            }
        }
    }
}
