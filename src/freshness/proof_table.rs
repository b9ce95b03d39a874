//! The proofs of a node that its configuration was the newest one.

use {crate::traffic::ConfigVersion, std::time::Duration};

/// The largest number of proofs that are kept.
const PROOFS_MAX: usize = 8;

/// A proof that no configuration above a version was acknowledged before an instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The version.
    pub version: ConfigVersion,
    /// The instant, by the node's boot clock.
    pub at: Duration,
}

/// The proofs of a node, of which none says less than another one.
///
/// Answers the load of a key that is taken away while some nodes are cut off or frozen: these go on
/// to get requests with the key, and only the age of their configuration shows that they must not
/// serve them. A proof for a version holds for all higher ones too.
#[derive(Debug, Default)]
pub struct ProofTable {
    /// Sorted by version; the proof of a higher version is of a later instant.
    proofs: Vec<Proof>,
}

impl ProofTable {
    /// Records a proof, unless a known one says at least as much.
    pub fn record(&mut self, proof: Proof) {
        let says_as_much =
            |known: &Proof, other: &Proof| known.version <= other.version && known.at >= other.at;
        if self.proofs.iter().any(|known| says_as_much(known, &proof)) {
            return;
        }
        self.proofs.retain(|known| !says_as_much(&proof, known));
        let position = self.proofs.partition_point(|p| p.version < proof.version);
        self.proofs.insert(position, proof);
        if self.proofs.len() > PROOFS_MAX {
            self.proofs.remove(0);
        }
    }

    /// Returns the proof of the latest instant that holds for a version.
    pub fn newest_for(&self, version: ConfigVersion) -> Option<Proof> {
        let end = self.proofs.partition_point(|p| p.version <= version);
        self.proofs[..end].last().copied()
    }
}
