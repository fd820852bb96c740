//! Puts the result of a run into words: a summary, and the violations with what the logs say of their
//! requests.

use std::collections::BTreeMap;

use super::invariant::Violation;
use super::run_state::RunRecord;

/// The greatest number of violations that are shown; the summary counts all.
const MAX_SHOWN_VIOLATIONS: usize = 20;

/// The result of a run.
pub(crate) struct Report {
    pub(crate) summary: String,
    /// The violations that are shown, followed by the log lines of their requests; empty if there are none.
    pub(crate) violations: Vec<String>,
}

impl Report {
    /// Reports on a run, its violations and the replicas' logs.
    pub(crate) fn new(record: &RunRecord, violations: &[Violation], logs: &str) -> Self {
        let summary = format!(
            "{} requests, {:?}, faults {:?}, {} violations",
            record.requests.len(),
            count_responses(record),
            record.faults,
            violations.len()
        );
        let shown = &violations[..violations.len().min(MAX_SHOWN_VIOLATIONS)];
        let messages = shown.iter().map(|violation| violation.message.clone());
        let request_ids = shown.iter().filter_map(|violation| violation.request_id.as_deref());
        let traces = request_ids.map(|request_id| request_trace(request_id, logs));
        Report { summary, violations: messages.chain(traces).collect() }
    }
}

/// How many requests had each outcome; those without one had clients that disconnected, or were open at the
/// end.
fn count_responses(record: &RunRecord) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for request in record.requests.values() {
        let name = match request.response {
            Some(response) if request.replica_terminated => {
                format!("{:?} (replica terminated)", response.outcome)
            }
            Some(response) => format!("{:?}", response.outcome),
            None => "NoOutcome".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// The lines of the replicas' logs that name a request.
fn request_trace(request_id: &str, logs: &str) -> String {
    let field = format!("request_id={request_id} ");
    let lines: Vec<_> = logs.lines().filter(|line| format!("{line} ").contains(&field)).collect();
    lines.join("\n")
}
