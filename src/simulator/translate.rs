//! Turns the wire's events into the scheduler's, and the scheduler's actions into the wire's commands.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use super::error::{EventError, UnknownName};
use super::messages::{Call, Command, Element, Form, HealthInfo, StateCode, WireEvent, WirePhase};
use super::settings::SettingNames;
use super::units::{micros_from_millis, millis_from_micros};
use crate::scheduler::{
    Action, AttemptId, CacheKey, CellId, EndpointId, EndpointUpdate, Event, Lifecycle, LoadReport, Outcome,
    RequestId, RequestSpec, TenantId,
};

/// The `info` by which a decode endpoint that rejects a request says that there is no KV cache to fetch.
const STATE_MISSING_INFO: f64 = 1.0;

/// The scheduler's event for a message. None for messages that are not the scheduler's: launches and destructions,
/// which the adapter carries out, and what other replicas send, which no decision uses.
pub(super) fn event_from_wire(message: WireEvent, names: &SettingNames) -> Result<Option<Event>, EventError> {
    let event = match message {
        WireEvent::Launch { .. } | WireEvent::Destroy {} | WireEvent::PeerData { .. } => return Ok(None),
        WireEvent::Update { form, elements } => endpoints_event(form, &elements, names)?,
        WireEvent::Call(call) => Event::RequestReceived(request_spec(*call, names)?),
        WireEvent::HeadReceived { handle, round_no, took, host } => Event::FirstToken {
            request: RequestId(handle),
            attempt: AttemptId(round_no),
            endpoint: EndpointId(host),
            elapsed: micros_from_millis(took),
        },
        WireEvent::HoldResult { handle, host, kind } => Event::ReservationResult {
            request: RequestId(handle),
            endpoint: EndpointId(host),
            reserved: reservation_succeeded(kind)?,
        },
        WireEvent::Reply { handle, round_no, host, terminal, info, state_code, took, health_info } => {
            Event::AttemptFinished {
                request: RequestId(handle),
                attempt: AttemptId(round_no),
                endpoint: EndpointId(host),
                outcome: outcome(state_code, info),
                is_final: terminal,
                cached_tokens: info,
                elapsed: micros_from_millis(took),
                load_report: health_info.as_ref().map(load_report),
            }
        }
        WireEvent::CancelledByClient { handle } => Event::ClientDisconnected(RequestId(handle)),
        WireEvent::Reminder { nonce } => Event::TimerFired(nonce),
        WireEvent::StatusBack { host, state_code, health_info } => Event::HealthChecked {
            endpoint: EndpointId(host),
            outcome: outcome(state_code, 0.0),
            load_report: health_info.as_ref().map(load_report),
        },
    };
    Ok(Some(event))
}

fn endpoints_event(form: Form, elements: &[Element], names: &SettingNames) -> Result<Event, UnknownName> {
    let snapshot = match form {
        Form::Error => return Ok(Event::WatchFailed),
        Form::Partial => false,
        Form::Complete | Form::Persisted => true,
    };
    let updates = elements.iter().map(|element| endpoint_update(element, names)).collect::<Result<_, _>>()?;
    Ok(Event::EndpointsChanged { snapshot, updates })
}

fn endpoint_update(element: &Element, names: &SettingNames) -> Result<EndpointUpdate, UnknownName> {
    Ok(EndpointUpdate {
        endpoint: EndpointId(element.host),
        zone: names.zone_id(&element.dc)?,
        cell: CellId(element.pod),
        kind: names.kind_id(&element.sku)?,
        lifecycle: match element.phase {
            WirePhase::Serving => Lifecycle::Ready,
            WirePhase::Draining => Lifecycle::Draining,
            WirePhase::Deleted => Lifecycle::Removed,
        },
        // 0 stands for long ago.
        started_at: element.last_start.filter(|&start| start > 0.0).map(micros_from_millis),
    })
}

fn request_spec(call: Call, names: &SettingNames) -> Result<RequestSpec, EventError> {
    let tenant = tenant_id(call.client_group, names)?;
    Ok(RequestSpec {
        id: RequestId(call.handle),
        class: names.class_id(&call.priority)?,
        tenant,
        session: cache_key(call.talk, "talk")?,
        prefix: cache_key(call.template, "template")?,
        prefix_tokens: call.prefix_tokens,
        prompt_tokens: call.n_prompt,
        max_output_tokens: call.output_cap,
        stream_duration_hint: call.size_hint.filter(|&hint| hint > 0.0).map(micros_from_millis),
        client_timeout: micros_from_millis(call.remaining),
        is_retry: call.again_by_client,
        is_resumption: call.came_back,
        unary: false,
    })
}

/// The request's tenant; absent, `null` and 0 stand for none.
fn tenant_id(value: Option<Value>, names: &SettingNames) -> Result<Option<TenantId>, EventError> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Number(number)) if number.as_u64() == Some(0) => Ok(None),
        Some(Value::String(name)) => Ok(Some(names.tenant_id(&name)?)),
        Some(found) => Err(EventError::NotTenantName { found }),
    }
}

/// The hash of a session or a prefix; absent, `null`, 0 and the empty text stand for none.
fn cache_key(value: Option<Value>, key: &'static str) -> Result<Option<CacheKey>, EventError> {
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(Value::Number(number)) if number.as_u64() == Some(0) => Ok(None),
        Some(Value::String(text)) if text.is_empty() => Ok(None),
        Some(Value::String(text)) => Ok(Some(CacheKey(xxh3_64(text.as_bytes())))),
        Some(found) => Err(EventError::NotText { key, found }),
    }
}

fn reservation_succeeded(kind: i64) -> Result<bool, EventError> {
    match kind {
        1 => Ok(true),
        2 => Ok(false),
        _ => Err(EventError::UnknownReservationResult { kind }),
    }
}

fn outcome(code: StateCode, info: f64) -> Outcome {
    match code {
        StateCode::Done => Outcome::Completed,
        StateCode::Err => Outcome::Error,
        StateCode::Busy if info == STATE_MISSING_INFO => Outcome::StateMissing,
        StateCode::Busy => Outcome::Rejected,
        StateCode::Etimedout => Outcome::TimedOut,
        StateCode::Econnrefused => Outcome::ConnectFailed,
        StateCode::Econnreset => Outcome::ConnectionLost,
        StateCode::Ecanceled => Outcome::Cancelled,
        StateCode::Skipped => Outcome::Abandoned,
        StateCode::ReadyToAnswer => Outcome::Prefilled,
    }
}

/// The values of a load report that the scheduler uses; others are passed over.
fn load_report(values: &HealthInfo) -> LoadReport {
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

/// The wire's command for an action.
pub(super) fn command_from_action(action: Action) -> Command {
    match action {
        Action::Send { request, endpoint, timeout, start_within: _ } => {
            Command::Send { handle: request.0, host: endpoint.0, try_for: millis_from_micros(timeout) }
        }
        Action::Cancel { request, attempt } => Command::Abandon { handle: request.0, round_no: attempt.0 },
        Action::Reject { request, retry_after } => {
            Command::Reject { handle: request.0, not_before_for: retry_after.map(millis_from_micros) }
        }
        Action::Fail(request) => Command::Error { handle: request.0 },
        Action::ReleaseReservation(request) => Command::ClearState { handle: request.0 },
        Action::ReserveAhead { request, endpoint } => {
            Command::PairEarly { handle: request.0, host: endpoint.0 }
        }
        Action::Migrate(request) => Command::Redirect { handle: request.0 },
        Action::HealthCheck(endpoint) => Command::SoundOut { host: endpoint.0 },
        Action::CloseIdleConnections(endpoint) => Command::LetGo { host: endpoint.0 },
        Action::FetchEndpoints => Command::GetList {},
        Action::WatchEndpoints => Command::Observe { want: true },
        Action::SetTimer { token, after } => {
            Command::WakeMe { nonce: token, after: millis_from_micros(after) }
        }
        Action::Log(body_text) => Command::NoteDown { body_text },
    }
}

/// The wire's text for one action.
///
/// # Errors
///
/// When the action cannot be written as JSON.
pub fn action_text(action: Action) -> Result<String, serde_json::Error> {
    serde_json::to_string(&command_from_action(action))
}
