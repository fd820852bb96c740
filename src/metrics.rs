//! Counters for requests, attempts and connections, and their export as JSON and to the log.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::scheduler::Outcome;

/// Interval between log lines with the counter increases. Operators compare healthy with unhealthy
/// intervals.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A monotonic event counter.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Increments the counter by one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Declares [`Counters`] with the JSON key of each field. Dashboards and scripts depend on the keys, so they
/// must not change.
macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident => $json_key:literal),* $(,)?) => {
        /// Counters of one API since the start of the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $field: Counter,)*
        }

        impl Counters {
            /// Returns all values, keyed by JSON key.
            pub fn all(&self) -> BTreeMap<&'static str, u64> {
                BTreeMap::from([$(($json_key, self.$field.get())),*])
            }
        }
    };
}

counters! {
    /// Accepted requests. Each gets one final answer unless its client disconnects.
    accepted => "taken",
    /// Malformed requests, rejected with a 4xx status before being accepted.
    malformed => "malformed",
    /// Requests shed at the router's limits before being accepted.
    shed => "shed",
    /// Of these, requests that did not fit into the memory for clients.
    shed_memory => "shed_memory",
    /// Of these, requests read while more clients were connected than the limit allows.
    shed_connections => "shed_connections",
    /// Of these, requests read too late in a shutdown.
    shed_shutdown => "shed_shutdown",
    /// Final answers that were complete streams.
    completed => "served",
    /// Final answers whose stream was interrupted after its first event.
    interrupted => "broken",
    /// Final answers that were rejections by the scheduler.
    rejected => "refused",
    /// Final answers that were errors.
    failed => "failed",
    /// Requests that failed because the scheduler made no decision before the deadline.
    decision_timeouts => "overdue",
    /// Requests whose client disconnected before the final answer.
    client_disconnects => "left",
    /// Client connections closed or reset by the client, or closed after their last response.
    closes_ended => "closes_ended",
    /// Client connections closed by the client after sending bytes that are never read.
    closes_unread_bytes => "closes_behind_request",
    /// Client connections closed for being idle.
    closes_idle => "closes_idle",
    /// Client connections closed because a request head took too long to arrive.
    closes_slow_head => "closes_slow_head",
    /// Client connections evicted in favor of other connections.
    closes_evicted => "closes_room",
    /// Attempts sent to endpoints.
    attempts => "attempts",
    /// Attempts that ended with a complete stream.
    attempts_completed => "attempts_served",
    /// Attempts that completed a prefill.
    attempts_prefilled => "attempts_read",
    /// Attempts rejected by a full or draining endpoint.
    attempts_rejected => "attempts_full",
    /// Attempts rejected because the KV cache to fetch did not exist.
    attempts_state_missing => "attempts_no_state",
    /// Attempts that the endpoint answered with an error.
    attempts_error => "attempts_error",
    /// Attempts that timed out.
    attempts_timed_out => "attempts_timed_out",
    /// Attempts that failed to connect.
    attempts_connect_failed => "attempts_unreachable",
    /// Attempts that this router sent too late or not at all.
    attempts_not_sent => "attempts_not_sent",
    /// Attempts that failed because the connection was lost.
    attempts_connection_lost => "attempts_broken",
    /// Attempts with a malformed response.
    attempts_malformed => "attempts_malformed",
    /// Cancelled attempts.
    attempts_cancelled => "attempts_cancelled",
    /// Attempts requested by the scheduler that were abandoned before being sent.
    attempts_abandoned => "attempts_moot",
    /// Attempts not sent because the request had ended.
    denied_request_ended => "denied_unwanted",
    /// Attempts not sent because the endpoint had started draining.
    denied_draining => "denied_draining",
    /// Attempts not sent because the latest start time had passed.
    denied_late => "denied_late",
    /// Attempts not sent because the response deadline had passed.
    denied_expired => "denied_expired",
    /// Violations: attempts that would have run concurrently with another attempt of the same request. They
    /// are not sent.
    violations_concurrent_attempt => "violations_second_attempt",
    /// Violations: reservations held for longer than the limit.
    violations_reservation_overrun => "violations_held_too_long",
    /// Attempts without an answer that ended after the limit of their reservation. The limit was exceeded if
    /// the attempt never arrived.
    reservations_unanswered => "held_unanswered",
    /// Violations: final answers sent after the deadline.
    violations_late_answer => "violations_answered_late",
    /// Violations: requests that ended without a final answer although the client was waiting.
    violations_unanswered => "violations_unanswered",
    /// Reservation releases accepted by an endpoint.
    releases => "releases",
    /// Reservation releases that no endpoint accepted in time.
    releases_failed => "releases_lost",
    /// Connections opened to endpoints.
    connections_opened => "connects",
    /// Reuses of pooled connections to endpoints.
    connections_reused => "reuses",
    /// Health checks sent to endpoints.
    health_checks => "probes",
    /// Attempts to open a watch on discovery, including failed ones.
    watches_opened => "watches",
    /// Endpoint lists received, both snapshots and deltas.
    lists_received => "lists",
    /// Successful configuration reloads.
    reloads => "reloads",
    /// Failed configuration reloads.
    reloads_failed => "reloads_failed",
}

impl Counters {
    /// Counts the outcome of an attempt.
    pub fn record_attempt_outcome(&self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Completed => &self.attempts_completed,
            Outcome::Prefilled => &self.attempts_prefilled,
            Outcome::Rejected => &self.attempts_rejected,
            Outcome::StateMissing => &self.attempts_state_missing,
            Outcome::Error => &self.attempts_error,
            Outcome::TimedOut => &self.attempts_timed_out,
            Outcome::ConnectFailed => &self.attempts_connect_failed,
            Outcome::NotSent => &self.attempts_not_sent,
            Outcome::ConnectionLost => &self.attempts_connection_lost,
            Outcome::Malformed => &self.attempts_malformed,
            Outcome::Cancelled => &self.attempts_cancelled,
            Outcome::Abandoned => &self.attempts_abandoned,
        };
        counter.increment();
    }

    /// Logs the counter increases since the previous log line at regular intervals. Intervals without any are
    /// skipped.
    pub async fn log_periodically(self: Rc<Self>, api: &'static str) {
        let mut previous = self.all();
        loop {
            sleep(LOG_INTERVAL).await;
            let current = self.all();
            let increases = increases(&previous, &current);
            if !increases.is_empty() {
                let counters = serde_json::to_string(&increases).unwrap_or_default();
                tracing::info!(api, interval_s = LOG_INTERVAL.as_secs(), %counters, "counters");
            }
            previous = current;
        }
    }

    /// Returns all values as a single line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.all()).unwrap_or_default()
    }
}

/// Returns the increase of each counter, omitting counters that did not change.
fn increases(
    earlier: &BTreeMap<&'static str, u64>, later: &BTreeMap<&'static str, u64>,
) -> BTreeMap<&'static str, u64> {
    later
        .iter()
        .map(|(key, count)| (*key, count - earlier.get(key).unwrap_or(&0)))
        .filter(|(_, increase)| *increase > 0)
        .collect()
}
