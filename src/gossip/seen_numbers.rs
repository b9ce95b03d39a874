//! Detects duplicates of numbered messages.

/// The size of the window of numbers below the highest one; older numbers count as duplicates.
const REMEMBERED: u64 = 128;

/// A sliding window of the sequence numbers received from one sender.
#[derive(Debug, Default)]
pub(super) struct SeenNumbers {
    highest: u64,
    /// One bit for each received number below the highest, the lowest bit for the next lower one.
    seen: u128,
}

impl SeenNumbers {
    /// Inserts a number and returns whether it is new.
    pub(super) fn is_new(&mut self, number: u64) -> bool {
        if number > self.highest {
            let step = number - self.highest;
            let shifted = u32::try_from(step)
                .ok()
                .and_then(|s| self.seen.checked_shl(s));
            let former = if step <= REMEMBERED {
                1_u128 << (step - 1)
            } else {
                0
            };
            self.seen = shifted.unwrap_or(0) | former;
            self.highest = number;
            return true;
        }
        let back = self.highest - number;
        if back == 0 || back > REMEMBERED {
            return false;
        }
        let bit = 1_u128 << (back - 1);
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
