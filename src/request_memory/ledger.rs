//! Which bodies hold how much memory, and which of them gives way when it is used up.
//!
//! Answers clients that leave many large bodies unfinished, or send them slowly, while others send
//! theirs at the usual pace.

use {super::MemoryLimits, std::time::Duration, tokio::time::Instant};

/// The bytes that each body may have in any case, beside those that are counted.
pub const UNCOUNTED_BYTES: usize = 16 * 1024;

/// The time that each body has beside the time for its bytes.
const PACE_SLACK: Duration = Duration::from_secs(1);

/// The pace of bodies below which one may have to give way.
const PACE_BYTES_PER_S: f64 = 4.0 * 1024.0 * 1024.0;

/// Identifies a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareId(u64);

/// What holds a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// The body of a request that is still arriving.
    Arriving,
    /// The body of a request that arrived.
    Arrived,
    /// A part of a response.
    Response,
    /// A body that was told to give way.
    GivingWay,
}

/// The answer to a body that asks for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The share has the bytes.
    Granted,
    /// Others return bytes, or may have to give way before long.
    Wait,
    /// This other body gives way now; its bytes come back when it is dropped.
    GivesWay(ShareId),
    /// There is no memory for the body.
    Refused,
}

#[derive(Debug)]
struct Entry {
    id: ShareId,
    holder: Holder,
    bytes: usize,
    /// The bytes that arrived, those beside the counted ones too.
    received_bytes: usize,
    begun_at: Instant,
}

impl Entry {
    /// Returns the memory that the body has held for longer than its pace allows, in byte seconds;
    /// `None` if it keeps the pace or holds nothing.
    fn excess(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.begun_at);
        let allowed_s = self.received_bytes as f64 / PACE_BYTES_PER_S;
        let late_s = age.saturating_sub(PACE_SLACK).as_secs_f64() - allowed_s;
        let counts = self.holder == Holder::Arriving && self.bytes > 0 && late_s > 0.0;
        counts.then_some(self.bytes as f64 * late_s)
    }
}

/// The shares of all bodies.
#[derive(Debug, Default)]
pub struct Ledger {
    limits: MemoryLimits,
    /// By id, as ids increase.
    entries: Vec<Entry>,
    last_id: u64,
    held_bytes: usize,
}

impl Ledger {
    /// Creates a ledger without shares.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Replaces the limits; shares keep what they have.
    pub fn set_limits(&mut self, limits: MemoryLimits) {
        self.limits = limits;
    }

    /// Returns the bytes that all shares hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a share without bytes.
    pub fn open(&mut self, holder: Holder, now: Instant) -> ShareId {
        self.last_id += 1;
        let id = ShareId(self.last_id);
        self.entries.push(Entry {
            id,
            holder,
            bytes: 0,
            received_bytes: 0,
            begun_at: now,
        });
        id
    }

    /// Decides on a body that has received this much and needs a buffer of `wanted_bytes`.
    pub fn ask(
        &mut self,
        id: ShareId,
        wanted_bytes: usize,
        received_bytes: usize,
        now: Instant,
    ) -> Decision {
        let Ok(at) = self.position(id) else {
            return Decision::Refused;
        };
        self.entries[at].received_bytes = received_bytes;
        let counted_bytes = wanted_bytes.saturating_sub(UNCOUNTED_BYTES);
        let (holder, own_bytes) = (self.entries[at].holder, self.entries[at].bytes);
        let limit_bytes = match holder {
            Holder::Response => self.limits.total_bytes,
            Holder::GivingWay => return Decision::Refused,
            Holder::Arriving | Holder::Arrived => self.limits.requests_bytes,
        };
        let sum_bytes = self.held_bytes - own_bytes + counted_bytes;
        // The only body fits whatever its size, as the configuration may allow larger ones.
        let is_alone = self.held_bytes == own_bytes;
        if counted_bytes <= own_bytes || sum_bytes <= limit_bytes || is_alone {
            self.entries[at].bytes = counted_bytes;
            self.held_bytes = sum_bytes;
            return Decision::Granted;
        }
        let others = self.entries.iter().filter(|entry| entry.id != id);
        let returning = others.clone().filter(|e| e.holder == Holder::GivingWay);
        let returning_bytes: usize = returning.map(|entry| entry.bytes).sum();
        if sum_bytes - returning_bytes <= limit_bytes {
            return Decision::Wait;
        }
        let arriving = others.filter(|entry| entry.holder == Holder::Arriving);
        let arriving_bytes: usize = arriving.map(|entry| entry.bytes).sum();
        // What has arrived is returned at a time that nobody knows.
        if sum_bytes - returning_bytes - arriving_bytes > limit_bytes {
            return Decision::Refused;
        }
        match self.slowest(now) {
            Some(slowest) if slowest == id => Decision::Refused,
            Some(slowest) => {
                self.set_holder(slowest, Holder::GivingWay);
                Decision::GivesWay(slowest)
            }
            None => Decision::Wait,
        }
    }

    /// Changes what holds a share.
    pub fn set_holder(&mut self, id: ShareId, holder: Holder) {
        if let Ok(at) = self.position(id) {
            self.entries[at].holder = holder;
        }
    }

    /// Returns whether a body was told to give way.
    pub fn must_give_way(&self, id: ShareId) -> bool {
        let at = self.position(id);
        at.is_ok_and(|at| self.entries[at].holder == Holder::GivingWay)
    }

    /// Removes a share and returns its bytes.
    pub fn close(&mut self, id: ShareId) {
        if let Ok(at) = self.position(id) {
            self.held_bytes -= self.entries.remove(at).bytes;
        }
    }

    fn slowest(&self, now: Instant) -> Option<ShareId> {
        let excesses = self.entries.iter();
        let excesses = excesses.filter_map(|entry| Some((entry.excess(now)?, entry.id)));
        let slowest = excesses.max_by(|(a, _), (b, _)| a.total_cmp(b));
        slowest.map(|(_, id)| id)
    }

    fn position(&self, id: ShareId) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id)
    }
}
