//! Counts of the moves that stand-in engines carried out.

use {
    super::{LoadClient, new_client},
    crate::standin::engine::EngineRecord,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        ops::{Add, Sub},
    },
};

/// Counts of moves over all engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveCounts {
    /// Model loads.
    pub model_loads: u64,
    /// Model unloads.
    pub model_unloads: u64,
    /// Adapter loads.
    pub adapter_loads: u64,
    /// Role changes.
    pub role_changes: u64,
    /// Changes after which an engine used more memory than it has.
    pub overcommits: u64,
}

impl MoveCounts {
    /// Returns the sum of model loads, model unloads and role changes.
    pub fn total(&self) -> u64 {
        self.model_loads + self.model_unloads + self.role_changes
    }

    /// Adds the counts that an engine recorded.
    pub fn add_record(&mut self, record: &EngineRecord) {
        self.model_loads += record.model_loads;
        self.model_unloads += record.model_unloads;
        self.adapter_loads += record.adapter_loads;
        self.role_changes += record.role_changes;
        self.overcommits += record.overcommits;
    }
}

impl Add for MoveCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            model_loads: self.model_loads + other.model_loads,
            model_unloads: self.model_unloads + other.model_unloads,
            adapter_loads: self.adapter_loads + other.adapter_loads,
            role_changes: self.role_changes + other.role_changes,
            overcommits: self.overcommits + other.overcommits,
        }
    }
}

impl Sub for MoveCounts {
    type Output = Self;

    fn sub(self, before: Self) -> Self {
        Self {
            model_loads: self.model_loads.saturating_sub(before.model_loads),
            model_unloads: self.model_unloads.saturating_sub(before.model_unloads),
            adapter_loads: self.adapter_loads.saturating_sub(before.adapter_loads),
            role_changes: self.role_changes.saturating_sub(before.role_changes),
            overcommits: self.overcommits.saturating_sub(before.overcommits),
        }
    }
}

/// Fetches the move counts of the engines at these control addresses and returns their sum.
///
/// An engine that does not return a valid record adds nothing.
pub async fn read_moves(addresses: &[SocketAddr]) -> MoveCounts {
    let client = new_client();
    let mut counts = MoveCounts::default();
    for address in addresses {
        if let Some(record) = read_record(&client, *address).await {
            counts.add_record(&record);
        }
    }
    counts
}

async fn read_record(client: &LoadClient, address: SocketAddr) -> Option<EngineRecord> {
    let request = Request::get(format!("http://{address}/record"));
    let response = client.request(request.body(Full::default()).ok()?).await;
    let body = response.ok()?.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
