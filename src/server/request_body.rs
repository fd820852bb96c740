//! Reads request bodies within memory and time limits.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use super::client_body::ClientBody;
use super::connection_limits::ConnectionLimiter;
use super::connection_state::ClientState;
use super::memory_budget::MemoryLease;
use super::partial_body::{PartialBody, Retention};
use crate::upstream::request_body::RequestBody;

/// Maximum size of a request body in bytes.
const MAX_BODY_SIZE: usize = 256 * 1024;
/// Maximum number of bytes read of any body. An oversized body is read and discarded up to this size so that
/// the connection can be reused; beyond it, closing the connection is cheaper.
const MAX_DISCARDED_SIZE: usize = 2 * 1024 * 1024;
/// Time for a client to send a complete request. An error response or a close is required within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Minimum time for a body from the end of its head, regardless of how long the head took.
const MIN_BODY_TIME: Duration = Duration::from_millis(500);

/// Why a request body was not accepted.
#[derive(Debug, thiserror::Error)]
pub(super) enum BodyError {
    /// The body exceeds the size limit.
    #[error("the body is over {MAX_BODY_SIZE} bytes")]
    TooLarge,
    /// Other request bodies use up the memory limit. The request is safe to retry.
    #[error("no room for the body")]
    MemoryLimit,
    /// The connection was evicted in favor of another one. The request is safe to retry.
    #[error("the body stopped arriving while other clients were waiting")]
    Evicted,
    /// The body did not arrive in time.
    #[error("the body took too long to arrive")]
    TimedOut,
    /// The connection failed before the end of the body.
    #[error("the body broke off: {0}")]
    ReadFailed(#[from] hyper::Error),
}

/// What happens to the bytes of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyUse {
    /// The bytes are kept.
    Keep,
    /// The bytes are discarded, because the request is rejected anyway.
    Discard,
}

/// A body that was read to its end.
pub(super) struct ReceivedBody {
    /// The bytes; empty if they were discarded.
    pub(super) bytes: RequestBody,
    /// The memory of the bytes.
    pub(super) lease: MemoryLease,
}

/// Reads a body to its end. A body is also read, and discarded, if it is not needed, slightly too large or
/// exceeds the memory limit, so that the connection can be reused. `earliest_start` is the earliest time at
/// which the client could have started to send the request.
///
/// # Errors
///
/// Returns an error if the body is too large, exceeds the memory limit, arrives too late or is incomplete.
pub(super) async fn read_body(
    body: ClientBody, earliest_start: Instant, body_use: BodyUse, limiter: &Rc<ConnectionLimiter>,
) -> Result<ReceivedBody, BodyError> {
    let deadline = (earliest_start + REQUEST_TIMEOUT).max(Instant::now() + MIN_BODY_TIME);
    let client = body.client().clone();
    let mut body = pin!(body);
    let announced_length = body.size_hint().lower();
    if announced_length > MAX_DISCARDED_SIZE as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut arriving = ArrivingBody::start(&client, limiter, body_use, announced_length as usize);
    let partial = arriving.partial.clone();
    let read_to_end = async {
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                arriving.push(&data)?;
            }
        }
        body.client_found_connected().await;
        Ok(())
    };
    tokio::select! {
        biased;
        read = timeout_at(deadline, read_to_end) => read.unwrap_or(Err(BodyError::TimedOut))?,
        () = partial.abandoned() => return Err(BodyError::Evicted),
    }
    drop(partial);
    arriving.finish()
}

/// Makes a body known to its connection while it arrives, so that it can be dropped for others.
struct ArrivingBody<'a> {
    client: &'a ClientState,
    limiter: &'a ConnectionLimiter,
    partial: Rc<PartialBody>,
    received: usize,
}

impl<'a> ArrivingBody<'a> {
    fn start(
        client: &'a ClientState, limiter: &'a ConnectionLimiter, body_use: BodyUse, announced_length: usize,
    ) -> Self {
        let retention = match body_use {
            BodyUse::Keep if announced_length <= MAX_BODY_SIZE => Retention::Kept,
            BodyUse::Keep | BodyUse::Discard => Retention::NotNeeded,
        };
        let partial = limiter.start_body(retention);
        client.set_partial_body(Some(partial.clone()));
        ArrivingBody { client, limiter, partial, received: 0 }
    }

    /// Appends received bytes, or discards them if the body is not kept.
    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        self.received += data.len();
        self.partial.record_received();
        if self.received > MAX_DISCARDED_SIZE {
            return Err(BodyError::TooLarge);
        }
        if self.received > MAX_BODY_SIZE {
            self.partial.drop_bytes();
        }
        if self.partial.retention() != Retention::Kept {
            return Ok(());
        }
        let size = self.partial.size_with(data.len());
        if self.limiter.grow_body(&self.partial, size) {
            self.partial.append(data);
        } else {
            self.partial.drop_bytes();
        }
        Ok(())
    }

    /// Returns the complete body.
    fn finish(self) -> Result<ReceivedBody, BodyError> {
        if self.received > MAX_BODY_SIZE {
            return Err(BodyError::TooLarge);
        }
        if self.partial.retention() == Retention::Dropped {
            return Err(BodyError::MemoryLimit);
        }
        let partial = self.partial.clone();
        drop(self);
        let complete = Rc::into_inner(partial).map(PartialBody::into_complete);
        // The connection's handle was dropped with `self`.
        let (bytes, lease) = complete.ok_or(BodyError::MemoryLimit)?;
        Ok(ReceivedBody { bytes, lease })
    }
}

impl Drop for ArrivingBody<'_> {
    fn drop(&mut self) {
        self.client.set_partial_body(None);
    }
}
