//! The invariants that a run verifies, and violations of them.

use std::fmt;

/// A property of each request that holds under any injected faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// A client that waits for a response gets one.
    Answered,
    /// A connection is not closed without a response to its first request or to a request that the replica
    /// has accepted.
    RequestNotLost,
    /// A rejection or an error response arrives in time.
    AnsweredInTime,
    /// No attempt is sent after the client has disconnected.
    ClientConnected,
    /// The timeout forwarded with an attempt does not exceed the time that the client has left.
    TimeoutForwarded,
    /// No attempt is sent to an endpoint that is draining or removed, once the drain grace is over.
    EndpointAvailable,
    /// A request has at most one attempt in flight.
    SingleAttempt,
    /// A non-idempotent request is not sent again once it may have been executed.
    NotRepeatedAfterExecution,
    /// A non-idempotent request is not rejected as safe to retry once it may have been executed.
    NotRejectedAfterExecution,
    /// A client's connection ends soon after its stream became malformed.
    MalformedStreamEnded,
    /// A reservation is used by an attempt or released within the limit.
    ReservationInTime,
}

impl fmt::Display for Invariant {
    /// Describes the violation, not the invariant.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Invariant::Answered => "no response",
            Invariant::RequestNotLost => "request lost",
            Invariant::AnsweredInTime => "response too late",
            Invariant::ClientConnected => "attempt after the client disconnected",
            Invariant::TimeoutForwarded => "forwarded timeout exceeds the remaining time",
            Invariant::EndpointAvailable => "attempt to a draining endpoint after the drain grace",
            Invariant::SingleAttempt => "concurrent attempts",
            Invariant::NotRepeatedAfterExecution => "sent again after possible execution",
            Invariant::NotRejectedAfterExecution => "rejected after possible execution",
            Invariant::MalformedStreamEnded => "malformed stream not ended",
            Invariant::ReservationInTime => "reservation held too long",
        })
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    /// The affected request; `None` if the violation concerns no single request or comes from a replica's
    /// log.
    pub(crate) request_id: Option<String>,
    pub(crate) message: String,
}
