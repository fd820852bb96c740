//! When targets started, laid from Unix time on the router's monotonic clock.
//!
//! The wall clock of either machine may be off, by seconds or by an hour, when the router reads it. A start that cannot
//! have been when the clocks say is taken for one of this moment: a target that is believed cold too long is spared for
//! its ramp, one that is believed warm too early falls over.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Clock;
use crate::scheduler::{EndpointId, Micros};

/// Longest from a start until the list tells it, while the list is followed.
const TOLD_WITHIN: Duration = Duration::from_secs(10);
/// Most by which clocks are put right, in microseconds; what is further off is no clock.
const OFF_MOST: Micros = 2 * 3_600 * 1_000_000;
/// Targets remembered beyond those that the list names; one may come back with the start that it had.
const REMEMBERED: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Start {
    unix_ms: i64,
    at: Micros,
}

/// The starts that were told.
#[derive(Debug)]
pub struct StartTimes {
    clock: Clock,
    known: HashMap<EndpointId, Start>,
    /// What has to be added to told starts, in microseconds, as far as the list has shown.
    correction: Micros,
}

impl StartTimes {
    /// No start is known yet.
    pub fn new(clock: Clock) -> Self {
        StartTimes { clock, known: HashMap::new(), correction: 0 }
    }

    /// When a target started, on the module's clock, if its start is told: `unix_ms` is its Unix time in milliseconds,
    /// or
    /// 0 for long ago. `unheard` is for how long the list had not been heard before; none if it never had been.
    pub fn resolve(
        &mut self, endpoint: EndpointId, unix_ms: i64, unheard: Option<Duration>,
    ) -> Option<Micros> {
        if unix_ms <= 0 {
            return None;
        }
        if let Some(known) = self.known.get(&endpoint).filter(|known| known.unix_ms == unix_ms) {
            return Some(known.at);
        }
        let now = self.clock.now();
        let by_clock = unix_ms.saturating_mul(1_000).saturating_add(self.correction);
        let earliest = unheard.map(|unheard| now - (unheard + TOLD_WITHIN).as_micros() as Micros);
        let possible = by_clock <= now && earliest.is_none_or(|earliest| by_clock >= earliest);
        if !possible {
            self.correct(endpoint, now.saturating_sub(by_clock));
        }
        let at = if possible { by_clock } else { now };
        self.known.insert(endpoint, Start { unix_ms, at });
        Some(at)
    }

    /// Puts later starts right by so much, if that may be what a clock is off.
    fn correct(&mut self, endpoint: EndpointId, off: Micros) {
        let by_clock = off.saturating_abs() <= OFF_MOST;
        tracing::warn!(
            endpoint = endpoint.0,
            offset_ms = off / 1_000,
            corrects_clock = by_clock,
            "endpoint start time is in the future, taken as now"
        );
        if by_clock {
            self.correction += off;
        }
    }

    /// Forgets targets that are no longer listed, once they are many.
    pub fn retain(&mut self, listed: impl Fn(EndpointId) -> bool) {
        if self.known.len() > REMEMBERED {
            self.known.retain(|endpoint, _| listed(*endpoint));
        }
    }
}
