//! Parsing of endpoints' load reports, which are sent in a header or in the body of a health check.

use hyper::header::HeaderMap;
use serde::Deserialize;

use crate::scheduler::{LoadReport, Micros};

/// Header with the endpoint's load.
const SERVER_LOAD_HEADER: &str = "server-load";

/// Endpoints report the tokens queued for prefill in thousands.
const TOKENS_PER_KILOTOKEN: f64 = 1_000.0;

/// Endpoints report their latency in milliseconds.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// A load report with the field names that the platform's settings assign on the wire.
#[derive(Deserialize)]
struct LoadReportText {
    #[serde(rename = "inflight")]
    in_flight: Option<f64>,
    #[serde(rename = "queue")]
    queued_requests: Option<f64>,
    #[serde(rename = "util")]
    slot_utilization: Option<f64>,
    #[serde(rename = "latency_ms")]
    recent_latency_ms: Option<f64>,
    #[serde(rename = "x0")]
    memory_utilization: Option<f64>,
    #[serde(rename = "x1")]
    queued_prefill_kilotokens: Option<f64>,
}

/// Returns the load report in a response head, if there is one that can be parsed.
pub(super) fn from_headers(headers: &HeaderMap) -> Option<LoadReport> {
    parse(headers.get(SERVER_LOAD_HEADER)?.as_bytes())
}

/// Parses a load report. Returns `None` if the text is not one.
pub(super) fn parse(text: &[u8]) -> Option<LoadReport> {
    let report: LoadReportText = serde_json::from_slice(text).ok()?;
    Some(LoadReport {
        in_flight: report.in_flight,
        queued_requests: report.queued_requests,
        slot_utilization: report.slot_utilization,
        recent_latency: report.recent_latency_ms.map(|millis| (millis * MICROS_PER_MILLI) as Micros),
        memory_utilization: report.memory_utilization,
        queued_prefill_tokens: report
            .queued_prefill_kilotokens
            .map(|kilotokens| kilotokens * TOKENS_PER_KILOTOKEN),
    })
}
