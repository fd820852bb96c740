//! Maximum sizes of the bodies of endpoints' responses, in bytes.

/// Maximum size of a response that is not an answer, such as the result of a prefill or an error. Far above
/// the size of any that endpoints send, and a small amount of memory even if all connections receive one.
pub const MAX_CONTROL_BODY_SIZE: usize = 16 * 1024;

/// Maximum size of an answer that is forwarded as it arrives. Far above the size of any answer, even with the
/// log probabilities of each token, and far below the sizes that malformed chunks announce.
pub const MAX_ANSWER_SIZE: u64 = 32 * 1024 * 1024;

/// Maximum size of an answer that is held in memory until it is complete.
pub const MAX_UNARY_ANSWER_SIZE: u64 = 16 * 1024 * 1024;
