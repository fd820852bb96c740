//! Commands: the scheduler's actions as a request's task or the fleet carries them out.

use crate::scheduler::{AttemptId, EndpointId, Micros};

/// Where an attempt goes, and in what time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendCommand {
    /// To which endpoint.
    pub endpoint: EndpointId,
    /// Abort the attempt after this long without a first response.
    pub timeout: Micros,
    /// The attempt must begin within this time, or not at all.
    pub start_within: Option<Micros>,
}

/// What the scheduler wants of one request's task.
#[derive(Debug, PartialEq)]
pub enum RequestCommand {
    /// Send the request to an endpoint.
    Send(SendCommand),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Final answer: rejected; the client should retry after this long, if at all.
    Reject(Option<Micros>),
    /// Final answer: failed.
    Fail,
    /// Release everything that is reserved for the request.
    ReleaseReservation,
    /// End the running stream, to be resumed elsewhere. No decision of the present scheduler asks for it.
    Migrate,
    /// The scheduler has been notified that the client disconnected, and sends no further command.
    Forgotten,
}

/// What the scheduler wants of the fleet of endpoints.
#[derive(Debug)]
pub enum FleetCommand {
    /// Check an endpoint's health and load.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint. No decision of the present scheduler asks for it.
    CloseIdleConnections(EndpointId),
}
