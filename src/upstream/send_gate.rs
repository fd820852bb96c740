//! The one place that decides whether a request may be written to an endpoint now.
//!
//! The module decides where a request goes; what it knew may have changed while a connection came up. Right before the
//! first byte of each attempt, first or further, its gate is asked; a request has one gate for all its attempts.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use crate::metrics::{Counter, Counters};
use crate::upstream::connection_pool::EndpointAddress;

/// Why an attempt may not be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenied {
    /// Nobody wants the answer any more.
    RequestEnded,
    /// The endpoint drains or has left the list.
    Draining,
    /// The time within which the attempt had to begin is over: that of a repeat, or of what is held.
    Late,
    /// The time for its answer is over.
    Expired,
    /// Another attempt of the request is out. No order of the module leads here; it would be a violation.
    AttemptInFlight,
}

/// When an attempt may begin and how long its first event is waited for.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// Until when its first event is waited for.
    pub response_deadline: Instant,
    /// When it must have begun, if it may not begin at any time.
    pub start_deadline: Option<Instant>,
    /// Something is held for the request until the attempt has arrived: it goes over a connection that can be trusted.
    pub reserved: bool,
}

/// The gate of one request.
pub struct SendGate {
    counters: Rc<Counters>,
    unwanted: Cell<bool>,
    out: Rc<Cell<bool>>,
}

/// An attempt that has begun to be written, until it is dropped.
pub struct AttemptInFlight(Rc<Cell<bool>>);

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl SendGate {
    /// A gate that lets attempts through.
    pub fn new(counters: Rc<Counters>) -> Self {
        SendGate { counters, unwanted: Cell::new(false), out: Rc::default() }
    }

    /// Nobody wants the answer any more: nothing is written from now on.
    pub fn close(&self) {
        self.unwanted.set(true);
    }

    /// Whether an attempt has begun to be written and has not ended.
    pub fn attempt_in_flight(&self) -> bool {
        self.out.get()
    }

    /// Lets an attempt through to an endpoint, or says why not. The attempt is out until the result is dropped.
    pub fn admit(
        &self, site: Option<&EndpointAddress>, times: &AttemptDeadlines,
    ) -> Result<AttemptInFlight, SendDenied> {
        let denied = self.denied(site, times, Instant::now());
        if let Some(denied) = denied {
            Counter::increment(match denied {
                SendDenied::RequestEnded => &self.counters.denied_request_ended,
                SendDenied::Draining => &self.counters.denied_draining,
                SendDenied::Late => &self.counters.denied_late,
                SendDenied::Expired => &self.counters.denied_expired,
                SendDenied::AttemptInFlight => &self.counters.violations_concurrent_attempt,
            });
            return Err(denied);
        }
        self.out.set(true);
        Ok(AttemptInFlight(self.out.clone()))
    }

    fn denied(
        &self, site: Option<&EndpointAddress>, times: &AttemptDeadlines, now: Instant,
    ) -> Option<SendDenied> {
        if self.unwanted.get() {
            return Some(SendDenied::RequestEnded);
        }
        if self.out.get() {
            return Some(SendDenied::AttemptInFlight);
        }
        if !site.is_some_and(|site| site.ready) {
            return Some(SendDenied::Draining);
        }
        if times.start_deadline.is_some_and(|by| now >= by) {
            return Some(SendDenied::Late);
        }
        (now >= times.response_deadline).then_some(SendDenied::Expired)
    }
}
