//! Ends the leader's term when its own clocks show that the lease may have expired.

use {
    super::{ClockReading, TermTiming, membership::SharedState},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The time between two checks of the clocks.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks the clocks while this node leads; never returns.
pub(super) async fn run_term_watchdog(shared: Arc<SharedState>) {
    let mut term = shared.term.subscribe();
    while term.wait_for(Option::is_some).await.is_ok() {
        let before = ClockReading::now(&shared.clock);
        sleep(CLOCK_CHECK_INTERVAL).await;
        let now = ClockReading::now(&shared.clock);
        let frozen = TermTiming::is_freeze(now.elapsed_since(before), CLOCK_CHECK_INTERVAL);
        check_term(&shared, now, frozen);
    }
}

/// Suspends the term after a freeze, or when the lease was not renewed in time.
fn check_term(shared: &SharedState, now: ClockReading, frozen: bool) {
    let mut lease_state = shared.lease_state();
    let unconfirmed = now.elapsed_since(lease_state.renewal_sent);
    let expired = unconfirmed >= lease_state.timing.unconfirmed_max;
    if !frozen && !expired {
        return;
    }
    lease_state.renewal_needed_since = Some(Instant::now());
    if frozen {
        let from = Instant::now() + lease_state.timing.thaw_slack;
        lease_state.orders_from = lease_state.orders_from.max(from);
    }
    drop(lease_state);
    match frozen {
        true => log::info!(
            node:% = shared.me.name;
            "leader: the process was frozen, waiting for a lease renewal."
        ),
        false => log::warn!(
            node:% = shared.me.name, unconfirmed_ms = unconfirmed.as_millis() as u64;
            "leader: the term ended, the lease was not renewed in time."
        ),
    }
    shared.publish_term();
    shared.wake_election.notify_one();
}
