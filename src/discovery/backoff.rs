//! The waits between a router's calls to discovery.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Over which the calls of a fleet are spread, for each of its routers: where the list must be asked for,
/// discovery is one service for all that has been seen to take 55 ms for a call and to let none wait over 2 s.
const CALL_EACH: Duration = Duration::from_millis(40);
/// Within which the first further try falls, however small the fleet.
const AGAIN_LEAST: Duration = Duration::from_millis(250);
/// How often the wait doubles while tries fail.
const DOUBLINGS: u32 = 2;
/// Longest from one call to the next, however large the fleet: what changes counts as told 6 s after discovery had it
/// and could be reached, and of these a call may wait 2 s in turn.
const AGAIN_MOST: Duration = Duration::from_secs(4);

/// How long to wait before the next try, so that a whole fleet whose watches ended together neither comes back as one
/// nor keeps a crowded discovery from answering anybody.
#[derive(Debug)]
pub struct Backoff {
    spread: Duration,
    first: Duration,
    failed: u32,
    /// The next call comes after something that mostly meets the whole fleet in the same moment.
    together: bool,
    seed: u64,
    drawn: u64,
}

impl Backoff {
    /// For one of so many routers that share discovery; each has a seed of its own.
    pub fn new(routers: u32, seed: u64) -> Self {
        let spread = (CALL_EACH * routers).min(AGAIN_MOST);
        let first = (CALL_EACH * routers).clamp(AGAIN_LEAST, AGAIN_MOST);
        Backoff { spread, first, failed: 0, together: true, seed, drawn: 0 }
    }

    /// A number from 0 to 1, each time another one.
    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        (xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed) >> 32) as f64 / f64::from(u32::MAX)
    }

    /// The wait before the first call of a router that starts with a list and can serve by it meanwhile: a fleet
    /// that starts or restarts together must not ask together.
    pub fn initial_delay(&mut self) -> Duration {
        self.together = false;
        self.spread.mul_f64(self.draw())
    }

    /// The wait after one more failure: drawn from all that is due where the fleet failed together, as when its watches
    /// end, else from the second half of it, as discovery is crowded.
    pub fn next_delay(&mut self) -> Duration {
        let due = (self.first * 2u32.pow(self.failed)).min(AGAIN_MOST);
        let least = if std::mem::take(&mut self.together) { 0.0 } else { 0.5 };
        self.failed = (self.failed + 1).min(DOUBLINGS);
        due.mul_f64(least + (1.0 - least) * self.draw())
    }

    /// Discovery answers: the next failure is a first one.
    pub fn reset(&mut self) {
        (self.failed, self.together) = (0, true);
    }
}
