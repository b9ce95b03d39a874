//! A monotonic clock that includes the time during which the VM was suspended.

use {
    rustix::time::{ClockId, clock_gettime},
    std::{fmt, sync::Arc, time::Duration},
};

/// A monotonic clock that includes suspend time, by default the kernel's `CLOCK_BOOTTIME`.
#[derive(Clone)]
pub struct BootClock(Arc<dyn Fn() -> Duration + Send + Sync>);

impl Default for BootClock {
    fn default() -> Self {
        Self::new(read_kernel)
    }
}

impl BootClock {
    /// Creates a clock that returns the values of `read`.
    pub fn new(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Self(Arc::new(read))
    }

    /// Returns the time since the VM booted.
    pub fn now(&self) -> Duration {
        (self.0)()
    }
}

impl fmt::Debug for BootClock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BootClock")
    }
}

fn read_kernel() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
