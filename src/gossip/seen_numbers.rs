//! Which numbered changes came already.

/// The numbers below the highest that are remembered.
const REMEMBERED: u64 = 128;

/// The numbers that came of late.
#[derive(Debug, Default)]
pub(super) struct SeenNumbers {
    highest: u64,
    /// One bit for each number below the highest.
    seen: u128,
}

impl SeenNumbers {
    /// Returns whether a number is new, and notes it.
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
