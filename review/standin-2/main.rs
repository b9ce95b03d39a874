//! Stand-ins for the platform's store, for runners and for callers, and the scenarios that use them.
//!
//! Only the standard library is used. `main SCENARIO RECORD` runs a scenario; the exit code is 1 if a
//! rule was broken, 0 if it held, and 2 if the scenario could not run.

mod http;
mod json;
mod limit;
mod nodes;
mod record;
mod restart;
mod store;

use std::process::exit;

fn main() {
    let mut args = std::env::args().skip(1);
    let scenario = args.next().unwrap_or_default();
    let record = record::Record::create(&args.next().unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("scenario {scenario}, trouble {trouble}"));
    let outcome = match scenario.as_str() {
        "limit" => limit::run(&record, trouble),
        "restart" => restart::run(&record, trouble),
        other => Err(format!("there is no scenario {other:?}")),
    };
    let (text, code) = match outcome {
        Ok(0) => ("the rule held".to_owned(), 0),
        Ok(broken) => (format!("the rule was broken {broken} times"), 1),
        Err(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
