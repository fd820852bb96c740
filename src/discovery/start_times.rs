//! When endpoints started, converted from Unix time to the scheduler's clock.
//!
//! The wall clock of either machine may be off, by seconds or by an hour, when the router reads it. A start
//! at a time that the clocks rule out is taken as one at this moment: an endpoint that is believed cold for
//! too long is spared for one slow start, one that is believed warm too early is overloaded.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Clock;
use crate::scheduler::{EndpointId, Micros};

/// Longest time from an endpoint's start until discovery reports it, while a watch is open.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(10);
/// Most by which clocks are corrected, in microseconds; a start time that is further off does not come from a
/// clock.
const MAX_CLOCK_OFFSET: Micros = 2 * 3_600 * 1_000_000;
/// Start times that are remembered before those of unlisted endpoints are forgotten: an endpoint may be
/// listed again with the start that it had.
const MAX_REMEMBERED: usize = 1_024;

/// A start time as it was reported, and what it was resolved to.
#[derive(Clone, Copy, Debug)]
struct ResolvedStart {
    unix_ms: i64,
    at: Micros,
}

/// The start times that discovery has reported.
#[derive(Debug)]
pub struct StartTimes {
    clock: Clock,
    resolved: HashMap<EndpointId, ResolvedStart>,
    /// What must be added to reported start times, in microseconds, as far as the list has shown.
    correction: Micros,
}

impl StartTimes {
    /// No start time is known yet.
    pub fn new(clock: Clock) -> Self {
        StartTimes { clock, resolved: HashMap::new(), correction: 0 }
    }

    /// When an endpoint started, on the scheduler's clock; none for long ago. `unix_ms` is the reported Unix
    /// time in milliseconds, 0 for long ago. `since_last_event` is the time since the list was last known to
    /// be current; none if it never was.
    pub fn resolve(
        &mut self, endpoint: EndpointId, unix_ms: i64, since_last_event: Option<Duration>,
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
        // A start before this would have been reported earlier.
        let earliest =
            since_last_event.map(|elapsed| now - (elapsed + MAX_REPORT_DELAY).as_micros() as Micros);
        let is_possible = reported <= now && earliest.is_none_or(|earliest| reported >= earliest);
        if !is_possible {
            self.correct(endpoint, now.saturating_sub(reported));
        }
        let at = if is_possible { reported } else { now };
        self.resolved.insert(endpoint, ResolvedStart { unix_ms, at });
        Some(at)
    }

    /// Shifts later start times by this offset, unless no clock can be that far off.
    fn correct(&mut self, endpoint: EndpointId, offset: Micros) {
        let corrects_clock = offset.saturating_abs() <= MAX_CLOCK_OFFSET;
        tracing::warn!(
            endpoint = endpoint.0,
            offset_ms = offset / 1_000,
            corrects_clock,
            "endpoint start time is impossible, taken as now"
        );
        if corrects_clock {
            self.correction += offset;
        }
    }

    /// Forgets endpoints that are no longer listed, once many are remembered.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        if self.resolved.len() > MAX_REMEMBERED {
            self.resolved.retain(|endpoint, _| is_listed(*endpoint));
        }
    }
}
