//! Actions: the output of the scheduler.

use super::ids::{AttemptId, EndpointId, Micros, RequestId};

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    Send {
        /// The request to send.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// Abort the attempt if there is no response within this time.
        timeout: Micros,
        /// Start the attempt within this time or not at all: endpoints drop duplicates only for a limited
        /// time, and the request's reservation must not be held too long.
        start_within: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Final answer: the request was rejected and a retry is harmless.
    Reject {
        /// The request to answer.
        request: RequestId,
        /// How long the client should wait before a retry.
        retry_after: Option<Micros>,
    },
    /// Final answer: the request failed and may have been executed.
    Fail(RequestId),
    /// Release all reservations of the request.
    ReleaseReservation(RequestId),
    /// Reserve a slot for the request at a decode endpoint. The scheduler does not currently emit this.
    ReserveAhead {
        /// The request to reserve the slot for.
        request: RequestId,
        /// The decode endpoint.
        endpoint: EndpointId,
    },
    /// End a running stream cleanly so that it can be resumed elsewhere. The scheduler does not currently
    /// emit this.
    Migrate(RequestId),
    /// Check an endpoint's health and load.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint. The scheduler does not currently emit this.
    CloseIdleConnections(EndpointId),
    /// Fetch the complete endpoint list once. The scheduler does not currently emit this.
    FetchEndpoints,
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Set a timer.
    SetTimer {
        /// Returned in [`Event::TimerFired`](super::Event::TimerFired).
        token: u64,
        /// Time until the timer fires.
        after: Micros,
    },
    /// Write a message to the log.
    Log(String),
}
