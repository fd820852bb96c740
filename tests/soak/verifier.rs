//! Verifies the invariants of a run, from what its clients, endpoints and discovery stubs recorded and from
//! the replicas' logs.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::invariant::{Invariant, Violation};
use super::run_state::{
    Attempt, AttemptEnd, AttemptOutcome, Idempotency, RequestRecord, ResponseOutcome, Role, RunRecord,
};

/// Time after a client's disconnect within which an attempt for it may still arrive.
const MAX_ATTEMPT_AFTER_DISCONNECT: Duration = Duration::from_millis(100);
/// How far the timeout that a replica forwards may exceed the client's remaining time when the attempt
/// arrives.
const MAX_TIMEOUT_EXCESS: Duration = Duration::from_millis(150);
/// Time after a replica learns that an endpoint drains within which attempts for it may still arrive: the
/// replicas' setting `drainGrace` of 500 ms, and 50 ms for the way.
const MAX_ATTEMPT_AFTER_DRAIN: Duration = Duration::from_millis(550);
/// Time for which a state may be reserved at a prefill endpoint: the replicas' setting `pinLimit` of 1 s, and
/// the 0.3 s that the operators allow for sockets.
const MAX_RESERVATION: Duration = Duration::from_millis(1_300);
/// How far beyond the client's timeout a response may come.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(500);
/// Assumed length of a reservation that has no end in the record; longer than any that is allowed.
const UNENDED_RESERVATION: Duration = Duration::from_secs(60);

/// What a replica logs for each request that it accepts, up to the request's id.
const ACCEPTED_LOG: &str = "request accepted request_id=";
/// What marks a line of a replica's log that reports a violation.
const VIOLATION_LOG: &str = "violation: ";
/// What marks a line of a replica's log that reports a panic.
const PANIC_LOG: &str = "panicked";

/// A request under verification.
#[derive(Clone, Copy)]
struct VerifiedRequest<'a> {
    id: &'a str,
    record: &'a RequestRecord,
}

struct Verifier<'a> {
    record: &'a RunRecord,
    /// Requests that a replica logged as accepted.
    accepted: HashSet<&'a str>,
    /// Allowance for the delays of the machine, added to each bound.
    tolerance: Duration,
    violations: Vec<Violation>,
}

/// Finds all violations of a run. The tolerance is an allowance for the delays of the machine.
pub(crate) fn find_violations(record: &RunRecord, logs: &str, tolerance: Duration) -> Vec<Violation> {
    let accepted = logs.lines().filter_map(accepted_request_id).collect();
    let mut verifier = Verifier { record, accepted, tolerance, violations: Vec::new() };
    for (id, request_record) in &record.requests {
        let request = VerifiedRequest { id, record: request_record };
        verifier.check_response(request);
        verifier.check_attempts(request);
        verifier.check_repeats(request);
        verifier.check_reservations(request);
    }
    verifier.check_logs(logs);
    verifier.check_recorded_violations();
    verifier.violations
}

/// The id of the request that a line of a log reports as accepted.
fn accepted_request_id(line: &str) -> Option<&str> {
    let (_, fields) = line.split_once(ACCEPTED_LOG)?;
    let (id, _) = fields.split_once(' ')?;
    Some(id)
}

impl VerifiedRequest<'_> {
    /// When the client's timeout ends.
    fn deadline(&self, sent_at: Instant) -> Instant {
        sent_at + Duration::from_millis(self.record.timeout_ms)
    }

    /// Milliseconds from the moment at which the client had sent the request.
    fn milliseconds_since_sent(&self, at: Instant) -> u128 {
        self.record.sent_at.map_or(0, |sent_at| at.saturating_duration_since(sent_at).as_millis())
    }

    /// The request, its response and its attempts; times are milliseconds since the request was sent.
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
            self.record.replica,
            self.record.timeout_ms,
            self.record.idempotency,
            attempts.join(", ")
        )
    }

    fn describe_attempt(&self, attempt: &Attempt) -> String {
        let end = match attempt.end {
            Some(end) => format!("{:?} at {}", end.outcome, self.milliseconds_since_sent(end.at)),
            None => "still open".to_owned(),
        };
        let arrived = self.milliseconds_since_sent(attempt.arrived_at);
        format!("{} at {arrived} with timeout {} ms: {end}", attempt.endpoint, attempt.timeout_ms)
    }
}

impl Verifier<'_> {
    fn report(&mut self, invariant: Invariant, request: VerifiedRequest<'_>, detail: &str) {
        let message = format!("{invariant}: {detail}: {}", request.describe());
        self.violations.push(Violation { request_id: Some(request.id.to_owned()), message });
    }

    /// One final response, in time, for each request that was sent.
    fn check_response(&mut self, request: VerifiedRequest<'_>) {
        let (Some(sent_at), Some(response)) = (request.record.sent_at, request.record.response) else {
            return;
        };
        if request.record.replica_terminated {
            return;
        }
        let latest = request.deadline(sent_at) + MAX_RESPONSE_DELAY + self.tolerance;
        match response.outcome {
            ResponseOutcome::TimedOut => {
                self.report(Invariant::Answered, request, "the client's wait has ended");
            }
            ResponseOutcome::ConnectionClosed if self.is_owed_response(request) => {
                let first = request.record.first_on_connection;
                let detail = format!("connection closed, first request on it: {first}");
                self.report(Invariant::NotLost, request, &detail);
            }
            ResponseOutcome::Rejected | ResponseOutcome::Failed if response.at > latest => {
                self.report(Invariant::AnsweredInTime, request, "beyond the client's timeout");
            }
            _ => {}
        }
    }

    /// A later request on a connection may cross the replica's close of the connection and never be read. Its
    /// client then sends it again on another connection, unless the replica has accepted the request.
    fn is_owed_response(&self, request: VerifiedRequest<'_>) -> bool {
        request.record.first_on_connection || self.accepted.contains(request.id)
    }

    /// Attempts are sent while the client is connected, to available endpoints, with the time left, one at a
    /// time.
    fn check_attempts(&mut self, request: VerifiedRequest<'_>) {
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
                let timeouts = format!("{} ms of at most {longest_timeout:?}", attempt.timeout_ms);
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

    fn is_after_disconnect(&self, request: VerifiedRequest<'_>, attempt: &Attempt) -> bool {
        let Some(disconnected_at) = request.record.client_disconnected_at else { return false };
        let delay = attempt.arrived_at.saturating_duration_since(disconnected_at);
        delay > MAX_ATTEMPT_AFTER_DISCONNECT + self.tolerance
    }

    fn is_after_drain(&self, request: VerifiedRequest<'_>, attempt: &Attempt) -> bool {
        let unavailable = self.record.unavailable_since.get(&request.record.replica);
        let Some(since) = unavailable.and_then(|endpoints| endpoints.get(&attempt.endpoint)) else {
            return false;
        };
        let delay = attempt.arrived_at.saturating_duration_since(*since);
        delay > MAX_ATTEMPT_AFTER_DRAIN + self.tolerance
    }

    /// Whether an attempt was still open when a later one arrived.
    fn is_open_at(&self, attempt: &Attempt, arrived_at: Instant) -> bool {
        attempt.end.is_none_or(|end| end.at > arrived_at + self.tolerance)
    }

    /// What may have been executed is neither sent again nor rejected as safe to retry, unless it is
    /// idempotent.
    fn check_repeats(&mut self, request: VerifiedRequest<'_>) {
        if request.record.idempotency == Idempotency::Idempotent {
            return;
        }
        let attempts = &request.record.attempts;
        let Some(first) = attempts.iter().position(may_have_been_executed) else { return };
        let detail = format!("by attempt {first}");
        if first + 1 < attempts.len() {
            self.report(Invariant::NotRepeated, request, &detail);
        }
        let response = request.record.response;
        if response.is_some_and(|response| response.outcome == ResponseOutcome::Rejected) {
            self.report(Invariant::NotRejectedAfterExecution, request, &detail);
        }
    }

    /// Each prefilled state is used by an attempt or released in time; while an attempt is open, no time
    /// counts.
    fn check_reservations(&mut self, request: VerifiedRequest<'_>) {
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

    fn check_unused_reservation(&mut self, request: VerifiedRequest<'_>, prefilled_at: Instant) {
        let released_at = first_release(request.record, prefilled_at);
        let end = released_at.unwrap_or(prefilled_at + UNENDED_RESERVATION);
        self.check_reserved_between(request, prefilled_at, end);
    }

    /// Checks the times between attempts, up to the attempt that uses the state or prefills it again.
    fn check_used_reservation(
        &mut self, request: VerifiedRequest<'_>, prefilled_at: Instant, later_attempts: &[Attempt],
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

    /// Checks a time within which a state is reserved and no attempt is open.
    fn check_reserved_between(&mut self, request: VerifiedRequest<'_>, since: Instant, until: Instant) {
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
            let detail = format!("for {} ms until it was released", until_release.as_millis());
            self.report(Invariant::ReservationInTime, request, &detail);
        }
    }

    /// No replica found a violation itself, and none panicked.
    fn check_logs(&mut self, logs: &str) {
        for line in logs.lines() {
            if line.contains(VIOLATION_LOG) || line.contains(PANIC_LOG) {
                self.violations.push(Violation { request_id: None, message: format!("log: {line}") });
            }
        }
    }

    /// No party of the run recorded a violation.
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

/// The first release that was recorded at or after a moment.
fn first_release(record: &RequestRecord, since: Instant) -> Option<Instant> {
    record.released_at.iter().find(|released_at| **released_at >= since).copied()
}
