//! Parses responses of the JSON gateway and maps its errors to [`StoreError`].

use {
    super::{
        StoreError,
        failover_client::FullResponse,
        gateway::{ErrorReply, GatewayError, StreamMessage},
    },
    serde::de::DeserializeOwned,
};

/// The gRPC status code with which etcd reports that a revision is compacted.
const OUT_OF_RANGE: i32 = 11;

impl From<GatewayError> for StoreError {
    fn from(cause: GatewayError) -> Self {
        Self::Unknown(cause.to_string())
    }
}

/// Parses the body of a unary response.
pub(super) fn parse_response<T: DeserializeOwned>(
    response: &FullResponse,
) -> Result<T, StoreError> {
    if !response.status.is_success() {
        return Err(error_from_status(response));
    }
    parse_json(&response.body)
}

/// Parses the first message of a streamed response.
pub(super) fn parse_first_message<T: DeserializeOwned>(
    response: &FullResponse,
) -> Result<T, StoreError> {
    if !response.status.is_success() {
        return Err(error_from_status(response));
    }
    parse_stream_message(&response.body)
}

/// Parses one message of a streamed response.
pub(super) fn parse_stream_message<T: DeserializeOwned>(line: &[u8]) -> Result<T, StoreError> {
    let message: StreamMessage<T> = parse_json(line)?;
    match (message.result, message.error) {
        (_, Some(error)) => Err(error_from_reply(&error, false)),
        (Some(result), None) => Ok(result),
        (None, None) => Err(StoreError::Unknown(
            "the response has neither a result nor an error".to_owned(),
        )),
    }
}

/// Maps a response with an error status to a [`StoreError`].
///
/// A client error (4xx) means that the service refused the call; after any other error status the
/// call may have taken effect.
pub(super) fn error_from_status(response: &FullResponse) -> StoreError {
    let reply = serde_json::from_slice(&response.body).unwrap_or_default();
    let refused = response.status.is_client_error();
    if response.body.is_empty() && refused {
        return StoreError::Refused(response.status.to_string());
    }
    error_from_reply(&reply, refused)
}

/// Maps an error of the gateway to a [`StoreError`].
///
/// `refused` is false where the service may have run the call despite the error.
fn error_from_reply(reply: &ErrorReply, refused: bool) -> StoreError {
    if reply.code == OUT_OF_RANGE {
        return StoreError::Compacted;
    }
    if refused {
        StoreError::Refused(reply.message.clone())
    } else {
        StoreError::Unknown(reply.message.clone())
    }
}

fn parse_json<T: DeserializeOwned>(text: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(text).map_err(|cause| StoreError::Unknown(cause.to_string()))
}
