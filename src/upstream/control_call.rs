//! Calls to endpoints that carry no request of a client: health checks and releases.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::timeout;

use crate::scheduler::{EndpointId, LoadReport, Outcome};
use crate::upstream::exchange::Upstream;
use crate::upstream::load_report;
use crate::upstream::request_head;
use crate::upstream::response::read_body;

/// Longest time for an endpoint to respond to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The path at which endpoints report their load.
const HEALTH_CHECK_PATH: &str = "/-/load";

/// How a health check ended.
pub struct HealthCheckResult {
    /// [`Outcome::Completed`] when the endpoint is well.
    pub outcome: Outcome,
    /// The endpoint's load, if it is well and reports it.
    pub load_report: Option<LoadReport>,
}

impl Upstream {
    /// Releases all that is reserved for the request, by way of one endpoint; whether that endpoint accepted
    /// the call.
    pub async fn release_at(&self, endpoint: EndpointId, request_id: &str) -> bool {
        let response = self.call(endpoint, Method::DELETE, &format!("/kv/leases/{request_id}")).await;
        response.is_some_and(|response| response.status().is_success())
    }

    /// Checks whether an endpoint responds, and reads its load.
    pub async fn health_check(&self, endpoint: EndpointId) -> HealthCheckResult {
        self.counters().health_checks.increment();
        let call = self.call(endpoint, Method::GET, HEALTH_CHECK_PATH);
        let outcome = match timeout(HEALTH_CHECK_TIMEOUT, call).await {
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

    /// Makes a call without a body; gives the response with its body, or none if it did not come.
    async fn call(&self, endpoint: EndpointId, method: Method, path: &str) -> Option<Response<Bytes>> {
        let mut connection = self.pool().connection(endpoint).await.ok()?;
        let no_body = connection.body(Bytes::new());
        let mut request = Request::builder().method(method).uri(path).body(no_body).ok()?;
        request_head::insert_host(request.headers_mut(), self.pool().address(endpoint).as_ref());
        let response = connection.sender().try_send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let text = read_body(body).await?;
        self.pool().put_back(endpoint, connection);
        Some(Response::from_parts(head, text))
    }
}
