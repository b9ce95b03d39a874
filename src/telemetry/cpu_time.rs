//! Reads the processor time of other processes.

use std::{fs, time::Duration};

/// The number of clock ticks per second in `/proc`.
const CLOCK_TICKS_PER_S: u64 = 100;
/// The positions of user and system time in `/proc/PID/stat`, counted after the program's name.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// Reads the processor time that a process has used; `None` if the process has ended.
pub fn cpu_time(process_id: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    parse_stat(&text)
}

/// Parses the processor time from the text of `/proc/PID/stat`; `None` if it is malformed.
pub fn parse_stat(text: &str) -> Option<Duration> {
    let (_, fields) = text.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let mut ticks = 0_u64;
    for field in CPU_TIME_FIELDS {
        let value: u64 = fields.get(field)?.parse().ok()?;
        ticks = ticks.checked_add(value)?;
    }
    Some(Duration::from_millis(
        ticks.checked_mul(1000)? / CLOCK_TICKS_PER_S,
    ))
}
