//! Hashes that are identical on all replicas.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maps an endpoint and a key to a number in [0, 1), identically on all replicas.
pub(super) fn unit_hash(endpoint: u32, key: u64) -> f64 {
    (xxh3_64_with_seed(&u64::from(endpoint).to_le_bytes(), key) >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the score of an endpoint in weighted rendezvous hashing. Over all keys, the probability that an
/// endpoint has the highest score is proportional to its weight.
pub(super) fn rendezvous_score(endpoint: u32, key: u64, weight: f64) -> f64 {
    -weight / unit_hash(endpoint, key).ln().min(-1e-12)
}
