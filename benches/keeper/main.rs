//! What control costs one keeper at the size of a whole fleet: `cargo bench --bench keeper`.
//!
//! One real `ggt-keeper` runs against a key-value stand-in, one process that answers for all its
//! peers, a stand-in engine and an entry link. Every byte it exchanges with other VMs passes a
//! counting relay.

mod fleet_size;
mod meter;
#[path = "../../tests/common/process.rs"]
mod process;
mod rig;
mod table;

use {
    fleet_size::FleetSize,
    rig::Rig,
    std::time::Duration,
    table::{print_fits, print_rows},
    tokio::task::LocalSet,
};

/// The pause before the first measurement.
const SETTLE: Duration = Duration::from_secs(6);
/// How long each load is measured.
const WINDOW: Duration = Duration::from_secs(12);
/// Runner records written per second while moves are measured.
const RECORD_WRITES_PER_S: u32 = 4;
/// Revisions published while changes of configuration are measured.
const REVISIONS: u32 = 4;

fn main() {
    // `cargo test --all-targets` runs this as well, without the argument.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, measure_all());
}

async fn measure_all() {
    let mut rows = Vec::new();
    for (size, planner) in FleetSize::measured() {
        let rig = Rig::start(size, planner).await;
        tokio::time::sleep(SETTLE).await;
        let idle = std::future::pending();
        rows.push(rig.measure("quiet", WINDOW, idle).await);
        let moves = rig.write_records(RECORD_WRITES_PER_S);
        rows.push(rig.measure("records", WINDOW, moves).await);
        let changes = rig.publish_revisions(REVISIONS, WINDOW / REVISIONS);
        rows.push(rig.measure("revisions", WINDOW, changes).await);
    }
    print_rows(&rows);
    print_fits(&rows, RECORD_WRITES_PER_S, REVISIONS, WINDOW);
}
