//! Runs one attempt: sends a request to one endpoint and reads the response up to its first event.

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::http::response;
use hyper::{Request, Response};
use tokio::time::{Instant, timeout_at};

use crate::scheduler::{EndpointId, LoadReport, Outcome};
use crate::upstream::connect::{ConnectError, Connection};
use crate::upstream::event_framer::EventFormat;
use crate::upstream::event_stream::{EventStream, StreamSource};
use crate::upstream::exchange::{AttemptResponse, FirstResponse, RequestPayload, Upstream, UpstreamProtocol};
use crate::upstream::load_report;
use crate::upstream::request_head;
use crate::upstream::response::{ResponseClass, classify, parse_cached_tokens};
use crate::upstream::response_head::ResponseHead;
use crate::upstream::send_gate::{AttemptDeadlines, AttemptInFlight, SendDenied, SendGate};
use crate::upstream::write_progress::{TrackedBody, WriteProgress};

impl Upstream {
    /// Sends the request to an endpoint and waits, within the deadlines, for the attempt's result. Dropping
    /// the future abandons the attempt and closes its connection.
    pub async fn run_attempt(
        &self, endpoint: EndpointId, payload: &RequestPayload, deadlines: AttemptDeadlines, gate: &SendGate,
    ) -> FirstResponse {
        self.counters().attempts.increment();
        let started = Instant::now();
        let mut attempt =
            AttemptRun { upstream: self, endpoint, payload, deadlines, gate, write_progress: None };
        let finished = timeout_at(deadlines.response_deadline, attempt.run()).await;
        let Ok(result) = finished else {
            self.pool().invalidate_if_silent_since(endpoint, started);
            return FirstResponse::finished(attempt.timeout_outcome());
        };
        if let AttemptResponse::Finished(Outcome::ConnectFailed | Outcome::ConnectionLost) = result.response {
            self.pool().invalidate(endpoint);
        }
        result
    }
}

/// An attempt at an endpoint.
struct AttemptRun<'a> {
    upstream: &'a Upstream,
    endpoint: EndpointId,
    payload: &'a RequestPayload,
    deadlines: AttemptDeadlines,
    gate: &'a SendGate,
    /// How much of the request has been written to the current connection; `None` if there is no connection.
    write_progress: Option<WriteProgress>,
}

/// A request that was written, and the head of its response.
struct Exchange {
    connection: Connection,
    response: Response<Incoming>,
    in_flight: AttemptInFlight,
}

/// Why an admitted request received no response.
enum SendFailure {
    /// The reused connection had been closed, and no part of the request was written to it.
    ClosedBeforeUse,
    /// The attempt has ended.
    Finished(Outcome),
}

impl AttemptRun<'_> {
    async fn run(&mut self) -> FirstResponse {
        match self.send().await {
            Ok(exchange) => self.receive(exchange).await,
            Err(outcome) => FirstResponse::finished(outcome),
        }
    }

    /// Returns the outcome of an attempt that timed out. The request can only have been executed if it was
    /// written.
    fn timeout_outcome(&self) -> Outcome {
        if self.write_progress.as_ref().is_some_and(WriteProgress::is_flushed) {
            Outcome::TimedOut
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Sends the request and waits for the response head. A request is never sent twice: another connection
    /// is tried only if nothing was written to the previous one.
    async fn send(&mut self) -> Result<Exchange, Outcome> {
        loop {
            self.write_progress = None;
            let connection = self.connect().await?;
            let in_flight = match self.admit() {
                Ok(in_flight) => in_flight,
                Err(outcome) => {
                    self.upstream.pool().put_back_unused(self.endpoint, connection);
                    return Err(outcome);
                }
            };
            match self.send_on(connection, in_flight).await {
                Ok(exchange) => return Ok(exchange),
                Err(SendFailure::ClosedBeforeUse) => {}
                Err(SendFailure::Finished(outcome)) => return Err(outcome),
            }
        }
    }

    /// Returns a connection for the attempt, waiting no longer than the attempt's start deadline.
    async fn connect(&self) -> Result<Connection, Outcome> {
        let connection = match self.deadlines.start_deadline {
            Some(start_deadline) => {
                let connection = timeout_at(start_deadline, self.pooled_connection()).await;
                connection.unwrap_or(Err(ConnectError::Local))
            }
            None => self.pooled_connection().await,
        };
        connection.map_err(|error| match error {
            ConnectError::Endpoint => Outcome::ConnectFailed,
            ConnectError::Local => Outcome::NotSent,
        })
    }

    async fn pooled_connection(&self) -> Result<Connection, ConnectError> {
        let pool = self.upstream.pool();
        if self.deadlines.has_reservation {
            pool.new_connection(self.endpoint).await
        } else {
            pool.connection(self.endpoint).await
        }
    }

    /// Asks the send gate for permission immediately before the first byte is written.
    fn admit(&self) -> Result<AttemptInFlight, Outcome> {
        let address = self.upstream.pool().address(self.endpoint);
        self.gate.admit(address.as_ref(), &self.deadlines).map_err(|denied| {
            tracing::debug!(
                request_id = %self.payload.id,
                endpoint = self.endpoint.0,
                reason = ?denied,
                "attempt not sent"
            );
            match denied {
                SendDenied::RequestEnded => Outcome::Abandoned,
                SendDenied::Draining
                | SendDenied::Late
                | SendDenied::Expired
                | SendDenied::AttemptInFlight => Outcome::NotSent,
            }
        })
    }

    async fn send_on(
        &mut self, mut connection: Connection, in_flight: AttemptInFlight,
    ) -> Result<Exchange, SendFailure> {
        let body = connection.start_exchange(self.payload.body.clone(), self.payload.max_response_size);
        let progress = body.progress();
        self.write_progress = Some(progress.clone());
        let request = self.request(body);
        match connection.sender().try_send_request(request).await {
            Ok(response) => Ok(Exchange { connection, response, in_flight }),
            Err(error) => Err(classify_send_error(error, progress.is_flushed(), connection.is_reused())),
        }
    }

    fn request(&self, body: TrackedBody) -> Request<TrackedBody> {
        let mut request = Request::new(body);
        let address = self.upstream.pool().address(self.endpoint);
        request_head::fill(&mut request, self.upstream.protocol(), address.as_ref(), self.payload);
        request_head::insert_timeout(request.headers_mut(), self.deadlines.response_deadline);
        request
    }

    /// Reads as much of the response as its class requires. The attempt counts as in flight until then.
    async fn receive(&self, exchange: Exchange) -> FirstResponse {
        let Exchange { connection, response, in_flight: _in_flight } = exchange;
        let (head, body) = response.into_parts();
        let load_report = load_report::from_headers(&head.headers);
        match classify(self.upstream.protocol(), head.status, &head.headers) {
            ResponseClass::Forwarded => {
                let streaming = self.start_stream(connection, &head, body).await;
                FirstResponse { response: streaming, load_report }
            }
            ResponseClass::Accepted => self.read_accepted(connection, body, load_report).await,
            ResponseClass::Failed(outcome) => {
                self.upstream.discard_body(self.endpoint, connection, body).await;
                FirstResponse { response: AttemptResponse::Finished(outcome), load_report }
            }
        }
    }

    async fn start_stream(
        &self, connection: Connection, head: &response::Parts, body: Incoming,
    ) -> AttemptResponse {
        let response_head = ResponseHead::new(head.status, &head.headers);
        let format = match self.upstream.protocol() {
            // The platform's endpoints always stream events, so any other content is not a response to this
            // request.
            UpstreamProtocol::Platform if !response_head.is_event_stream() => {
                return AttemptResponse::Finished(Outcome::Malformed);
            }
            UpstreamProtocol::Platform => EventFormat::Opaque,
            UpstreamProtocol::Chat(_) => EventFormat::ChatCompletions,
        };
        let source = StreamSource {
            request_id: self.payload.id.clone(),
            pool: self.upstream.pool().clone(),
            endpoint: self.endpoint,
            connection,
            body,
        };
        let mut events = EventStream::new(source, response_head, format);
        match events.wait_for_first_event().await {
            Ok(()) => AttemptResponse::Streaming(Box::new(events)),
            Err(outcome) => AttemptResponse::Finished(outcome),
        }
    }

    /// Reads the body of a 202 response, with which a prefill endpoint confirms that the prompt is prefilled.
    /// If the body is incomplete, the load report in the head is ignored as well.
    async fn read_accepted(
        &self, connection: Connection, body: Incoming, load_report: Option<LoadReport>,
    ) -> FirstResponse {
        let text = match self.upstream.receive_body(self.endpoint, connection, body).await {
            Ok(text) => text,
            Err(error) => return FirstResponse::finished(error.into()),
        };
        let response = match self.upstream.protocol() {
            UpstreamProtocol::Platform => AttemptResponse::Prefilled(parse_cached_tokens(&text)),
            UpstreamProtocol::Chat(_) => AttemptResponse::Finished(Outcome::Error),
        };
        FirstResponse { response, load_report }
    }
}

/// Classifies an error of sending a request. hyper returns the request if it has written no part of it. Only
/// then, and only on a reused connection, which the endpoint may have closed while it was idle, may the
/// request be sent over another connection.
fn classify_send_error(
    mut error: TrySendError<Request<TrackedBody>>, is_flushed: bool, is_reused: bool,
) -> SendFailure {
    let nothing_written = error.take_message().is_some() && !is_flushed;
    if nothing_written && is_reused {
        return SendFailure::ClosedBeforeUse;
    }
    let outcome = if !is_flushed {
        Outcome::ConnectFailed
    } else if error.error().is_parse() {
        Outcome::Malformed
    } else {
        Outcome::ConnectionLost
    };
    SendFailure::Finished(outcome)
}
