//! Ends the leader's term when its own clocks show that the lease may have expired.

use {
    super::{Moment, TenureRules, membership::Shared},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The time between two checks of the clocks.
const INTERVAL: Duration = Duration::from_millis(100);

/// Checks the clocks while this node leads; never returns.
pub(super) async fn guard_term(shared: Arc<Shared>) {
    let mut term = shared.term.subscribe();
    while term.wait_for(Option::is_some).await.is_ok() {
        let before = Moment::now(&shared.clock);
        sleep(INTERVAL).await;
        let now = Moment::now(&shared.clock);
        let frozen = TenureRules::is_freeze(now.since(before), INTERVAL);
        check(&shared, now, frozen);
    }
}

/// Suspends the term after a freeze, or when the lease was not renewed in time.
fn check(shared: &Shared, now: Moment, frozen: bool) {
    let mut standing = shared.standing();
    let unconfirmed = now.since(standing.confirmed);
    let lapsed = unconfirmed >= standing.rules.unconfirmed_max;
    if !frozen && !lapsed {
        return;
    }
    standing.doubtful_since = Some(Instant::now());
    if frozen {
        let from = Instant::now() + standing.rules.thaw_slack;
        standing.orders_from = standing.orders_from.max(from);
    }
    drop(standing);
    match frozen {
        true => log::info!(
            node:% = shared.me.name;
            "leader: the process was frozen, the term is confirmed anew."
        ),
        false => log::warn!(
            node:% = shared.me.name, unconfirmed_ms = unconfirmed.as_millis() as u64;
            "leader: the term ends, unconfirmed."
        ),
    }
    shared.publish_term();
    shared.changed.notify_one();
}
