//! Reads answers of the gateway and turns its errors into those of the `Store` trait.

use {
    super::{
        StoreError,
        gateway::{ErrorReply, GatewayError, StreamMessage},
        http_link::Answer,
    },
    serde::de::DeserializeOwned,
};

/// The gRPC status code for a part that is compacted away.
const OUT_OF_RANGE: i32 = 11;

impl From<GatewayError> for StoreError {
    fn from(cause: GatewayError) -> Self {
        Self::Unknown(cause.to_string())
    }
}

/// Reads a whole answer.
pub(super) fn read_whole<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
    if !answer.status.is_success() {
        return Err(status_error(answer));
    }
    parse(&answer.body)
}

/// Reads the first message of an answer that is a stream.
pub(super) fn read_first<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
    if !answer.status.is_success() {
        return Err(status_error(answer));
    }
    read_message(&answer.body)
}

/// Reads one message of a stream.
pub(super) fn read_message<T: DeserializeOwned>(line: &[u8]) -> Result<T, StoreError> {
    let message: StreamMessage<T> = parse(line)?;
    match (message.result, message.error) {
        (_, Some(error)) => Err(reply_error(&error, false)),
        (Some(result), None) => Ok(result),
        (None, None) => Err(StoreError::Unknown("the answer is empty".to_owned())),
    }
}

/// Returns the error of an answer whose status is no success.
pub(super) fn status_error(answer: &Answer) -> StoreError {
    let reply = serde_json::from_slice(&answer.body).unwrap_or_default();
    let refused = answer.status.is_client_error();
    if answer.body.is_empty() && refused {
        return StoreError::Refused(answer.status.to_string());
    }
    reply_error(&reply, refused)
}

/// An error after which the service may still have run the call is no refusal.
fn reply_error(reply: &ErrorReply, refused: bool) -> StoreError {
    if reply.code == OUT_OF_RANGE {
        return StoreError::Compacted;
    }
    if refused {
        StoreError::Refused(reply.message.clone())
    } else {
        StoreError::Unknown(reply.message.clone())
    }
}

fn parse<T: DeserializeOwned>(text: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(text).map_err(|cause| StoreError::Unknown(cause.to_string()))
}
