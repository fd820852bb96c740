//! The one place that decides whether a request may be written to an instance now.
//!
//! The module decides where a request goes; what it knew may have changed while a connection came up. Right before the
//! first byte of each attempt, first or further, its gate is asked; a request has one gate for all its attempts.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use super::counters::{Counters, add};
use super::pool::Site;

/// Why an attempt may not be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Nobody wants the answer any more.
    Unwanted,
    /// The instance drains or has left the list.
    Draining,
    /// The time within which the attempt had to begin is over: that of a repeat, or of what is held.
    Late,
    /// The time for its answer is over.
    Expired,
    /// Another attempt of the request is out. No order of the module leads here; it would be a violation.
    AttemptOut,
}

/// When an attempt may begin and how long its first event is waited for.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Until when its first event is waited for.
    pub until: Instant,
    /// When it must have begun, if it may not begin at any time.
    pub start_by: Option<Instant>,
    /// Something is held for the request until the attempt has arrived: it goes over a connection that can be trusted.
    pub held: bool,
}

/// The gate of one request.
pub struct SendGate {
    counters: Rc<Counters>,
    unwanted: Cell<bool>,
    out: Rc<Cell<bool>>,
}

/// An attempt that has begun to be written, until it is dropped.
pub struct AttemptOut(Rc<Cell<bool>>);

impl Drop for AttemptOut {
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
    pub fn attempt_out(&self) -> bool {
        self.out.get()
    }

    /// Lets an attempt through to an instance, or says why not. The attempt is out until the result is dropped.
    pub fn pass(&self, site: Option<&Site>, times: &Times) -> Result<AttemptOut, Denied> {
        let denied = self.denied(site, times, Instant::now());
        if let Some(denied) = denied {
            add(match denied {
                Denied::Unwanted => &self.counters.denied_unwanted,
                Denied::Draining => &self.counters.denied_draining,
                Denied::Late => &self.counters.denied_late,
                Denied::Expired => &self.counters.denied_expired,
                Denied::AttemptOut => &self.counters.violations_second_attempt,
            });
            return Err(denied);
        }
        self.out.set(true);
        Ok(AttemptOut(self.out.clone()))
    }

    fn denied(&self, site: Option<&Site>, times: &Times, now: Instant) -> Option<Denied> {
        if self.unwanted.get() {
            return Some(Denied::Unwanted);
        }
        if self.out.get() {
            return Some(Denied::AttemptOut);
        }
        if !site.is_some_and(|site| site.ready) {
            return Some(Denied::Draining);
        }
        if times.start_by.is_some_and(|by| now >= by) {
            return Some(Denied::Late);
        }
        (now >= times.until).then_some(Denied::Expired)
    }
}
