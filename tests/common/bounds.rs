//! The platform's usual bounds.

use greengagetrail::node::Bounds;

/// Returns the platform's usual bounds.
pub fn bounds() -> Bounds {
    Bounds {
        drain_ms: 2_000,
        grace_s: 8.0,
        config_apply_ms: 2_000,
        retry_budget_ratio: 0.2,
        budget_window_s: 10.0,
        retry_budget_slack: 54.0,
        lease_ms: 3_000,
        thaw_slack_ms: 300,
        fencing_enforced: true,
        ceiling_window_s: 5.0,
        contact_ms: 3_000,
        lease_min_ms: 1_000,
        fail_closed: false,
        revoke_ms: None,
        quotas: Default::default(),
    }
}
