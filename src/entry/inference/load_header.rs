//! Parses the load that engines report in response headers and stream comments.

use crate::{engine::EngineLoad, routing::LoadReport, units::Incarnation};

/// Parses `waiting=N running=N kv_used_permille=N incarnation=N`; unknown fields are ignored.
///
/// Returns `None` if a known field is missing or not a number.
pub fn parse_load(text: &str) -> Option<LoadReport> {
    let mut waiting = None;
    let mut running = None;
    let mut kv_used_permille = None;
    let mut incarnation = None;
    for field in text.split_ascii_whitespace() {
        let (name, number) = field.split_once('=')?;
        match name {
            "waiting" => waiting = Some(number.parse().ok()?),
            "running" => running = Some(number.parse().ok()?),
            "kv_used_permille" => kv_used_permille = Some(number.parse().ok()?),
            "incarnation" => incarnation = Some(number.parse().ok()?),
            _ => {}
        }
    }
    Some(LoadReport {
        load: EngineLoad {
            waiting: waiting?,
            running: running?,
            kv_used_permille: kv_used_permille?,
        },
        incarnation: Incarnation(incarnation?),
    })
}
