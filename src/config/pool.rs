//! Connection pool limits, which both configuration files define by the same settings.

use std::time::Duration;

use crate::upstream::connection_pool::PoolLimits;

/// Minimum value of a connection timeout setting, in milliseconds.
const MIN_TIMEOUT_MS: f64 = 1.0;
/// Maximum value of a connection timeout setting, in milliseconds (one hour).
const MAX_TIMEOUT_MS: f64 = 3_600_000.0;
/// Fraction of the endpoint's idle timeout after which an idle connection to it is closed. Closing well
/// before the endpoint does avoids requests that race with its close and fail with a connection reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;

/// Returns the default time limit for connecting to an endpoint, in milliseconds.
pub(super) fn default_connect_timeout_ms() -> f64 {
    250.0
}

/// Returns the default idle time after which an endpoint closes a connection, in milliseconds.
pub(super) fn default_idle_close_ms() -> f64 {
    30_000.0
}

/// Builds the limits of a connection pool whose endpoints close connections after `idle_close_ms` of
/// inactivity.
pub(super) fn pool_limits(connect_timeout_ms: f64, idle_close_ms: f64, max_connections: usize) -> PoolLimits {
    PoolLimits {
        connect_timeout: timeout_from_millis(connect_timeout_ms),
        idle_timeout: timeout_from_millis(idle_close_ms * IDLE_TIMEOUT_FRACTION),
        max_connections,
    }
}

fn timeout_from_millis(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS) / 1_000.0)
}
