//! Progress of a connection's current request: its body, and the bytes that the client sends behind it.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum number of bytes that a client may send behind a request that has no response yet: several requests
/// of the maximum size.
const MAX_EXCESS_BYTES: usize = 1024 * 1024;
/// Time without further bytes after which a client that has sent some behind its request counts as connected.
/// Its close would arrive behind the bytes that its system still holds.
const EXCESS_PAUSE: Duration = Duration::from_millis(10);

/// What has been read of the current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// No request is open, or its response has started.
    NoRequest,
    /// The body has not been read to its end.
    ReadingBody,
    /// The body was read to its end. Everything behind it is excess.
    Received {
        /// Bytes behind the body that were discarded.
        excess_bytes: usize,
        /// Whether all available bytes have been read since then and the client had not closed the
        /// connection.
        found_open: bool,
    },
}

impl Progress {
    fn excess_bytes(&self) -> usize {
        match self {
            Progress::Received { excess_bytes, .. } => *excess_bytes,
            Progress::NoRequest | Progress::ReadingBody => 0,
        }
    }

    fn exceeds_limit(&self) -> bool {
        self.excess_bytes() > MAX_EXCESS_BYTES
    }
}

/// Tracks the progress of a connection's current request.
pub(super) struct RequestProgress(watch::Sender<Progress>);

impl RequestProgress {
    /// Creates the progress of a connection without an open request.
    pub(super) fn new() -> Self {
        RequestProgress(watch::Sender::new(Progress::NoRequest))
    }

    /// Records that the head of a request was parsed.
    pub(super) fn start(&self) {
        self.0.send_replace(Progress::ReadingBody);
    }

    /// Records that the body was read to its end.
    pub(super) fn body_received(&self) {
        self.0.send_if_modified(|progress| {
            let ends = *progress == Progress::ReadingBody;
            if ends {
                *progress = Progress::Received { excess_bytes: 0, found_open: false };
            }
            ends
        });
    }

    /// Records that the response has started. Returns the number of bytes behind the request that were
    /// discarded.
    pub(super) fn finish(&self) -> usize {
        self.0.send_replace(Progress::NoRequest).excess_bytes()
    }

    /// Returns whether bytes that arrive now are excess and are to be discarded.
    pub(super) fn discards_bytes(&self) -> bool {
        let progress = *self.0.borrow();
        matches!(progress, Progress::Received { .. }) && !progress.exceeds_limit()
    }

    /// Records bytes that were discarded behind the body.
    pub(super) fn record_discarded(&self, bytes: usize) {
        self.0.send_modify(|progress| {
            if let Progress::Received { excess_bytes, .. } = progress {
                *excess_bytes = excess_bytes.saturating_add(bytes);
            }
        });
    }

    /// Records that all available bytes have been read and the client has not closed the connection.
    pub(super) fn record_found_open(&self) {
        self.0.send_if_modified(|progress| match progress {
            Progress::Received { found_open, .. } if !*found_open => {
                *found_open = true;
                true
            }
            _ => false,
        });
    }

    /// Waits until the connection was found to be open after the end of the body and, if bytes followed the
    /// body, until no more arrive for [`EXCESS_PAUSE`].
    pub(super) async fn found_open(&self) {
        // Waits on a watch channel fail only when its sender is dropped, which outlives this future.
        let mut changes = self.0.subscribe();
        let found_open =
            |progress: &Progress| matches!(progress, Progress::Received { found_open: true, .. });
        let _ = changes.wait_for(found_open).await;
        while self.0.borrow().excess_bytes() > 0 && timeout(EXCESS_PAUSE, changes.changed()).await.is_ok() {}
    }

    /// Waits until the client has sent too many bytes behind its request.
    pub(super) async fn excess_limit_exceeded(&self) {
        let _ = self.0.subscribe().wait_for(Progress::exceeds_limit).await;
    }
}
