//! The requests and prompt parts whose responses arrived.

use {super::ContentId, std::time::Duration, tokio::time::Instant};

/// How long a response shows that its request and the parts of its prompt are harmless.
const HARMLESS_TTL: Duration = Duration::from_secs(2);

/// The largest number of contents; beyond it only those that were seen lately are kept.
const CONTENTS_MAX: usize = 4_096;

/// The contents whose responses arrived lately at this node, or at others, sorted.
#[derive(Debug, Default)]
pub struct HarmlessContents {
    contents: Vec<(ContentId, Instant)>,
}

impl HarmlessContents {
    /// Records that a response to a request with the content arrived.
    pub fn record(&mut self, content: ContentId, now: Instant) {
        match self.position(content) {
            Ok(position) => self.contents[position].1 = now,
            Err(_) if self.contents.len() >= CONTENTS_MAX => {
                self.contents.retain(|(_, at)| now < *at + HARMLESS_TTL);
            }
            Err(position) => self.contents.insert(position, (content, now)),
        }
    }

    /// Returns whether a response to a request with the content arrived lately.
    pub fn contains(&self, content: ContentId, now: Instant) -> bool {
        let position = self.position(content);
        position.is_ok_and(|position| now < self.contents[position].1 + HARMLESS_TTL)
    }

    fn position(&self, content: ContentId) -> Result<usize, usize> {
        self.contents
            .binary_search_by_key(&content, |(known, _)| *known)
    }
}
