//! What one body holds of the memory for bodies.

use {
    super::{Decision, Holder, RequestMemory, ShareId, UNCOUNTED_BYTES},
    std::{future::pending, time::Duration},
    thiserror::Error,
    tokio::time::{self, Instant},
};

/// The longest time between two looks at which body is too slow by now.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// There is no memory for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("there is no memory for the body")]
pub struct NoMemory;

/// What one body holds; dropping it returns the bytes.
#[derive(Debug)]
pub struct MemoryShare {
    memory: RequestMemory,
    holder: Holder,
    begun_at: Instant,
    /// `None` until bytes are counted, as the usual body has none.
    id: Option<ShareId>,
}

impl MemoryShare {
    pub(super) fn new(memory: RequestMemory, holder: Holder) -> Self {
        Self {
            memory,
            holder,
            begun_at: Instant::now(),
            id: None,
        }
    }

    /// Holds a buffer of a size in place of what was held; returns whether there is memory for it.
    pub fn try_resize(&mut self, buffer_bytes: usize) -> bool {
        self.ask(buffer_bytes, buffer_bytes) == Decision::Granted
    }

    /// Holds a buffer of a size in place of what was held, once there is memory for it.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory, or the body must give way to others.
    pub async fn resize(
        &mut self,
        buffer_bytes: usize,
        received_bytes: usize,
    ) -> Result<(), NoMemory> {
        loop {
            let memory = self.memory.clone();
            let changed = memory.changed().notified();
            match self.ask(buffer_bytes, received_bytes) {
                Decision::Granted => return Ok(()),
                Decision::Refused => return Err(NoMemory),
                Decision::Wait | Decision::GivesWay(_) => {}
            }
            let _ = time::timeout(LOOK_INTERVAL, changed).await;
        }
    }

    /// Waits until the body must give way to others.
    pub async fn gives_way(&self) {
        let Some(id) = self.id else {
            return pending().await;
        };
        loop {
            let changed = self.memory.changed().notified();
            if self.memory.must_give_way(id) {
                return;
            }
            changed.await;
        }
    }

    /// Notes that the body arrived, so that it need not give way any more.
    pub fn arrived(&mut self) {
        self.holder = Holder::Arrived;
        if let Some(id) = self.id {
            self.memory.set_holder(id, self.holder);
        }
    }

    fn ask(&mut self, buffer_bytes: usize, received_bytes: usize) -> Decision {
        if self.id.is_none() && buffer_bytes <= UNCOUNTED_BYTES {
            return Decision::Granted;
        }
        let open = || self.memory.open(self.holder, self.begun_at);
        let id = *self.id.get_or_insert_with(open);
        self.memory.ask(id, buffer_bytes, received_bytes)
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.memory.close(id);
        }
    }
}
