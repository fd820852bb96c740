//! Limits the time in which a chunk of a stream arrives.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum wait for the data of a chunk. A chunk has data that its endpoint had when it wrote the size, so one
/// that takes longer has less data than its size says. Lower than the 5 s within which the client's connection
/// has to end then.
const MAX_CHUNK_WAIT: Duration = Duration::from_millis(4_300);

/// Measures the wait for the data of the current chunk. Time in which the stream is not read, because the
/// client is slow, does not count.
#[derive(Debug, Default)]
pub(super) struct ChunkTimer {
    /// Index of the current chunk.
    chunk: Option<u64>,
    /// Time spent waiting for its data in earlier waits.
    waited: Duration,
    /// When the current wait started; `None` if there is none, or no limit for the chunk.
    wait_started: Option<Instant>,
}

impl ChunkTimer {
    /// Starts a wait for data of this chunk, given by its index within the response, or for the next chunk if
    /// there is no current one. Returns when the wait has taken too long.
    ///
    /// There is no limit for the first chunk: an answer in a single chunk is complete or not with that chunk,
    /// like one of known length, and may be as slow.
    pub(super) fn start_wait(&mut self, chunk: Option<u64>) -> Option<Instant> {
        if chunk != self.chunk {
            *self = ChunkTimer { chunk, ..ChunkTimer::default() };
        }
        let is_limited = chunk.is_some_and(|index| index > 0);
        self.wait_started = is_limited.then(Instant::now);
        Some(self.wait_started? + MAX_CHUNK_WAIT.saturating_sub(self.waited))
    }

    /// Ends the current wait.
    pub(super) fn end_wait(&mut self) {
        if let Some(started) = self.wait_started.take() {
            self.waited += started.elapsed();
        }
    }
}
