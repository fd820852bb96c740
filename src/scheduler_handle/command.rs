//! Commands: the scheduler's actions, addressed to the task of a request or to the fleet.

use crate::scheduler::{AttemptId, EndpointId, Micros};

/// The destination and time limits of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendCommand {
    /// The endpoint to send the request to.
    pub endpoint: EndpointId,
    /// Abort the attempt if there is no response within this time.
    pub timeout: Micros,
    /// Start the attempt within this time or not at all.
    pub start_within: Option<Micros>,
}

/// A command to the task of a request.
#[derive(Debug, PartialEq)]
pub enum RequestCommand {
    /// Send the request to an endpoint.
    Send(SendCommand),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Final answer: the request was rejected. The client should retry after this time, if given.
    Reject(Option<Micros>),
    /// Final answer: the request failed.
    Fail,
    /// Release all reservations of the request.
    ReleaseReservation,
    /// End the running stream so that it can be resumed elsewhere. The scheduler does not currently emit
    /// this.
    Migrate,
    /// The scheduler has processed the client's disconnect and sends no further commands.
    Closed,
}

/// A command that concerns the endpoints rather than a single request.
#[derive(Debug)]
pub enum FleetCommand {
    /// Check an endpoint's health and load.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint. The scheduler does not currently emit this.
    CloseIdleConnections(EndpointId),
}
