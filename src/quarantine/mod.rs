//! Finds the requests and prompt parts that crash runners, so that they are refused.
//!
//! A crash ends all requests at a runner, of which one caused it. A request that comes again, or a
//! prompt part, is a suspect if runners ended while responses to it began, and no such response
//! went on since. After several crashes it is quarantined. Nodes tell each other of crashes, of
//! harmless contents, and of verdicts. `docs/design/quarantine.md` has the reasons.

mod content_id;
mod crash_detector;
mod harmless_contents;
mod part_id;
#[allow(clippy::module_inception)]
mod quarantine;
mod request_digest;
mod request_fingerprint;
mod runner_crash;
mod suspects;
mod verdict;

pub use {
    content_id::*, crash_detector::*, harmless_contents::*, part_id::*, quarantine::*,
    request_digest::*, request_fingerprint::*, runner_crash::*, suspects::*, verdict::*,
};
