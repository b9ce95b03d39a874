//! Configurations that are no more than their version in digits.

use {
    super::traffic_configs::config,
    greengagetrail::{
        discovery::RunnerEntry,
        node::{FormatError, Formats, StoreKeys},
        relay::{ForwardHead, HeadError, RequestHead, ResponseHead},
        traffic::TrafficConfig,
    },
    hyper::{HeaderMap, http},
};

/// Where the configuration stands in the store.
pub const KEY: &str = "configuration";

/// Configurations that are no more than their version in digits.
pub struct VersionFormats;

impl Formats for VersionFormats {
    fn keys(&self) -> StoreKeys {
        StoreKeys {
            config: KEY.to_owned(),
            runners_prefix: "runners/".to_owned(),
            own_prefix: "own/".to_owned(),
            streams_prefix: "streams/".to_owned(),
        }
    }

    fn read_config(&self, bytes: &[u8]) -> Result<TrafficConfig, FormatError> {
        let text = String::from_utf8_lossy(bytes);
        let version = text.parse().map_err(|_| FormatError {
            subject: "configuration",
            reason: text.into_owned(),
        })?;
        Ok(config(version, Vec::new()))
    }

    fn read_runner(&self, _key: &str, _bytes: &[u8]) -> Result<RunnerEntry, FormatError> {
        unimplemented!()
    }

    fn read_request_head(&self, _head: &http::request::Parts) -> Result<RequestHead, HeadError> {
        unimplemented!()
    }

    fn write_forward_headers(&self, _headers: &mut HeaderMap, _forward: &ForwardHead) {}

    fn read_response_head(&self, _head: &http::response::Parts) -> ResponseHead {
        unimplemented!()
    }

    fn write_retry_after(&self, _headers: &mut HeaderMap, _after_ms: u64) {}
}
