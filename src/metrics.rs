//! Counters of what is accepted, sent and answered, and how they are shown.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::scheduler::Outcome;

/// Between two log lines with what was counted in the meantime: operators compare good intervals with bad
/// ones.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A count of events since the start of the process.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Declares [`Counters`], with the JSON key of each field. Dashboards and scripts read the keys, which stay
/// as they are.
macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident => $json_key:literal),* $(,)?) => {
        /// What one API has counted since the start of the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $field: Counter,)*
        }

        impl Counters {
            /// All counts by JSON key.
            pub fn all(&self) -> BTreeMap<&'static str, u64> {
                BTreeMap::from([$(($json_key, self.$field.get())),*])
            }
        }
    };
}

counters! {
    /// Requests accepted; each gets one final answer unless its client disconnects.
    accepted => "taken",
    /// Requests rejected as malformed with a 4xx, never accepted.
    malformed => "malformed",
    /// Requests shed because the router was at its limits, never accepted.
    shed => "shed",
    /// Final answers: a complete stream.
    completed => "served",
    /// Final answers: a stream that broke after its first event.
    interrupted => "broken",
    /// Final answers: the scheduler's rejection.
    rejected => "refused",
    /// Final answers: an error.
    failed => "failed",
    /// Requests that failed because the scheduler made no decision before their deadline.
    decision_timeouts => "overdue",
    /// Requests whose client disconnected before the final answer.
    client_disconnects => "left",
    /// Client connections that their clients closed or reset, or that ended after their last response.
    closes_ended => "closes_ended",
    /// Client connections closed by their clients after bytes that nobody reads.
    closes_unread_bytes => "closes_behind_request",
    /// Client connections closed because they were idle.
    closes_idle => "closes_idle",
    /// Client connections closed because a request's head took too long.
    closes_slow_head => "closes_slow_head",
    /// Client connections closed to make room for others.
    closes_evicted => "closes_room",
    /// Attempts sent to endpoints.
    attempts => "attempts",
    /// Attempts that ended with a complete stream.
    attempts_completed => "attempts_served",
    /// Attempts that finished a prefill.
    attempts_prefilled => "attempts_read",
    /// Attempts rejected by an endpoint that was full or draining.
    attempts_rejected => "attempts_full",
    /// Attempts rejected because the state to fetch was not there.
    attempts_state_missing => "attempts_no_state",
    /// Attempts answered with an error.
    attempts_error => "attempts_error",
    /// Attempts that ran out of time.
    attempts_timed_out => "attempts_timed_out",
    /// Attempts for which no connection could be made.
    attempts_connect_failed => "attempts_unreachable",
    /// Attempts that this router did not send in time, or at all.
    attempts_not_sent => "attempts_not_sent",
    /// Attempts whose connection was lost.
    attempts_connection_lost => "attempts_broken",
    /// Attempts whose response was malformed.
    attempts_malformed => "attempts_malformed",
    /// Attempts cancelled.
    attempts_cancelled => "attempts_cancelled",
    /// Attempts that the scheduler ordered and that were abandoned before they were sent.
    attempts_abandoned => "attempts_moot",
    /// Attempts not written because their request had ended.
    denied_request_ended => "denied_unwanted",
    /// Attempts not written because their endpoint had begun to drain.
    denied_draining => "denied_draining",
    /// Attempts not written because they would have begun too late.
    denied_late => "denied_late",
    /// Attempts not written because their response deadline had passed.
    denied_expired => "denied_expired",
    /// Violations: attempts that would have run beside another one of their request; they are not written.
    violations_concurrent_attempt => "violations_second_attempt",
    /// Violations: reservations held for longer than the limit.
    violations_reservation_overrun => "violations_held_too_long",
    /// Violations: final answers after the deadline.
    violations_late_answer => "violations_answered_late",
    /// Violations: requests that ended without a final answer though their client waited.
    violations_unanswered => "violations_unanswered",
    /// Releases of reservations that an endpoint took.
    releases => "releases",
    /// Releases of reservations that no endpoint took in time.
    releases_failed => "releases_lost",
    /// Connections opened to endpoints.
    connections_opened => "connects",
    /// Connections to endpoints used again.
    connections_reused => "reuses",
    /// Health checks sent.
    health_checks => "probes",
    /// Watches on discovery that were opened, or tried to.
    watches_opened => "watches",
    /// Endpoint lists received, snapshots and deltas.
    lists_received => "lists",
    /// Configurations reloaded.
    reloads => "reloads",
    /// Configurations that could not be reloaded.
    reloads_failed => "reloads_failed",
}

impl Counters {
    /// Counts how an attempt ended.
    pub fn attempt_ended(&self, outcome: Outcome) {
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

    /// Logs, for ever, what was counted since the last such line; nothing where nothing was.
    pub async fn log_periodically(self: Rc<Self>, api: &'static str) {
        let mut logged = self.all();
        loop {
            sleep(LOG_INTERVAL).await;
            let current = self.all();
            let growth = growth(&logged, &current);
            if !growth.is_empty() {
                let counters = serde_json::to_string(&growth).unwrap_or_default();
                tracing::info!(api, interval_s = LOG_INTERVAL.as_secs(), %counters, "counters");
            }
            logged = current;
        }
    }

    /// All counts as one line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.all()).unwrap_or_default()
    }
}

/// By how much each count has grown, without those that have not.
fn growth(
    earlier: &BTreeMap<&'static str, u64>, later: &BTreeMap<&'static str, u64>,
) -> BTreeMap<&'static str, u64> {
    later
        .iter()
        .map(|(key, count)| (*key, count - earlier.get(key).unwrap_or(&0)))
        .filter(|(_, increase)| *increase > 0)
        .collect()
}
