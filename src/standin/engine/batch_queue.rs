//! The places in the batch of a stand-in engine, given out by priority.

use {
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::oneshot,
};

#[derive(Debug)]
struct Waiter {
    /// Lower goes first; the second part keeps the order of arrival.
    rank: (u8, u64),
    wake: oneshot::Sender<BatchSlot>,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    arrivals: u64,
    waiters: Vec<Waiter>,
}

/// The places in the batch, given out by priority and then in the order of arrival.
#[derive(Debug, Clone)]
pub struct BatchQueue {
    state: Arc<Mutex<State>>,
    batch_max: u32,
}

impl BatchQueue {
    /// Makes a queue for a batch of this many sequences.
    pub fn new(batch_max: u32) -> Self {
        Self {
            state: Arc::default(),
            batch_max,
        }
    }

    /// Returns how many sequences are in the batch.
    pub fn running(&self) -> u32 {
        self.state().running
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> u32 {
        let mut state = self.state();
        state.waiters.retain(|waiter| !waiter.wake.is_closed());
        state.waiters.len() as u32
    }

    /// Waits for a place in the batch; lower priorities go first.
    pub async fn enter(&self, priority: u8) -> BatchSlot {
        let woken = {
            let mut state = self.state();
            if state.running < self.batch_max {
                state.running += 1;
                return self.slot();
            }
            let (wake, woken) = oneshot::channel();
            state.arrivals += 1;
            let rank = (priority, state.arrivals);
            let at = state.waiters.partition_point(|waiter| waiter.rank < rank);
            state.waiters.insert(at, Waiter { rank, wake });
            woken
        };
        match woken.await {
            Ok(slot) => slot,
            Err(_) => BatchSlot { queue: None },
        }
    }

    fn slot(&self) -> BatchSlot {
        BatchSlot {
            queue: Some(self.clone()),
        }
    }

    /// Passes a freed place on to the next request that still waits.
    fn release(&self) {
        loop {
            let waiter = {
                let mut state = self.state();
                if state.waiters.is_empty() {
                    state.running -= 1;
                    return;
                }
                state.waiters.remove(0)
            };
            match waiter.wake.send(self.slot()) {
                Ok(()) => return,
                Err(mut slot) => slot.queue = None,
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the batch; dropping it passes the place on.
#[derive(Debug)]
pub struct BatchSlot {
    queue: Option<BatchQueue>,
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.release();
        }
    }
}
