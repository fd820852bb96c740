//! Hashes that every replica computes alike.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A number from 0 to below 1, the same for the same endpoint and key at every replica.
pub(super) fn unit_hash(endpoint: u32, key: u64) -> f64 {
    (xxh3_64_with_seed(&u64::from(endpoint).to_le_bytes(), key) >> 11) as f64 / (1u64 << 53) as f64
}

/// The score of an endpoint in weighted rendezvous hashing: over all keys, each endpoint has the highest
/// score in proportion to its weight.
pub(super) fn rendezvous_score(endpoint: u32, key: u64, weight: f64) -> f64 {
    -weight / unit_hash(endpoint, key).ln().min(-1e-12)
}
