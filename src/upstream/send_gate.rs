//! The one place that decides whether a request may be written to an endpoint now.
//!
//! The scheduler decides where a request goes; what it knew may have changed while a connection came up. So
//! right before the first byte of each attempt the request's gate is consulted. A request has one gate for
//! all its attempts.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use crate::metrics::{Counter, Counters};
use crate::upstream::connection_pool::EndpointAddress;

/// Why an attempt may not be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendDenied {
    /// Nobody waits for the response any more.
    #[error("the request has ended")]
    RequestEnded,
    /// The endpoint drains or has left the endpoint list.
    #[error("the endpoint is draining or removed")]
    Draining,
    /// The time within which the attempt had to begin is over: for a retry the deduplication window, for a
    /// reservation its limit.
    #[error("the attempt would begin too late")]
    Late,
    /// The time for its response is over.
    #[error("the time for the response is over")]
    Expired,
    /// Another attempt of the request is in flight. No command of the scheduler leads here; it would be a
    /// violation.
    #[error("another attempt is in flight")]
    AttemptInFlight,
}

/// When an attempt may begin and how long its first event is waited for.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// Until when its first event is waited for.
    pub response_deadline: Instant,
    /// When it must have begun; none if it may begin at any time.
    pub start_deadline: Option<Instant>,
    /// Whether something is reserved for the request until the attempt has arrived: it then needs a verified
    /// connection.
    pub reserved: bool,
}

/// Admits the attempts of one request, one at a time.
pub struct SendGate {
    counters: Rc<Counters>,
    closed: Cell<bool>,
    in_flight: Rc<Cell<bool>>,
}

/// An attempt that was admitted and is in flight until this is dropped.
pub struct AttemptInFlight(Rc<Cell<bool>>);

impl AttemptInFlight {
    fn begin(in_flight: &Rc<Cell<bool>>) -> Self {
        in_flight.set(true);
        AttemptInFlight(in_flight.clone())
    }
}

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl SendGate {
    /// An open gate.
    pub fn new(counters: Rc<Counters>) -> Self {
        SendGate { counters, closed: Cell::new(false), in_flight: Rc::default() }
    }

    /// Admits nothing from now on, as nobody waits for the response any more.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Whether an attempt has been admitted and has not ended.
    pub fn attempt_in_flight(&self) -> bool {
        self.in_flight.get()
    }

    /// Admits an attempt at an endpoint, which is then in flight until the result is dropped.
    ///
    /// # Errors
    ///
    /// The reason why the attempt must not be written; each is counted.
    pub fn admit(
        &self, address: Option<&EndpointAddress>, deadlines: &AttemptDeadlines,
    ) -> Result<AttemptInFlight, SendDenied> {
        if let Err(denied) = self.check(address, deadlines, Instant::now()) {
            self.denial_counter(denied).increment();
            return Err(denied);
        }
        Ok(AttemptInFlight::begin(&self.in_flight))
    }

    fn check(
        &self, address: Option<&EndpointAddress>, deadlines: &AttemptDeadlines, now: Instant,
    ) -> Result<(), SendDenied> {
        if self.closed.get() {
            return Err(SendDenied::RequestEnded);
        }
        if self.attempt_in_flight() {
            return Err(SendDenied::AttemptInFlight);
        }
        if !address.is_some_and(|address| address.ready) {
            return Err(SendDenied::Draining);
        }
        if deadlines.start_deadline.is_some_and(|start_deadline| now >= start_deadline) {
            return Err(SendDenied::Late);
        }
        if now >= deadlines.response_deadline {
            return Err(SendDenied::Expired);
        }
        Ok(())
    }

    fn denial_counter(&self, denied: SendDenied) -> &Counter {
        match denied {
            SendDenied::RequestEnded => &self.counters.denied_request_ended,
            SendDenied::Draining => &self.counters.denied_draining,
            SendDenied::Late => &self.counters.denied_late,
            SendDenied::Expired => &self.counters.denied_expired,
            SendDenied::AttemptInFlight => &self.counters.violations_concurrent_attempt,
        }
    }
}
