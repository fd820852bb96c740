//! Verifies the invariants of a run on the record of the clients and stubs and on the logs of the replicas.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::invariant::{Invariant, Violation};
use super::run_state::{
    Attempt, AttemptEnd, AttemptOutcome, Idempotency, RequestRecord, Response, ResponseOutcome, Role,
    RunRecord,
};

/// Time after a client's disconnect within which attempts of its request may still arrive.
const MAX_ATTEMPT_DELAY_AFTER_DISCONNECT: Duration = Duration::from_millis(100);
/// By how much the forwarded timeout may exceed the client's remaining time when the attempt arrives.
const MAX_TIMEOUT_EXCESS: Duration = Duration::from_millis(150);
/// Time after a replica has learned that an endpoint is draining within which attempts may still arrive
/// there: the configured `drainGrace` of 500 ms, plus 50 ms of transmission time.
const MAX_ATTEMPT_DELAY_AFTER_DRAIN: Duration = Duration::from_millis(550);
/// Time for which a KV cache may be reserved at a prefill endpoint with no attempt in flight: the configured
/// `pinLimit` of 1 s, plus the 0.3 s that the operators allow for socket delays.
const MAX_RESERVATION: Duration = Duration::from_millis(1_300);
/// Time after the client's timeout within which a rejection or an error response may still arrive.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// Time after a stream became malformed within which the client's connection has to end: 5 s, plus 50 ms of
/// transmission time.
const MAX_MALFORMED_STREAM: Duration = Duration::from_millis(5_050);
/// Assumed duration of a reservation whose release is not on record; exceeds any allowed duration.
const UNRELEASED_RESERVATION_DURATION: Duration = Duration::from_secs(60);

/// Beginning of the message that a replica logs for each accepted request; the request ID follows.
const ACCEPTED_LOG_PREFIX: &str = "request accepted request_id=";
/// Marks a log line of a replica that reports a violation.
const VIOLATION_LOG_MARKER: &str = "violation: ";
/// Marks a log line of a replica that reports a panic.
const PANIC_LOG_MARKER: &str = "panicked";

/// The ID and the record of a request.
#[derive(Clone, Copy)]
struct RequestEntry<'a> {
    id: &'a str,
    record: &'a RequestRecord,
}

struct Verifier<'a> {
    record: &'a RunRecord,
    /// IDs of the requests that the replicas logged as accepted.
    accepted: HashSet<&'a str>,
    /// Tolerated scheduling delay of the test machine, added to each time bound.
    tolerance: Duration,
    violations: Vec<Violation>,
}

/// Returns all violations of a run. `tolerance` is the tolerated scheduling delay of the test machine.
pub(crate) fn find_violations(record: &RunRecord, logs: &str, tolerance: Duration) -> Vec<Violation> {
    let accepted = logs.lines().filter_map(accepted_request_id).collect();
    let mut verifier = Verifier { record, accepted, tolerance, violations: Vec::new() };
    for (id, request_record) in &record.requests {
        let request = RequestEntry { id, record: request_record };
        verifier.check_response(request);
        verifier.check_attempts(request);
        verifier.check_repeated_execution(request);
        verifier.check_reservations(request);
        verifier.check_malformed_stream(request);
    }
    verifier.check_logs(logs);
    verifier.check_recorded_violations();
    verifier.violations
}

/// Returns the request ID if a log line reports an accepted request.
fn accepted_request_id(line: &str) -> Option<&str> {
    let (_, fields) = line.split_once(ACCEPTED_LOG_PREFIX)?;
    let (id, _) = fields.split_once(' ')?;
    Some(id)
}

impl RequestEntry<'_> {
    /// When the request timeout of the client expires.
    fn deadline(&self, sent_at: Instant) -> Instant {
        sent_at + Duration::from_millis(self.record.timeout_ms)
    }

    /// Milliseconds since the client sent the request; 0 if it was not sent completely.
    fn milliseconds_since_sent(&self, at: Instant) -> u128 {
        self.record.sent_at.map_or(0, |sent_at| at.saturating_duration_since(sent_at).as_millis())
    }

    /// Describes the request, its response and its attempts. Times are in milliseconds since the request was
    /// sent.
    fn describe(&self) -> String {
        let response = match self.record.response {
            Some(response) => {
                format!("{:?} at {}", response.outcome, self.milliseconds_since_sent(response.at))
            }
            None => "none".to_owned(),
        };
        let attempts: Vec<_> =
            self.record.attempts.iter().map(|attempt| self.describe_attempt(attempt)).collect();
        format!(
            "{} at replica {}, timeout {} ms, {:?}; response {response}; attempts [{}]",
            self.id,
            self.record.replica_index,
            self.record.timeout_ms,
            self.record.idempotency,
            attempts.join(", ")
        )
    }

    fn describe_attempt(&self, attempt: &Attempt) -> String {
        let end = match attempt.end {
            Some(end) => format!("{:?} at {}", end.outcome, self.milliseconds_since_sent(end.at)),
            None => "still in flight".to_owned(),
        };
        let arrived = self.milliseconds_since_sent(attempt.arrived_at);
        format!("{} at {arrived} with timeout {} ms: {end}", attempt.endpoint, attempt.timeout_ms)
    }
}

impl Verifier<'_> {
    fn report(&mut self, invariant: Invariant, request: RequestEntry<'_>, detail: &str) {
        let message = format!("{invariant}: {detail}: {}", request.describe());
        self.violations.push(Violation { request_id: Some(request.id.to_owned()), message });
    }

    /// Checks that the request got a response, and a rejection or an error response in time.
    fn check_response(&mut self, request: RequestEntry<'_>) {
        let (Some(sent_at), Some(response)) = (request.record.sent_at, request.record.response) else {
            return;
        };
        if request.record.replica_terminated {
            return;
        }
        let latest = request.deadline(sent_at) + MAX_RESPONSE_DELAY + self.tolerance;
        match response.outcome {
            ResponseOutcome::TimedOut => {
                self.report(Invariant::Answered, request, "client stopped waiting");
            }
            ResponseOutcome::ConnectionClosed if self.requires_response(request) => {
                let first = request.record.first_on_connection;
                let detail = format!("connection closed without a response, first request on it: {first}");
                self.report(Invariant::RequestNotLost, request, &detail);
            }
            ResponseOutcome::Rejected | ResponseOutcome::Failed if response.at > latest => {
                self.report(Invariant::AnsweredInTime, request, "after the client's timeout");
            }
            _ => {}
        }
    }

    /// Whether the replica must respond even if it closes the connection. A request that is not the first on
    /// its connection may arrive while the replica closes an idle connection, and is then never read; the
    /// client may send it again on another connection. A request that the replica has accepted always gets a
    /// response.
    fn requires_response(&self, request: RequestEntry<'_>) -> bool {
        request.record.first_on_connection || self.accepted.contains(request.id)
    }

    /// Checks that attempts are sent only while the client is connected, only to available endpoints, with at
    /// most the remaining time, and one at a time.
    fn check_attempts(&mut self, request: RequestEntry<'_>) {
        let Some(sent_at) = request.record.sent_at else { return };
        let deadline = request.deadline(sent_at);
        for (index, attempt) in request.record.attempts.iter().enumerate() {
            let detail = format!("attempt {index}");
            if self.is_after_disconnect(request, attempt) {
                self.report(Invariant::ClientConnected, request, &detail);
            }
            let remaining = deadline.saturating_duration_since(attempt.arrived_at);
            let longest_timeout = remaining + MAX_TIMEOUT_EXCESS + self.tolerance;
            if Duration::from_millis(attempt.timeout_ms) > longest_timeout {
                let timeouts = format!("{} ms, at most {longest_timeout:?} allowed", attempt.timeout_ms);
                self.report(Invariant::TimeoutForwarded, request, &timeouts);
            }
            if self.is_after_drain(request, attempt) {
                self.report(Invariant::EndpointAvailable, request, &detail);
            }
            let earlier = &request.record.attempts[..index];
            if earlier.iter().any(|earlier| self.is_open_at(earlier, attempt.arrived_at)) {
                self.report(Invariant::SingleAttempt, request, &detail);
            }
        }
    }

    fn is_after_disconnect(&self, request: RequestEntry<'_>, attempt: &Attempt) -> bool {
        let Some(disconnected_at) = request.record.client_disconnected_at else { return false };
        let delay = attempt.arrived_at.saturating_duration_since(disconnected_at);
        delay > MAX_ATTEMPT_DELAY_AFTER_DISCONNECT + self.tolerance
    }

    fn is_after_drain(&self, request: RequestEntry<'_>, attempt: &Attempt) -> bool {
        let unavailable = self.record.unavailable_since.get(&request.record.replica_index);
        let Some(since) = unavailable.and_then(|endpoints| endpoints.get(&attempt.endpoint)) else {
            return false;
        };
        let delay = attempt.arrived_at.saturating_duration_since(*since);
        delay > MAX_ATTEMPT_DELAY_AFTER_DRAIN + self.tolerance
    }

    /// Whether an attempt was still in flight when a later one arrived.
    fn is_open_at(&self, attempt: &Attempt, arrived_at: Instant) -> bool {
        attempt.end.is_none_or(|end| end.at > arrived_at + self.tolerance)
    }

    /// Checks that a non-idempotent request that may have been executed is neither sent again nor rejected as
    /// safe to retry.
    fn check_repeated_execution(&mut self, request: RequestEntry<'_>) {
        if request.record.idempotency == Idempotency::Idempotent {
            return;
        }
        let attempts = &request.record.attempts;
        let Some(first) = attempts.iter().position(may_have_been_executed) else { return };
        let detail = format!("by attempt {first}");
        if first + 1 < attempts.len() {
            self.report(Invariant::NotRepeatedAfterExecution, request, &detail);
        }
        let response = request.record.response;
        if response.is_some_and(|response| response.outcome == ResponseOutcome::Rejected) {
            self.report(Invariant::NotRejectedAfterExecution, request, &detail);
        }
    }

    /// Checks that a reserved KV cache is used by an attempt or released in time. Time with an attempt in
    /// flight does not count.
    fn check_reservations(&mut self, request: RequestEntry<'_>) {
        if request.record.replica_terminated {
            return;
        }
        for (index, attempt) in request.record.attempts.iter().enumerate() {
            let Some(AttemptEnd { at: prefilled_at, outcome: AttemptOutcome::Prefilled }) = attempt.end
            else {
                continue;
            };
            let later_attempts = &request.record.attempts[index + 1..];
            if later_attempts.is_empty() {
                self.check_unused_reservation(request, prefilled_at);
            } else {
                self.check_used_reservation(request, prefilled_at, later_attempts);
            }
        }
    }

    fn check_unused_reservation(&mut self, request: RequestEntry<'_>, prefilled_at: Instant) {
        let released_at = first_release(request.record, prefilled_at);
        let end = released_at.unwrap_or(prefilled_at + UNRELEASED_RESERVATION_DURATION);
        self.check_reserved_between(request, prefilled_at, end);
    }

    /// Checks each interval between attempts, up to the attempt that uses the KV cache or prefills the prompt
    /// again.
    fn check_used_reservation(
        &mut self, request: RequestEntry<'_>, prefilled_at: Instant, later_attempts: &[Attempt],
    ) {
        let mut since = prefilled_at;
        for attempt in later_attempts {
            self.check_reserved_between(request, since, attempt.arrived_at);
            let Some(end) = attempt.end else { return };
            if !matches!(end.outcome, AttemptOutcome::NotStarted | AttemptOutcome::Abandoned) {
                return;
            }
            since = end.at;
        }
    }

    /// Checks an interval in which a KV cache is reserved and no attempt is in flight.
    fn check_reserved_between(&mut self, request: RequestEntry<'_>, since: Instant, until: Instant) {
        let longest = MAX_RESERVATION + self.tolerance;
        let first_release = first_release(request.record, since);
        let is_released = first_release.is_some_and(|released_at| released_at <= until);
        let duration = until.saturating_duration_since(since);
        if duration > longest && !is_released {
            let detail = format!("for {} ms", duration.as_millis());
            self.report(Invariant::ReservationInTime, request, &detail);
        }
        let Some(released_at) = first_release else { return };
        if released_at < until && released_at > since + longest {
            let until_release = released_at.saturating_duration_since(since);
            let detail = format!("for {} ms until its release", until_release.as_millis());
            self.report(Invariant::ReservationInTime, request, &detail);
        }
    }

    /// Checks that the client's connection ended soon after its stream became malformed. A client that reads
    /// slowly may notice the end late.
    fn check_malformed_stream(&mut self, request: RequestEntry<'_>) {
        let Some(malformed_at) = request.record.stream_malformed_at else { return };
        let client_left = request.record.client_disconnected_at.is_some();
        if client_left || request.record.reads_slowly || request.record.replica_terminated {
            return;
        }
        let latest = malformed_at + MAX_MALFORMED_STREAM + self.tolerance;
        let ended_at = match request.record.response {
            Some(Response { at, outcome: ResponseOutcome::StreamBroken }) => at,
            Some(_) => {
                self.report(Invariant::MalformedStreamEnded, request, "but served");
                return;
            }
            None => Instant::now(),
        };
        if ended_at > latest {
            let late = ended_at.saturating_duration_since(malformed_at).as_millis();
            self.report(Invariant::MalformedStreamEnded, request, &format!("for {late} ms"));
        }
    }

    /// Checks that no replica logged a violation or a panic.
    fn check_logs(&mut self, logs: &str) {
        for line in logs.lines() {
            if line.contains(VIOLATION_LOG_MARKER) || line.contains(PANIC_LOG_MARKER) {
                self.violations.push(Violation { request_id: None, message: format!("log: {line}") });
            }
        }
    }

    /// Reports the violations that were recorded during the run.
    fn check_recorded_violations(&mut self) {
        for (name, count) in &self.record.violations {
            let message = format!("{name}, {count} times");
            self.violations.push(Violation { request_id: None, message });
        }
    }
}

/// Whether a decode endpoint may have executed the request in this attempt.
fn may_have_been_executed(attempt: &Attempt) -> bool {
    let not_started = matches!(attempt.end, Some(AttemptEnd { outcome: AttemptOutcome::NotStarted, .. }));
    attempt.role == Role::Decode && !not_started
}

/// Returns the time of the first release at or after `since`.
fn first_release(record: &RequestRecord, since: Instant) -> Option<Instant> {
    record.released_at.iter().find(|released_at| **released_at >= since).copied()
}
