//! The software versions at which a stream that is resumed now may have begun.

use {
    crate::{
        discovery::RunnerEntry,
        traffic::{ServiceId, SoftwareVersion},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::Instant,
};

/// How long after its begin a stream may still be resumed.
///
/// This is above the longest deadline of a caller, over all of its attempts.
pub const RESUMABLE_MAX: Duration = Duration::from_secs(60);

/// The software versions of one service, as they are stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// The service.
    pub service: ServiceId,
    /// The software versions, sorted.
    pub software: Vec<SoftwareVersion>,
}

/// A software version of a service.
#[derive(Debug)]
struct KnownVersion {
    service: ServiceId,
    software: SoftwareVersion,
    is_listed: bool,
    is_stored: bool,
    /// The last time at which a runner with the version was listed, or at which the node learned
    /// of the version.
    known_at: Instant,
}

impl KnownVersion {
    fn is_recent(&self, now: Instant) -> bool {
        self.is_listed || now < self.known_at + RESUMABLE_MAX
    }
}

/// The software versions of each service that were in use since the oldest stream that can still
/// be resumed began.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Sorted by service and version.
    versions: Vec<KnownVersion>,
}

impl VersionHistory {
    /// Replaces the listed runners.
    pub fn set_listed(&mut self, runners: &[RunnerEntry], now: Instant) {
        for known in &mut self.versions {
            if known.is_listed {
                known.known_at = now;
            }
            known.is_listed = false;
        }
        for runner in runners {
            let known = self.insert(&runner.service, &runner.software, now);
            (known.is_listed, known.known_at) = (true, now);
        }
        self.expire(now);
    }

    /// Replaces the versions that are stored, which other nodes may have known before this one
    /// started.
    pub fn set_stored(&mut self, stored: &[ServiceVersions], now: Instant) {
        self.versions
            .iter_mut()
            .for_each(|known| known.is_stored = false);
        for ServiceVersions { service, software } in stored {
            for software in software {
                self.insert(service, software, now).is_stored = true;
            }
        }
        self.expire(now);
    }

    /// Returns the versions at which a stream of a service may have begun.
    pub fn possible(&self, service: &ServiceId, now: Instant) -> Vec<&SoftwareVersion> {
        let known = self
            .versions
            .iter()
            .filter(|known| known.service == *service && (known.is_stored || known.is_recent(now)));
        known.map(|known| &known.software).collect()
    }

    /// Returns whether streams of several versions of a service may be resumed.
    pub fn is_mixed(&self, service: &ServiceId, now: Instant) -> bool {
        self.possible(service, now).len() > 1
    }

    /// Returns what is to be stored: the versions in use within [`RESUMABLE_MAX`].
    pub fn recent(&self, now: Instant) -> Vec<ServiceVersions> {
        let mut services: Vec<ServiceVersions> = Vec::new();
        for known in self.versions.iter().filter(|known| known.is_recent(now)) {
            let software = known.software.clone();
            match services.last_mut() {
                Some(last) if last.service == known.service => last.software.push(software),
                _ => services.push(ServiceVersions {
                    service: known.service.clone(),
                    software: vec![software],
                }),
            }
        }
        services
    }

    fn expire(&mut self, now: Instant) {
        self.versions
            .retain(|known| known.is_stored || known.is_recent(now));
    }

    fn insert(
        &mut self,
        service: &ServiceId,
        software: &SoftwareVersion,
        now: Instant,
    ) -> &mut KnownVersion {
        let found = self
            .versions
            .binary_search_by(|known| (&known.service, &known.software).cmp(&(service, software)));
        let position = found.unwrap_or_else(|position| {
            let known = KnownVersion {
                service: service.clone(),
                software: software.clone(),
                is_listed: false,
                is_stored: false,
                known_at: now,
            };
            self.versions.insert(position, known);
            position
        });
        &mut self.versions[position]
    }
}
