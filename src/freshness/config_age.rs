//! The age of the active configuration of a node.

use {
    super::{AgeBound, Proof, ProofTable},
    crate::{
        leader::BootClock,
        telemetry::{Counter, MetricText},
        traffic::{ActiveConfig, ConfigVersion, ReadObserver},
    },
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    thiserror::Error,
    tokio::sync::watch,
};

/// The configuration may be outdated, so that keys must not be served by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the configuration may be outdated")]
pub struct ConfigTooOld;

/// What a node tells a peer of the age of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerProof {
    /// The version above which none was acknowledged.
    pub version: u64,
    /// How long before the arrival of the peer's request that was, in milliseconds; below 0 if it
    /// was after the arrival.
    pub age_ms: i64,
}

/// Where proofs come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofSource {
    /// The store.
    Store,
    /// A peer.
    Peer,
}

/// The age of the active configuration: the time since it was last shown to be the newest one.
///
/// Suspensions of the VM count.
#[derive(Debug)]
pub struct ConfigAge {
    active_config: Arc<ActiveConfig>,
    clock: BootClock,
    bound: Mutex<Option<AgeBound>>,
    proofs: Mutex<ProofTable>,
    recorded: watch::Sender<()>,
    recorded_count: [Counter; 2],
}

impl ConfigAge {
    /// Creates the age of a configuration that is not proven yet.
    pub fn new(
        active_config: Arc<ActiveConfig>,
        clock: BootClock,
        bound: Option<AgeBound>,
    ) -> Self {
        Self {
            active_config,
            clock,
            bound: Mutex::new(bound),
            proofs: Mutex::default(),
            recorded: watch::Sender::new(()),
            recorded_count: Default::default(),
        }
    }

    /// Changes the bound; `None` lets a configuration of any age serve keys.
    pub fn set_bound(&self, bound: Option<AgeBound>) {
        *lock(&self.bound) = bound;
    }

    /// Returns the bound.
    pub fn bound(&self) -> Option<AgeBound> {
        *lock(&self.bound)
    }

    /// Returns the time by the clock that counts the age.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Decides whether keys may be served now.
    ///
    /// # Errors
    ///
    /// Fails if the configuration was not shown to be the newest one for too long.
    pub fn check(&self) -> Result<(), ConfigTooOld> {
        let Some(bound) = self.bound() else {
            return Ok(());
        };
        let is_young = self.age().is_some_and(|age| age <= bound.age_max());
        is_young.then_some(()).ok_or(ConfigTooOld)
    }

    /// Returns the age of the active configuration; `None` before the first proof.
    pub fn age(&self) -> Option<Duration> {
        Some(self.now().saturating_sub(self.newest_proof()?.at))
    }

    /// Returns the newest proof that holds for the active configuration.
    fn newest_proof(&self) -> Option<Proof> {
        let version = self.active_config.version()?;
        lock(&self.proofs).newest_for(version)
    }

    /// Records that the active configuration is the newest one that the store had at `at`.
    pub fn record(&self, at: Duration) {
        if let Some(version) = self.active_config.version() {
            self.record_proof(Proof { version, at }, ProofSource::Store);
        }
    }

    /// Records what a peer told in response to a request that was sent at `sent_at`.
    ///
    /// The request arrived at the peer later than that, so the delay of either message only makes
    /// the recorded proof older than it is.
    pub fn record_peer(&self, sent_at: Duration, told: PeerProof) {
        let age = Duration::from_millis(told.age_ms.unsigned_abs());
        let at = match told.age_ms {
            0.. => sent_at.checked_sub(age),
            _ => Some((sent_at + age).min(self.now())),
        };
        if let Some(at) = at {
            let version = ConfigVersion(told.version);
            self.record_proof(Proof { version, at }, ProofSource::Peer);
        }
    }

    /// Waits for the next proof for at most `wait`, then returns what to tell a peer whose request
    /// arrived at `arrived_at`.
    pub async fn next_for_peer(&self, arrived_at: Duration, wait: Duration) -> Option<PeerProof> {
        let mut recorded = self.recorded.subscribe();
        let _ = tokio::time::timeout(wait, recorded.changed()).await;
        let proof = self.newest_proof()?;
        Some(PeerProof {
            version: proof.version.0,
            age_ms: ms_between(proof.at, arrived_at),
        })
    }

    fn record_proof(&self, proof: Proof, source: ProofSource) {
        lock(&self.proofs).record(proof);
        self.recorded_count[source as usize].count();
        self.recorded.send_replace(());
    }

    /// Writes the metrics to `text`.
    pub fn render(&self, text: &mut MetricText) {
        let Some(bound) = self.bound() else {
            return;
        };
        let name = "ggt_config_age_seconds";
        text.begin(
            name,
            "gauge",
            "Time since the configuration was last shown to be the newest one.",
        );
        if let Some(age) = self.age() {
            text.value(name, &[], age.as_secs_f64());
        }
        let name = "ggt_config_age_max_seconds";
        text.begin(
            name,
            "gauge",
            "The age of the configuration from which keys are refused.",
        );
        text.value(name, &[], bound.age_max().as_secs_f64());
        let name = "ggt_config_proofs_total";
        text.begin(
            name,
            "counter",
            "Proofs that the configuration is the newest one, by source.",
        );
        for (source, count) in ["store", "peer"].iter().zip(&self.recorded_count) {
            text.value(name, &[("source", *source)], count.get() as f64);
        }
    }
}

impl ReadObserver for ConfigAge {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn record_read(&self, sent_at: Duration) {
        self.record(sent_at);
    }
}

/// Returns the milliseconds from `at` to `until`, rounded up; below 0 if `at` is later.
fn ms_between(at: Duration, until: Duration) -> i64 {
    let nanos = |time: Duration| i64::try_from(time.as_nanos()).unwrap_or(i64::MAX);
    let between = nanos(until) - nanos(at);
    -(-between).div_euclid(1_000_000)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
