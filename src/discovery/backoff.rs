//! The delays between a replica's calls to discovery.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Share of each replica in the window over which a fleet spreads its calls. A shared discovery service has
/// been seen to take 55 ms for a call and to reject calls that queued for over 2 s.
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Least window in which the first retry falls, however small the fleet.
const MIN_RETRY_WINDOW: Duration = Duration::from_millis(250);
/// How often the window doubles while calls go on failing.
const MAX_DOUBLINGS: u32 = 2;
/// Longest delay from one call to the next, however large the fleet: a change must be applied within 6 s of
/// the time when discovery had it and could be reached, and a call may queue there for 2 s of these.
const MAX_RETRY_WINDOW: Duration = Duration::from_secs(4);

/// How long to wait before the next call to discovery, so that a fleet whose watches were lost in the same
/// moment neither returns in one burst nor keeps a crowded discovery service from answering at all.
#[derive(Debug)]
pub struct Backoff {
    /// Over which the first calls after a start are spread.
    start_window: Duration,
    /// Over which the first retries are spread.
    retry_window: Duration,
    /// Failures in a row, up to [`MAX_DOUBLINGS`].
    failures: u32,
    /// Whether the next failure is probably one of the entire fleet in the same moment.
    fleet_in_step: bool,
    seed: u64,
    draws: u64,
}

impl Backoff {
    /// The delays of one of `replicas` that share a discovery service; each has a seed of its own.
    pub fn new(replicas: u32, seed: u64) -> Self {
        let fleet_window = CALL_INTERVAL * replicas;
        Backoff {
            start_window: fleet_window.min(MAX_RETRY_WINDOW),
            retry_window: fleet_window.clamp(MIN_RETRY_WINDOW, MAX_RETRY_WINDOW),
            failures: 0,
            fleet_in_step: true,
            seed,
            draws: 0,
        }
    }

    /// The delay before the first call of a replica that starts with a list and can route by it meanwhile: a
    /// fleet that starts or restarts together must not call together.
    pub fn initial_delay(&mut self) -> Duration {
        self.fleet_in_step = false;
        self.start_window.mul_f64(self.draw())
    }

    /// The delay after one more failure. It is drawn from the entire window where the fleet failed together,
    /// as when all its watches are lost, else from the second half of it, as discovery is crowded.
    pub fn next_delay(&mut self) -> Duration {
        let window = (self.retry_window * 2u32.pow(self.failures)).min(MAX_RETRY_WINDOW);
        let min_share = if self.fleet_in_step { 0.0 } else { 0.5 };
        self.fleet_in_step = false;
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        window.mul_f64(min_share + (1.0 - min_share) * self.draw())
    }

    /// Discovery answers: the next failure is a first one.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.fleet_in_step = true;
    }

    /// The next of a series of pseudo-random numbers from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        (xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed) >> 32) as f64 / f64::from(u32::MAX)
    }
}
