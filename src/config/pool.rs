//! The limits of a connection pool, from the settings that both files have.

use std::time::Duration;

use crate::upstream::connection_pool::PoolLimits;

/// Least time that a setting can give a connection, in milliseconds.
const MIN_TIMEOUT_MS: f64 = 1.0;
/// Most time that a setting can give a connection, in milliseconds: one hour.
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;
/// Share of an endpoint's idle timeout after which a connection to it is closed. This is well before the
/// endpoint closes it: a request that crosses a close ends as a reset.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;

/// For a connection to be made, in milliseconds, where the file does not say.
pub(super) fn default_connect_timeout_ms() -> f64 {
    250.0
}

/// After which an endpoint closes an idle connection, in milliseconds, where the file does not say.
pub(super) fn default_idle_close_ms() -> f64 {
    30_000.0
}

/// The limits of a pool of that size, to endpoints that close connections once they were idle for
/// `idle_close_ms`.
pub(super) fn pool_limits(connect_timeout_ms: f64, idle_close_ms: f64, max_connections: usize) -> PoolLimits {
    PoolLimits {
        connect_timeout: timeout_from_millis(connect_timeout_ms),
        idle_timeout: timeout_from_millis(idle_close_ms * IDLE_TIMEOUT_SHARE),
        max_connections,
    }
}

fn timeout_from_millis(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS) / 1_000.0)
}
