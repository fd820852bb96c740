//! Reading a request's body, within the memory and the time that it may take.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::connection_limits::{BodyAllocation, ConnectionLimiter};
use super::connection_state::RequestArrival;

/// Largest body of a request, in bytes.
const MAX_BODY_SIZE: usize = 256 * 1024;
/// Most bytes of a body that are read in all. A body that is too large is discarded up to here, so that the
/// connection can be kept; past it a close is cheaper.
const MAX_DISCARDED_SIZE: usize = 2 * 1024 * 1024;
/// Time for a client to send a complete request: an error or a close is due within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Least time that a body gets from the end of its head on, however long the head took.
const MIN_BODY_TIME: Duration = Duration::from_millis(500);

/// Why a request's body was not accepted.
#[derive(Debug, thiserror::Error)]
pub(super) enum BodyError {
    /// It is too large.
    #[error("the body is over {MAX_BODY_SIZE} bytes")]
    TooLarge,
    /// The bodies of other requests take up the memory limit; a retry is harmless.
    #[error("no room for the body")]
    NoRoom,
    /// It took too long.
    #[error("the body took too long to arrive")]
    Slow,
    /// The connection broke within it.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// What a body is read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyUse {
    /// Its bytes are needed.
    Keep,
    /// It is only read past, as its request is rejected anyway.
    Discard,
}

/// A body that was read to its end.
pub(super) struct ReceivedBody {
    /// Its bytes; empty if they were discarded.
    pub(super) bytes: Bytes,
    /// Its share of the memory limit.
    pub(super) allocation: BodyAllocation,
}

/// Reads a body to its end. One that is discarded, a little too large or finds no memory is read past, so
/// that the connection can be kept.
///
/// # Errors
///
/// The body is too large, finds no memory, arrives too late or breaks off.
pub(super) async fn read_body(
    request: &mut Request<Incoming>, body_use: BodyUse, limiter: &Rc<ConnectionLimiter>,
) -> Result<ReceivedBody, BodyError> {
    let now = Instant::now();
    let arrival = request.extensions().get::<RequestArrival>();
    let can_send_since = arrival.map_or(now, |arrival| arrival.can_send_since);
    let deadline = (can_send_since + REQUEST_TIMEOUT).max(now + MIN_BODY_TIME);
    let mut body = pin!(request.body_mut());
    let announced = body.size_hint().lower();
    if announced > MAX_DISCARDED_SIZE as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BodyBuffer::new(body_use, announced, limiter.clone());
    let read_to_end = async {
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                buffer.push(&data)?;
            }
        }
        Ok(())
    };
    timeout_at(deadline, read_to_end).await.unwrap_or(Err(BodyError::Slow))?;
    buffer.finish()
}

/// The part of a body that has arrived.
struct BodyBuffer {
    body_use: BodyUse,
    /// Length that the head announced, in bytes, at least.
    announced: u64,
    received: usize,
    /// All that was received is in `bytes`.
    is_kept: bool,
    bytes: BytesMut,
    allocation: BodyAllocation,
}

impl BodyBuffer {
    fn new(body_use: BodyUse, announced: u64, limiter: Rc<ConnectionLimiter>) -> Self {
        BodyBuffer {
            body_use,
            announced,
            received: 0,
            is_kept: body_use == BodyUse::Keep,
            bytes: BytesMut::new(),
            allocation: BodyAllocation::new(limiter),
        }
    }

    /// Adds bytes that arrived. Memory is allocated for these, not for what was announced.
    fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        self.received += data.len();
        if self.received > MAX_DISCARDED_SIZE {
            return Err(BodyError::TooLarge);
        }
        self.is_kept = self.is_kept && self.received <= MAX_BODY_SIZE && self.allocation.try_grow(data.len());
        if !self.is_kept {
            return Ok(());
        }
        if self.bytes.is_empty() {
            self.bytes.reserve(self.announced.min(MAX_BODY_SIZE as u64) as usize);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// The body, at its end.
    fn finish(self) -> Result<ReceivedBody, BodyError> {
        if self.received > MAX_BODY_SIZE {
            return Err(BodyError::TooLarge);
        }
        if self.body_use == BodyUse::Keep && !self.is_kept {
            return Err(BodyError::NoRoom);
        }
        Ok(ReceivedBody { bytes: self.bytes.freeze(), allocation: self.allocation })
    }
}
