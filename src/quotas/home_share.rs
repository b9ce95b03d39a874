//! The part of a workspace's quota that one of its home nodes hands out.

use {
    crate::workspaces::Quota,
    serde::{Deserialize, Serialize},
};

/// The share of the tolerated excess that may be with nodes as spare allowance at any time.
const SPARE_SHARE: f64 = 0.3;

/// The part of the tolerated excess that may be saved up beyond the burst, over all homes.
///
/// A home holds a third of a small quota, which is less than one request: without it requests
/// within the quota are refused that the other homes could not serve either.
const SAVED_SHARE: f64 = 0.3;

/// By how much all nodes together may exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaBounds {
    /// The window in which amounts are summed.
    #[serde(rename = "quota_window_s", default = "default_window_s")]
    pub window_s: f64,
    /// The tolerated excess, as a share of what the quota allows in a window.
    #[serde(rename = "quota_overage", default)]
    pub overage: f64,
    /// The further tolerated excess, in the unit of the quota.
    #[serde(rename = "quota_slack", default)]
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window_s: default_window_s(),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

fn default_window_s() -> f64 {
    10.0
}

impl QuotaBounds {
    /// Returns the amount by which a window may exceed a quota.
    pub fn excess(&self, quota: &Quota) -> f64 {
        let allowed = quota.rate_per_s * self.window_s + quota.burst;
        (allowed * self.overage + self.slack).max(0.0)
    }
}

/// The part of a quota that one home hands out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeShare {
    /// The amount per second.
    pub rate_per_s: f64,
    /// The most that is saved up.
    pub burst: f64,
    /// The most that may be with nodes as spare allowance.
    pub spare_max: f64,
}

impl HomeShare {
    /// Returns the share of one of `homes` homes.
    pub fn of(quota: &Quota, bounds: &QuotaBounds, homes: usize) -> Self {
        let homes = homes.max(1) as f64;
        Self {
            rate_per_s: quota.rate_per_s / homes,
            burst: (quota.burst + SAVED_SHARE * bounds.excess(quota)) / homes,
            spare_max: SPARE_SHARE * bounds.excess(quota) / homes,
        }
    }
}
