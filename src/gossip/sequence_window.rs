//! Detects duplicates of numbered messages.

/// The size of the window of numbers below the highest one; older numbers count as duplicates.
const WINDOW_SIZE: u64 = 128;

/// A sliding window of the sequence numbers received from one sender.
#[derive(Debug, Default)]
pub(super) struct SequenceWindow {
    highest: u64,
    /// One bit for each received number below the highest, the lowest bit for the next lower one.
    received: u128,
}

impl SequenceWindow {
    /// Inserts a number and returns whether it is new.
    pub(super) fn insert(&mut self, number: u64) -> bool {
        if number > self.highest {
            let step = number - self.highest;
            let shifted = u32::try_from(step)
                .ok()
                .and_then(|s| self.received.checked_shl(s));
            let previous_highest = if step <= WINDOW_SIZE {
                1_u128 << (step - 1)
            } else {
                0
            };
            self.received = shifted.unwrap_or(0) | previous_highest;
            self.highest = number;
            return true;
        }
        let back = self.highest - number;
        if back == 0 || back > WINDOW_SIZE {
            return false;
        }
        let bit = 1_u128 << (back - 1);
        let new = self.received & bit == 0;
        self.received |= bit;
        new
    }
}
