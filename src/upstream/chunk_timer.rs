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
    /// Time spent waiting for its data.
    waited: Duration,
}

impl ChunkTimer {
    /// Returns when the wait for this chunk, which begins or goes on at `now`, has taken too long. `chunk` is its
    /// index within the response, or `None` between chunks.
    ///
    /// There is no limit for the first chunk: an answer in a single chunk is complete or not with that chunk,
    /// like one of known length, and may be as slow.
    pub(super) fn deadline(&mut self, chunk: Option<u64>, now: Instant) -> Option<Instant> {
        if chunk != self.chunk {
            *self = ChunkTimer { chunk, waited: Duration::ZERO };
        }
        let is_limited = chunk.is_some_and(|index| index > 0);
        is_limited.then(|| now + MAX_CHUNK_WAIT.saturating_sub(self.waited))
    }

    /// Records a wait.
    pub(super) fn record_wait(&mut self, waited: Duration) {
        self.waited += waited;
    }
}
