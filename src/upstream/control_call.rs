//! Calls to endpoints other than client requests: health checks and releases of reservations.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::timeout;

use crate::scheduler::{EndpointId, LoadReport, Outcome};
use crate::upstream::connect::Connection;
use crate::upstream::exchange::Upstream;
use crate::upstream::load_report;
use crate::upstream::request_body::RequestBody;
use crate::upstream::request_head;
use crate::upstream::response_limit::MAX_CONTROL_BODY_SIZE;

/// Maximum time for an endpoint to respond to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Path of an endpoint's load report.
const HEALTH_CHECK_PATH: &str = "/-/load";

/// The connection to use for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallConnection {
    /// An idle connection, or a new one if there is none.
    Pooled,
    /// A new connection, as an idle one may have fallen silent.
    New,
}

/// A call that was sent, and its response, whose body has not been read.
struct CallExchange {
    connection: Connection,
    response: Response<Incoming>,
}

/// The result of a health check.
pub struct HealthCheckResult {
    /// [`Outcome::Completed`] if the endpoint is healthy.
    pub outcome: Outcome,
    /// The endpoint's load, if the endpoint is healthy and reports it.
    pub load_report: Option<LoadReport>,
}

impl Upstream {
    /// Sends a `DELETE` to one endpoint, which releases everything reserved for the request at any endpoint.
    /// Returns whether this endpoint accepted the call.
    pub async fn release_at(
        &self, endpoint: EndpointId, request_id: &str, connection: CallConnection,
    ) -> bool {
        let path = format!("/kv/leases/{request_id}");
        let Some(exchange) = self.call(endpoint, connection, Method::DELETE, &path).await else {
            return false;
        };
        let (head, body) = exchange.response.into_parts();
        self.discard_body(endpoint, exchange.connection, body).await;
        head.status.is_success()
    }

    /// Checks whether an endpoint responds, and reads its load report.
    pub async fn health_check(&self, endpoint: EndpointId) -> HealthCheckResult {
        self.counters().health_checks.increment();
        let outcome = match timeout(HEALTH_CHECK_TIMEOUT, self.query_load(endpoint)).await {
            Ok(Some(response)) if response.status() == StatusCode::OK => {
                let load_report = load_report::parse(response.body());
                return HealthCheckResult { outcome: Outcome::Completed, load_report };
            }
            Ok(Some(_)) => Outcome::Error,
            Ok(None) => Outcome::ConnectFailed,
            Err(_elapsed) => Outcome::TimedOut,
        };
        HealthCheckResult { outcome, load_report: None }
    }

    /// Requests an endpoint's load report. Returns the complete response, or `None` if it was not received.
    async fn query_load(&self, endpoint: EndpointId) -> Option<Response<Bytes>> {
        let exchange = self.call(endpoint, CallConnection::Pooled, Method::GET, HEALTH_CHECK_PATH).await?;
        let (head, body) = exchange.response.into_parts();
        let text = self.receive_body(endpoint, exchange.connection, body).await.ok()?;
        Some(Response::from_parts(head, text))
    }

    /// Sends a request without a body. Returns the response as soon as its head has been received, or `None`
    /// if it was not.
    async fn call(
        &self, endpoint: EndpointId, connection: CallConnection, method: Method, path: &str,
    ) -> Option<CallExchange> {
        let connection = match connection {
            CallConnection::Pooled => self.pool().connection(endpoint).await,
            CallConnection::New => self.pool().new_connection(endpoint).await,
        };
        let mut connection = connection.ok()?;
        let no_body = connection.start_exchange(RequestBody::default(), MAX_CONTROL_BODY_SIZE as u64);
        let mut request = Request::builder().method(method).uri(path).body(no_body).ok()?;
        request_head::insert_host(request.headers_mut(), self.pool().address(endpoint).as_ref());
        let response = connection.sender().try_send_request(request).await.ok()?;
        Some(CallExchange { connection, response })
    }
}
