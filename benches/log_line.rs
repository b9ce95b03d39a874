//! The cost of a log line, of one that no part wants, and of a count.
//!
//! Run with `cargo bench --bench log_line -- text 2>/dev/null`, or `json`.

use {
    greengagetrail::telemetry::{Counter, LogFormat, LogLevel, LogRules, init_logs_by_part},
    std::{hint::black_box, time::Instant},
};

const LINES: u32 = 200_000;
const COUNTS: u32 = 20_000_000;

fn main() {
    let json = std::env::args().any(|arg| arg == "json");
    let format = if json {
        LogFormat::Json
    } else {
        LogFormat::Text
    };
    init_logs_by_part(LogRules::new(LogLevel::Info), format);
    let runner = "i-7f3a91c2";
    let line = |number: u32| {
        log::info!(
            runner:% = runner, born_unix_ms = 1_700_000_000_000_u64, fencing_token = number,
            model:% = "daka510000", waiting = 3;
            "copies: a runner loads a model."
        );
    };
    let plain = |number: u32| log::info!("relay: {number} of {runner}");
    let unwanted = |number: u32| log::debug!(runner:% = runner; "relay: {number}");
    let counter = Counter::default();
    print("line with 5 fields", LINES, line);
    print("line without fields", LINES, plain);
    print("line below the level", COUNTS, unwanted);
    print("count", COUNTS, |_| counter.count());
    black_box(counter.get());
}

fn print(what: &str, times: u32, act: impl Fn(u32)) {
    (0..times / 10).for_each(&act);
    let began = Instant::now();
    for number in 0..times {
        act(black_box(number));
    }
    let each_ns = began.elapsed().as_nanos() as f64 / f64::from(times);
    println!("{what}: {each_ns:.1} ns");
}
