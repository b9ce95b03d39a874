//! Requests in flight by variant, as an aggregator reports them.

use {super::Variant, tokio::time::Instant};

/// How long summed requests by variant count without another report.
pub(super) const SUMMED_USAGE_TTL_MS: u64 = 2_000;

/// The requests of other nodes by variant, valid until an instant.
#[derive(Debug, Default)]
pub(super) struct SummedUsage {
    pub(super) in_use: Vec<(Variant, u32)>,
    pub(super) until: Option<Instant>,
}
