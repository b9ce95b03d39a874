//! Rendezvous hashing: processes that know the same names compute the same order without
//! communication.

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes a text to 64 well-mixed bits, the same in every process and version.
pub fn stable_hash(text: &str) -> u64 {
    let hash = text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Returns the rendezvous weight of a node for a key; the node with the highest weight is chosen.
pub fn rendezvous_weight(key: u64, node: &str) -> u64 {
    rendezvous_weight_of_hash(key, stable_hash(node))
}

/// Returns the rendezvous weight of a node whose [`stable_hash`] is known.
pub fn rendezvous_weight_of_hash(key: u64, node_hash: u64) -> u64 {
    mix(key ^ node_hash.rotate_left(32))
}

/// Returns a rendezvous score for a node whose share is proportional to `weight`.
pub fn weighted_rendezvous_score(key: u64, node: &str, weight: f64) -> f64 {
    let unit = (rendezvous_weight(key, node) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / unit.ln().min(-f64::MIN_POSITIVE)
}

/// Mixes the bits of a hash so that each input bit affects all output bits.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
