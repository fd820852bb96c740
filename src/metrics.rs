//! Counts of what is taken in, sent and answered.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::scheduler::Outcome;

/// Between lines of the log that tell what has been counted: operators compare a good stretch with a bad one.
const REPORT: Duration = Duration::from_secs(5);

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the start of the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl Counters {
            /// All counts by name.
            pub fn all(&self) -> BTreeMap<&'static str, u64> {
                BTreeMap::from([$((stringify!($name), self.$name.get())),*])
            }
        }
    };
}

counters! {
    /// Requests taken in.
    taken,
    /// Requests turned down for their form with a 4xx, never taken in.
    malformed,
    /// Requests refused at intake because the router was full, never taken in.
    shed,
    /// Final answers: a whole stream.
    served,
    /// Final answers: a stream that broke after its first event.
    broken,
    /// Final answers: the module's refusal.
    refused,
    /// Final answers: failed.
    failed,
    /// Failed because no decision came by the deadline.
    overdue,
    /// Clients that went away first.
    left,
    /// Clients' connections that their clients closed or broke off, or that had their last answer.
    closes_ended,
    /// Clients' connections closed by their clients behind bytes that nobody reads.
    closes_behind_request,
    /// Clients' connections closed as they stood idle.
    closes_idle,
    /// Clients' connections closed as a head took too long.
    closes_slow_head,
    /// Clients' connections closed to make room.
    closes_room,
    /// Attempts sent to endpoints.
    attempts,
    /// Attempts that ended with a whole stream.
    attempts_served,
    /// Attempts that read a prompt.
    attempts_read,
    /// Attempts turned away by a full or draining endpoint.
    attempts_full,
    /// Attempts turned away because no state was there to fetch.
    attempts_no_state,
    /// Attempts answered with an error.
    attempts_error,
    /// Attempts given up for time.
    attempts_timed_out,
    /// Attempts whose connection could not be used.
    attempts_unreachable,
    /// Attempts that this router did not send in time, or at all.
    attempts_not_sent,
    /// Attempts whose connection broke.
    attempts_broken,
    /// Attempts whose answer could not be read.
    attempts_malformed,
    /// Attempts withdrawn.
    attempts_cancelled,
    /// Attempts ordered but never sent.
    attempts_moot,
    /// Attempts not written as nobody wanted the answer any more.
    denied_unwanted,
    /// Attempts not written as their endpoint had begun to drain.
    denied_draining,
    /// Attempts not written as they would have begun too late.
    denied_late,
    /// Attempts not written as the time for their answer was over.
    denied_expired,
    /// Violations: attempts that would have been a second one at once; they are not written.
    violations_second_attempt,
    /// Violations: what was held for longer than it may be.
    violations_held_too_long,
    /// Violations: final answers that came too late.
    violations_answered_late,
    /// Violations: requests that ended without an answer though their client waited.
    violations_unanswered,
    /// Releases that reached an endpoint.
    releases,
    /// Releases that no endpoint took in time.
    releases_lost,
    /// Connections opened to endpoints.
    connects,
    /// Connections to endpoints used again.
    reuses,
    /// Probes sent.
    probes,
    /// AttemptDeadlines that the watch on discovery was opened.
    watches,
    /// Lists and changes heard from discovery.
    lists,
    /// Replaced configurations taken in.
    reloads,
    /// Replaced configurations that could not be used.
    reloads_failed,
}

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

impl Counters {
    /// Counts how an attempt ended.
    pub fn attempt_ended(&self, outcome: Outcome) {
        Counter::increment(match outcome {
            Outcome::Completed => &self.attempts_served,
            Outcome::Prefilled => &self.attempts_read,
            Outcome::Rejected => &self.attempts_full,
            Outcome::StateMissing => &self.attempts_no_state,
            Outcome::Error => &self.attempts_error,
            Outcome::TimedOut => &self.attempts_timed_out,
            Outcome::ConnectFailed => &self.attempts_unreachable,
            Outcome::NotSent => &self.attempts_not_sent,
            Outcome::ConnectionLost => &self.attempts_broken,
            Outcome::Malformed => &self.attempts_malformed,
            Outcome::Cancelled => &self.attempts_cancelled,
            Outcome::Abandoned => &self.attempts_moot,
        });
    }

    /// Logs, for ever, what was counted since the last such line; nothing while nothing was.
    pub async fn log_periodically(self: Rc<Self>, front: &'static str) {
        let mut before = self.all();
        loop {
            sleep(REPORT).await;
            let now = self.all();
            let grown = now.iter().map(|(name, count)| (*name, count - before.get(name).unwrap_or(&0)));
            let grown: BTreeMap<_, _> = grown.filter(|(_, more)| *more > 0).collect();
            if !grown.is_empty() {
                let line = serde_json::to_string(&grown).unwrap_or_default();
                tracing::info!(api = front, interval_s = REPORT.as_secs(), counters = %line, "counters");
            }
            before = now;
        }
    }

    /// All counts as one line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.all()).unwrap_or_default()
    }
}
