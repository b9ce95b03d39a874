//! The quarantined requests and prompt parts.

use {
    super::ContentId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long a content is quarantined.
pub const QUARANTINE: Duration = Duration::from_secs(600);

/// How long a request is quarantined before its next crash decides.
pub const PROVISIONAL_QUARANTINE: Duration = Duration::from_secs(60);

/// How long the version of an expired verdict is kept, so that a new verdict gets a higher one than
/// those that other nodes may still send.
const VERSION_TTL: Duration = Duration::from_secs(60);

/// The largest number of verdicts that are kept.
const VERDICTS_MAX: usize = 256;

/// Whether a content is quarantined, as nodes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The request or prompt part.
    pub content: ContentId,
    /// The number of changes so far; a verdict with a higher one replaces others.
    pub version: u32,
    /// Whether requests with the content are refused.
    pub is_quarantined: bool,
    /// Whether the evidence may be chance, so that the next crash decides.
    pub is_provisional: bool,
    /// How long the verdict holds, in milliseconds.
    pub remaining_ms: u32,
}

#[derive(Debug)]
struct Known {
    content: ContentId,
    version: u32,
    is_quarantined: bool,
    is_provisional: bool,
    until: Instant,
}

impl Known {
    fn is_certain(&self, now: Instant) -> bool {
        self.is_quarantined && !self.is_provisional && now < self.until
    }

    /// Returns the rank among verdicts on the same content; the highest one holds.
    fn rank(&self) -> (u32, bool) {
        (self.version, !self.is_provisional)
    }

    fn verdict(&self, now: Instant) -> Verdict {
        let remaining = self.until.saturating_duration_since(now);
        Verdict {
            content: self.content,
            version: self.version,
            is_quarantined: self.is_quarantined,
            is_provisional: self.is_provisional,
            remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// The verdicts that hold or held lately, sorted by content.
#[derive(Debug, Default)]
pub struct Verdicts {
    known: Vec<Known>,
}

impl Verdicts {
    /// Quarantines a content, for a shorter time if provisionally, and returns the verdict.
    pub fn quarantine(
        &mut self,
        content: ContentId,
        is_provisional: bool,
        now: Instant,
    ) -> Verdict {
        let span = match is_provisional {
            true => PROVISIONAL_QUARANTINE,
            false => QUARANTINE,
        };
        let verdict = Verdict {
            content,
            version: self.next_version(content),
            is_quarantined: true,
            is_provisional,
            remaining_ms: span.as_millis() as u32,
        };
        self.merge(verdict, now);
        verdict
    }

    /// Ends the quarantine of a content and returns the verdict.
    pub fn end(&mut self, content: ContentId, now: Instant) -> Verdict {
        let verdict = Verdict {
            content,
            version: self.next_version(content),
            is_quarantined: false,
            is_provisional: false,
            remaining_ms: QUARANTINE.as_millis() as u32,
        };
        self.merge(verdict, now);
        verdict
    }

    fn next_version(&self, content: ContentId) -> u32 {
        self.find(content).map_or(1, |known| known.version + 1)
    }

    /// Takes over a verdict if it is newer; returns whether it changed anything.
    ///
    /// Of equal versions one that is not provisional holds; else the one that ends first, so that
    /// nodes which pass a verdict on do not extend it.
    pub fn merge(&mut self, verdict: Verdict, now: Instant) -> bool {
        let remaining = Duration::from_millis(u64::from(verdict.remaining_ms)).min(QUARANTINE);
        let new = Known {
            content: verdict.content,
            version: verdict.version,
            is_quarantined: verdict.is_quarantined,
            is_provisional: verdict.is_provisional,
            until: now + remaining,
        };
        match self.position(verdict.content) {
            // Nodes may decide with different evidence.
            Ok(position) if new.is_provisional && self.known[position].is_certain(now) => false,
            Ok(position) if new.rank() > self.known[position].rank() => {
                self.known[position] = new;
                true
            }
            Ok(position) => {
                let known = &mut self.known[position];
                if new.rank() == known.rank() {
                    known.until = known.until.min(new.until);
                }
                false
            }
            Err(_) if self.known.len() >= VERDICTS_MAX => false,
            Err(position) => {
                self.known.insert(position, new);
                true
            }
        }
    }

    /// Returns how long a content remains quarantined.
    pub fn remaining(&self, content: ContentId, now: Instant) -> Option<Duration> {
        let known = self.find(content).filter(|known| known.is_quarantined)?;
        Some(known.until.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }

    /// Returns whether a content is quarantined, and not only provisionally.
    pub fn is_certain(&self, content: ContentId, now: Instant) -> bool {
        self.find(content)
            .is_some_and(|known| known.is_certain(now))
    }

    /// Returns all verdicts that hold.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = Verdict> {
        let holding = self.known.iter().filter(move |known| now < known.until);
        holding.map(move |known| known.verdict(now))
    }

    /// Returns whether no verdict is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Drops the verdicts that have not held for some time.
    pub fn expire(&mut self, now: Instant) {
        self.known.retain(|known| now < known.until + VERSION_TTL);
    }

    fn find(&self, content: ContentId) -> Option<&Known> {
        let position = self.position(content).ok()?;
        Some(&self.known[position])
    }

    fn position(&self, content: ContentId) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&content, |known| known.content)
    }
}
