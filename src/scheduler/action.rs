//! Actions: what the scheduler wants done.

use super::ids::{AttemptId, EndpointId, Micros, RequestId};

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    Send {
        /// Which request.
        request: RequestId,
        /// To which endpoint.
        endpoint: EndpointId,
        /// Abort the attempt after this long without a first response.
        timeout: Micros,
        /// The attempt must begin within this time, or not at all: duplicates are dropped only for a while,
        /// and what is reserved for the request waits meanwhile.
        start_within: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptId,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// Which request.
        request: RequestId,
        /// When the client should retry.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, the request may have been executed.
    Fail(RequestId),
    /// Release everything that is reserved for the request.
    ReleaseReservation(RequestId),
    /// Reserve a slot for the request at a decode endpoint. No decision of the present scheduler asks for it.
    ReserveAhead {
        /// Which request.
        request: RequestId,
        /// At which decode endpoint.
        endpoint: EndpointId,
    },
    /// End a running stream in order, to be resumed elsewhere. No decision of the present scheduler asks for
    /// it.
    Migrate(RequestId),
    /// Check an endpoint's health and load.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint. No decision of the present scheduler asks for it.
    CloseIdleConnections(EndpointId),
    /// Fetch the complete endpoint list once. No decision of the present scheduler asks for it.
    FetchEndpoints,
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Set a timer.
    SetTimer {
        /// Comes back with [`Event::TimerFired`](super::Event::TimerFired).
        token: u64,
        /// After this long.
        after: Micros,
    },
    /// A line for the operators.
    Log(String),
}
