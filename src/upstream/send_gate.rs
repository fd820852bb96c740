//! Decides whether a request may be written to an endpoint at this moment.
//!
//! The scheduler decides where a request is sent, but the conditions may have changed while a connection was
//! being opened. The request's gate is therefore checked immediately before the first byte of each attempt is
//! written. A request has one gate for all its attempts.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use crate::metrics::{Counter, Counters};
use crate::upstream::connection_pool::EndpointAddress;

/// Why an attempt must not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendDenied {
    /// The client no longer waits for the response.
    #[error("the request has ended")]
    RequestEnded,
    /// The endpoint is draining or is no longer in the endpoint list.
    #[error("the endpoint is draining or removed")]
    Draining,
    /// The attempt's start deadline has passed: the end of the deduplication window for a retry, the limit of
    /// the reservation for a request that has one.
    #[error("the start deadline of the attempt has passed")]
    Late,
    /// The response deadline has passed.
    #[error("the response deadline has passed")]
    Expired,
    /// Another attempt of the request is in flight. The scheduler never requests this; it would be a
    /// violation.
    #[error("another attempt of the request is in flight")]
    AttemptInFlight,
}

/// When an attempt may start and how long to wait for its first event.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// Deadline for the first event.
    pub response_deadline: Instant,
    /// Deadline for the start of the attempt; `None` if there is no limit.
    pub start_deadline: Option<Instant>,
    /// Whether a reservation is held for the request until the attempt arrives. The attempt then requires a
    /// new connection.
    pub has_reservation: bool,
}

/// Admits the attempts of one request, one at a time.
pub struct SendGate {
    counters: Rc<Counters>,
    closed: Cell<bool>,
    in_flight: Rc<Cell<bool>>,
    has_admitted: Cell<bool>,
}

/// An admitted attempt, in flight until this is dropped.
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
    /// Creates an open gate.
    pub fn new(counters: Rc<Counters>) -> Self {
        SendGate {
            counters,
            closed: Cell::new(false),
            in_flight: Rc::default(),
            has_admitted: Cell::new(false),
        }
    }

    /// Closes the gate: no further attempt is admitted because the client no longer waits for the response.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Returns whether an admitted attempt is in flight.
    pub fn attempt_in_flight(&self) -> bool {
        self.in_flight.get()
    }

    /// Returns whether any attempt was admitted.
    pub fn has_admitted(&self) -> bool {
        self.has_admitted.get()
    }

    /// Admits an attempt at an endpoint. The attempt is in flight until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// The reason why the attempt must not be written. Each denial is counted.
    pub fn admit(
        &self, address: Option<&EndpointAddress>, deadlines: &AttemptDeadlines,
    ) -> Result<AttemptInFlight, SendDenied> {
        if let Err(denied) = self.check(address, deadlines, Instant::now()) {
            self.denial_counter(denied).increment();
            return Err(denied);
        }
        self.has_admitted.set(true);
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
