//! What requests that end in a crash are compared by.

use {
    super::{ContentId, PartId, RequestDigest},
    crate::relay::GenerationRequest,
    std::sync::Arc,
};

/// What requests that end in a crash are compared by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFingerprint {
    /// The digest of the whole request.
    pub digest: RequestDigest,
    /// The last part of the prompt, which belongs to one request or session and tells prompts
    /// apart; `None` without a prompt.
    pub own: Option<PartId>,
    /// The parts of the prompt before the last one, which other prompts may share, sorted.
    pub shared: Arc<[PartId]>,
}

impl RequestFingerprint {
    /// Returns the fingerprint of a request; `generation` is `None` for plain services.
    pub fn new(digest: RequestDigest, generation: Option<&GenerationRequest>) -> Self {
        let parts = generation.map_or(&[][..], |generation| &generation.prompt_parts);
        let (own, shared) = match parts.split_last() {
            Some((own, shared)) => (Some(PartId(own.id)), shared),
            None => (None, &[][..]),
        };
        let mut shared: Vec<_> = shared.iter().map(|part| PartId(part.id)).collect();
        shared.sort_unstable();
        shared.dedup();
        Self {
            digest,
            own,
            shared: shared.into(),
        }
    }

    /// Returns the contents that may be quarantined: the request and its shared prompt parts.
    pub fn contents(&self) -> impl Iterator<Item = ContentId> {
        let parts = self.shared.iter().copied().map(ContentId::Part);
        std::iter::once(ContentId::Request(self.digest)).chain(parts)
    }
}
