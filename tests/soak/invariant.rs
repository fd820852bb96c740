//! The invariants of a run, and what a violation of one is.

use std::fmt;

/// What holds for each request, whatever faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// Each request gets a response.
    Answered,
    /// No connection is closed without a response to its first request, or to one that its replica accepted.
    NotLost,
    /// A rejection or failure comes in time.
    AnsweredInTime,
    /// No attempt is sent for a client that has disconnected.
    ClientConnected,
    /// An attempt carries no more time than the client has left.
    TimeoutForwarded,
    /// No attempt is sent to an endpoint that drains or is removed.
    EndpointAvailable,
    /// A request has one attempt at a time.
    SingleAttempt,
    /// A request that is not idempotent is not sent again once it may have been executed.
    NotRepeated,
    /// A request that is not idempotent is not rejected as safe to retry once it may have been executed.
    NotRejectedAfterExecution,
    /// A reservation is used by an attempt or released in time.
    ReservationInTime,
}

impl fmt::Display for Invariant {
    /// Writes how the invariant is violated.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Invariant::Answered => "no response",
            Invariant::NotLost => "request lost",
            Invariant::AnsweredInTime => "response too late",
            Invariant::ClientConnected => "attempt after the client disconnected",
            Invariant::TimeoutForwarded => "forwarded timeout too long",
            Invariant::EndpointAvailable => "attempt after the drain grace",
            Invariant::SingleAttempt => "two attempts at once",
            Invariant::NotRepeated => "repeated after possible execution",
            Invariant::NotRejectedAfterExecution => "rejected after possible execution",
            Invariant::ReservationInTime => "reserved too long",
        })
    }
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    /// The request that the violation is about, if it is about one and was not found by a replica itself.
    pub(crate) request_id: Option<String>,
    pub(crate) message: String,
}
