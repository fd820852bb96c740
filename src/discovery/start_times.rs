//! Converts endpoint start times from Unix time to the scheduler's clock.
//!
//! The wall clock of either machine may be wrong by seconds or by an hour when the router reads it. An
//! impossible start time is replaced by the current time: an endpoint treated as cold for too long only gets
//! fewer requests for one slow start, while one treated as warm too early is overloaded.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Clock;
use crate::scheduler::{EndpointId, Micros};

/// Maximum time between the start of an endpoint and its report by discovery, while a watch is open.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(10);
/// Maximum clock correction in microseconds. A start time that is off by more does not come from a clock.
const MAX_CLOCK_OFFSET: Micros = 2 * 3_600 * 1_000_000;
/// Number of cached start times above which those of unlisted endpoints are dropped. They are not dropped at
/// once because an endpoint may be listed again with the same start time.
const MAX_CACHED_START_TIMES: usize = 1_024;

/// A reported start time and the time it was resolved to.
#[derive(Clone, Copy, Debug)]
struct ResolvedStart {
    unix_ms: i64,
    at: Micros,
}

/// The start times reported by discovery.
#[derive(Debug)]
pub struct StartTimes {
    clock: Clock,
    resolved: HashMap<EndpointId, ResolvedStart>,
    /// Correction to add to reported start times, in microseconds, derived from impossible start times.
    correction: Micros,
}

impl StartTimes {
    /// Creates a cache without start times.
    pub fn new(clock: Clock) -> Self {
        StartTimes { clock, resolved: HashMap::new(), correction: 0 }
    }

    /// Returns when an endpoint started on the scheduler's clock, or `None` if that was long ago. `unix_ms`
    /// is the reported Unix time in milliseconds, or 0 if that was long ago. `since_last_sync` is the time
    /// since the list was last known to be current, or `None` if it never was.
    pub fn resolve(
        &mut self, endpoint: EndpointId, unix_ms: i64, since_last_sync: Option<Duration>,
    ) -> Option<Micros> {
        if unix_ms <= 0 {
            return None;
        }
        if let Some(resolved) = self.resolved.get(&endpoint)
            && resolved.unix_ms == unix_ms
        {
            return Some(resolved.at);
        }
        let now = self.clock.now();
        let reported = unix_ms.saturating_mul(1_000).saturating_add(self.correction);
        // Earlier starts would already have been reported.
        let earliest =
            since_last_sync.map(|elapsed| now - (elapsed + MAX_REPORT_DELAY).as_micros() as Micros);
        let is_possible = reported <= now && earliest.is_none_or(|earliest| reported >= earliest);
        if !is_possible {
            self.adjust_correction(endpoint, now.saturating_sub(reported));
        }
        let at = if is_possible { reported } else { now };
        self.resolved.insert(endpoint, ResolvedStart { unix_ms, at });
        Some(at)
    }

    /// Adjusts the correction by this offset, unless it exceeds [`MAX_CLOCK_OFFSET`].
    fn adjust_correction(&mut self, endpoint: EndpointId, offset: Micros) {
        let corrects_clock = offset.saturating_abs() <= MAX_CLOCK_OFFSET;
        tracing::warn!(
            endpoint = endpoint.0,
            offset_ms = offset / 1_000,
            corrects_clock,
            "impossible endpoint start time; using the current time"
        );
        if corrects_clock {
            self.correction += offset;
        }
    }

    /// Drops the start times of unlisted endpoints if too many are cached.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        if self.resolved.len() > MAX_CACHED_START_TIMES {
            self.resolved.retain(|endpoint, _| is_listed(*endpoint));
        }
    }
}
