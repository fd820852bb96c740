//! Converts the simulator's messages to the scheduler's events, and the scheduler's actions to commands.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use super::error::EventError;
use super::messages::{Call, Command, Element, UpdateForm, WireEvent, WireLoadReport, WireOutcome};
use crate::clock::{micros_from_millis, millis_from_micros};
use crate::config::settings::{SettingNames, UnknownName};
use crate::scheduler::{
    Action, AttemptId, CacheKey, CellId, EndpointId, EndpointUpdate, Event, LoadReport, Outcome, RequestId,
    RequestSpec, TenantId,
};

/// The value of `info` with which a decode endpoint rejects a request because there is no KV cache to fetch.
const STATE_MISSING_INFO: f64 = 1.0;

/// Converts a message to the scheduler's event. Returns `None` for launches and destructions, which the
/// adapter performs itself, and for data from other replicas, which the scheduler does not use.
pub(super) fn event_from_wire(message: WireEvent, names: &SettingNames) -> Result<Option<Event>, EventError> {
    let event = match message {
        WireEvent::Launch { .. } | WireEvent::Destroy {} | WireEvent::PeerData { .. } => return Ok(None),
        WireEvent::Update { form, elements } => endpoints_event(&form, &elements, names)?,
        WireEvent::Call(call) => Event::RequestReceived(request_spec(&call, names)?),
        WireEvent::HeadReceived { request, attempt, elapsed_ms, endpoint } => Event::FirstToken {
            request: RequestId(request),
            attempt: AttemptId(attempt),
            endpoint: EndpointId(endpoint),
            elapsed: micros_from_millis(elapsed_ms),
        },
        WireEvent::HoldResult { request, endpoint, result } => Event::ReservationResult {
            request: RequestId(request),
            endpoint: EndpointId(endpoint),
            reserved: is_reserved(result)?,
        },
        WireEvent::Reply { request, attempt, endpoint, is_final, info, status, elapsed_ms, load_report } => {
            Event::AttemptFinished {
                request: RequestId(request),
                attempt: AttemptId(attempt),
                endpoint: EndpointId(endpoint),
                outcome: outcome_from_wire(&status, info),
                is_final,
                cached_tokens: info,
                elapsed: micros_from_millis(elapsed_ms),
                load_report: load_report.as_ref().map(load_report_from_wire),
            }
        }
        WireEvent::CancelledByClient { request } => Event::ClientDisconnected(RequestId(request)),
        WireEvent::Reminder { token } => Event::TimerFired(token),
        WireEvent::StatusBack { endpoint, status, load_report } => Event::HealthChecked {
            endpoint: EndpointId(endpoint),
            outcome: outcome_from_wire(&status, 0.0),
            load_report: load_report.as_ref().map(load_report_from_wire),
        },
    };
    Ok(Some(event))
}

fn endpoints_event(
    form: &UpdateForm, elements: &[Element], names: &SettingNames,
) -> Result<Event, UnknownName> {
    let snapshot = match form {
        UpdateForm::WatchFailed => return Ok(Event::WatchFailed),
        UpdateForm::Delta => false,
        UpdateForm::Snapshot | UpdateForm::StoredSnapshot => true,
    };
    let updates = elements.iter().map(|element| endpoint_update(element, names)).collect::<Result<_, _>>()?;
    Ok(Event::EndpointsChanged { snapshot, updates })
}

fn endpoint_update(element: &Element, names: &SettingNames) -> Result<EndpointUpdate, UnknownName> {
    Ok(EndpointUpdate {
        endpoint: EndpointId(element.endpoint),
        zone: names.zone_id(&element.zone)?,
        cell: CellId(element.cell),
        kind: names.kind_id(&element.kind)?,
        lifecycle: element.lifecycle.into(),
        started_at: element.started_at_ms.filter(|&start| start > 0.0).map(micros_from_millis),
    })
}

fn request_spec(call: &Call, names: &SettingNames) -> Result<RequestSpec, EventError> {
    let tenant = tenant_id(call.tenant.as_ref(), names)?;
    Ok(RequestSpec {
        id: RequestId(call.request),
        class: names.class_id(&call.class)?,
        tenant,
        session: cache_key(call.session.as_ref(), "talk")?,
        prefix: cache_key(call.prefix.as_ref(), "template")?,
        prefix_tokens: call.prefix_tokens,
        prompt_tokens: call.prompt_tokens,
        max_output_tokens: call.max_output_tokens,
        stream_duration_hint: call.stream_duration_hint_ms.filter(|&hint| hint > 0.0).map(micros_from_millis),
        client_timeout: micros_from_millis(call.client_timeout_ms),
        is_retry: call.is_retry,
        is_resumption: call.is_resumption,
        unary: false,
    })
}

/// Looks up the request's tenant. No tenant is encoded as an absent key, `null` or 0.
fn tenant_id(value: Option<&Value>, names: &SettingNames) -> Result<Option<TenantId>, EventError> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Number(number)) if number.as_u64() == Some(0) => Ok(None),
        Some(Value::String(name)) => Ok(Some(names.tenant_id(name)?)),
        Some(found) => Err(EventError::InvalidTenant { found: found.clone() }),
    }
}

/// Hashes a session or a prefix. No value is encoded as an absent key, `null`, 0 or an empty string.
fn cache_key(value: Option<&Value>, key: &'static str) -> Result<Option<CacheKey>, EventError> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Number(number)) if number.as_u64() == Some(0) => Ok(None),
        Some(Value::String(text)) if text.is_empty() => Ok(None),
        Some(Value::String(text)) => Ok(Some(CacheKey(xxh3_64(text.as_bytes())))),
        Some(found) => Err(EventError::InvalidCacheKey { key, found: found.clone() }),
    }
}

fn is_reserved(result: i64) -> Result<bool, EventError> {
    match result {
        1 => Ok(true),
        2 => Ok(false),
        _ => Err(EventError::UnknownReservationResult { result }),
    }
}

fn outcome_from_wire(status: &WireOutcome, info: f64) -> Outcome {
    match status {
        WireOutcome::Completed => Outcome::Completed,
        WireOutcome::Error => Outcome::Error,
        WireOutcome::Rejected if info == STATE_MISSING_INFO => Outcome::StateMissing,
        WireOutcome::Rejected => Outcome::Rejected,
        WireOutcome::TimedOut => Outcome::TimedOut,
        WireOutcome::ConnectFailed => Outcome::ConnectFailed,
        WireOutcome::ConnectionLost => Outcome::ConnectionLost,
        WireOutcome::Cancelled => Outcome::Cancelled,
        WireOutcome::Abandoned => Outcome::Abandoned,
        WireOutcome::Prefilled => Outcome::Prefilled,
    }
}

/// Extracts the values that the scheduler uses from a load report and ignores the others.
fn load_report_from_wire(values: &WireLoadReport) -> LoadReport {
    let value = |key: &str| values.get(key).copied();
    LoadReport {
        in_flight: value("active"),
        queued_requests: value("waiting"),
        slot_utilization: value("cpu"),
        recent_latency: value("avg_ms").map(micros_from_millis),
        memory_utilization: value("x0"),
        queued_prefill_tokens: value("x1").map(|thousands| thousands * 1000.0),
    }
}

/// Converts an action to the simulator's command.
pub(super) fn command_from_action(action: Action) -> Command {
    match action {
        // `start_within` matters only to the network code: the simulator starts each attempt at once.
        Action::Send { request, endpoint, timeout, start_within: _ } => Command::Send {
            request: request.0,
            endpoint: endpoint.0,
            timeout_ms: millis_from_micros(timeout),
        },
        Action::Cancel { request, attempt } => Command::Cancel { request: request.0, attempt: attempt.0 },
        Action::Reject { request, retry_after } => {
            Command::Reject { request: request.0, retry_after_ms: retry_after.map(millis_from_micros) }
        }
        Action::Fail(request) => Command::Fail { request: request.0 },
        Action::ReleaseReservation(request) => Command::ReleaseReservation { request: request.0 },
        Action::ReserveAhead { request, endpoint } => {
            Command::ReserveAhead { request: request.0, endpoint: endpoint.0 }
        }
        Action::Migrate(request) => Command::Migrate { request: request.0 },
        Action::HealthCheck(endpoint) => Command::HealthCheck { endpoint: endpoint.0 },
        Action::CloseIdleConnections(endpoint) => Command::CloseIdleConnections { endpoint: endpoint.0 },
        Action::FetchEndpoints => Command::FetchEndpoints {},
        Action::WatchEndpoints => Command::WatchEndpoints { want: true },
        Action::SetTimer { token, after } => Command::SetTimer { token, after_ms: millis_from_micros(after) },
        Action::Log(text) => Command::Log { text },
    }
}

/// Serializes one action as the JSON of its command.
///
/// # Errors
///
/// Returns an error if the command cannot be serialized.
pub fn action_to_json(action: Action) -> Result<String, serde_json::Error> {
    serde_json::to_string(&command_from_action(action))
}
