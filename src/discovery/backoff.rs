//! Delays between a replica's calls to discovery.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Window added per replica when a fleet spreads its calls. A shared discovery service may take 55 ms per
/// call and rejects calls that were queued for over 2 s.
const WINDOW_PER_REPLICA: Duration = Duration::from_millis(40);
/// Minimum window for the first retry, for small fleets.
const MIN_RETRY_WINDOW: Duration = Duration::from_millis(250);
/// Maximum number of times that the window doubles after consecutive failures.
const MAX_DOUBLINGS: u32 = 2;
/// Maximum delay between two calls, for any fleet size. A change must be applied within 6 s of being
/// available from a reachable discovery service, and a call may be queued there for 2 s of that time.
const MAX_RETRY_WINDOW: Duration = Duration::from_secs(4);

/// Computes the delays between calls to discovery, so that replicas whose watches are lost simultaneously
/// neither reconnect in one burst nor keep an overloaded discovery service from answering.
#[derive(Debug)]
pub struct Backoff {
    /// Window over which the first calls after startup are spread.
    start_window: Duration,
    /// Window over which the first retries are spread.
    retry_window: Duration,
    /// Number of consecutive failures, up to [`MAX_DOUBLINGS`].
    failures: u32,
    /// Whether the next failure is likely to affect the whole fleet at the same time.
    fleet_synchronized: bool,
    seed: u64,
    draw_count: u64,
}

impl Backoff {
    /// Creates the backoff for one of `replicas` that share a discovery service. Each replica needs its own
    /// seed.
    pub fn new(replicas: u32, seed: u64) -> Self {
        let fleet_window = WINDOW_PER_REPLICA * replicas;
        Backoff {
            start_window: fleet_window.min(MAX_RETRY_WINDOW),
            retry_window: fleet_window.clamp(MIN_RETRY_WINDOW, MAX_RETRY_WINDOW),
            failures: 0,
            fleet_synchronized: true,
            seed,
            draw_count: 0,
        }
    }

    /// Returns the delay before the first call of a replica that starts with an endpoint list. It can route
    /// with that list in the meantime, so the calls of a fleet that starts or restarts at once are spread
    /// out.
    pub fn initial_delay(&mut self) -> Duration {
        self.fleet_synchronized = false;
        self.start_window.mul_f64(self.next_random())
    }

    /// Returns the delay after another failure. It is drawn from the whole window if the fleet failed
    /// simultaneously, for example because all watches were lost. Otherwise discovery is overloaded, and the
    /// delay is drawn from the second half of the window.
    pub fn next_delay(&mut self) -> Duration {
        let window = (self.retry_window * 2u32.pow(self.failures)).min(MAX_RETRY_WINDOW);
        let min_fraction = if self.fleet_synchronized { 0.0 } else { 0.5 };
        self.fleet_synchronized = false;
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        window.mul_f64(min_fraction + (1.0 - min_fraction) * self.next_random())
    }

    /// Resets the backoff after discovery has answered.
    pub fn reset(&mut self) {
        self.failures = 0;
        self.fleet_synchronized = true;
    }

    /// Returns the next pseudo-random number between 0 and 1.
    fn next_random(&mut self) -> f64 {
        self.draw_count += 1;
        (xxh3_64_with_seed(&self.draw_count.to_le_bytes(), self.seed) >> 32) as f64 / f64::from(u32::MAX)
    }
}
