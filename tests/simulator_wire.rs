//! The JSON interface between the simulator and its adapter: parsing of events, and serialization of
//! commands.

use std::io::Write;
use std::process::{Command, Stdio};

use inference_router::scheduler::{Action, AttemptId, EndpointId, RequestId};
use inference_router::simulator::{Adapter, action_to_json};

const SETTINGS: &str = r#"{"accounts":[{"name":"t1","quotaPerS":10.0,"share":1.0}],"balancers":2,"failureDomains":["z1"],
"familyInfo":{"ahead":false,"aimUsPer1000PromptTokens":[40000.0],"farPrice":0.03,"localRead":false,
"memoryTokens":[200000,100000],"pinLimit":500.0,"resume":false,"roleByKind":["read","write"],"tokenAim":[60.0]},
"invariants":{"answerSlack":8.0,"drainGrace":2000.0,"fallMultiple":4.0,"overloadFor":1000.0,"rampTime":12000.0,
"startCapacity":0.26},"kinds":["k1","k2"],"lanes":[{"deadline":4000.0,"lateWorth":0.2,"name":"c1","objective":1000.0,
"semantics":"read_like","stream":true,"worth":1.0}],"limits":{"cancelling":true,"maxAttempts":4,"maxRetryAfter":1000.0,
"mayDuplicate":false,"mayProbe":false,"retryAfter":true},"locality":"z1","membershipMode":"push","unknown":[1]}"#;

const REQUEST: &str = r#"{"t":"call","handle":9,"nPrompt":1800,"remaining":4000.0,"priority":"c1","outputCap":256,"clientGroup":"t1","unknown":{}}"#;

const NO_COMMANDS: &str = r#"{"dispatchers":[]}"#;

/// Returns the events that launch a replica with these settings, one prefill endpoint and one decode
/// endpoint.
fn launch_events(settings: &str) -> String {
    let settings = settings.replace('\n', "");
    let endpoints = r#"{"t":"update","form":"Persisted","rev":1,"elements":[{"dc":"z1","sku":"k1","pod":0,"phase":"SERVING","host":1},{"dc":"z1","sku":"k2","pod":0,"phase":"SERVING","host":2}]}"#;
    format!(r#"{{"t":"launch","salt":1,"options":{settings}}},{endpoints}"#)
}

/// Returns a batch with the events of one replica.
fn batch(now_ms: f64, events: &str) -> String {
    format!(r#"{{"atTime":{now_ms},"dispatchers":[{{"dispatcherId":3,"events":[{events}]}}]}}"#)
}

fn launch_batch(settings: &str) -> String {
    batch(1000.0, &launch_events(settings))
}

fn launched_adapter() -> Adapter {
    let mut adapter = Adapter::default();
    assert_eq!(adapter.handle_batch(launch_batch(SETTINGS).as_bytes()).unwrap(), NO_COMMANDS);
    adapter
}

/// Returns the message of the error with which the adapter fails on the batch.
fn error_message(mut adapter: Adapter, batch: &str) -> String {
    adapter.handle_batch(batch.as_bytes()).unwrap_err().to_string()
}

#[test]
fn request_goes_to_prefill_endpoint_with_timeout_in_milliseconds_and_then_to_decode_endpoint() {
    let mut adapter = launched_adapter();
    let to_prefill = adapter.handle_batch(batch(1001.5, REQUEST).as_bytes()).unwrap();
    assert!(to_prefill.contains(r#"{"t":"send","handle":9,"host":1,"tryFor":"#), "{to_prefill}");
    let prefilled = r#"{"t":"reply","handle":9,"roundNo":0,"host":1,"stateCode":"ready_to_answer","took":18.5,"healthInfo":{"x0":0.4,"new":1}}"#;
    let to_decode = adapter.handle_batch(batch(1020.0, prefilled).as_bytes()).unwrap();
    assert!(to_decode.contains(r#"{"t":"send","handle":9,"host":2,"#), "{to_decode}");
}

#[test]
fn destroyed_replica_keeps_no_requests() {
    let mut adapter = launched_adapter();
    adapter.handle_batch(batch(1001.5, REQUEST).as_bytes()).unwrap();
    let restart = batch(1002.0, &format!(r#"{{"t":"destroy"}},{}"#, launch_events(SETTINGS)));
    assert_eq!(adapter.handle_batch(restart.as_bytes()).unwrap(), NO_COMMANDS);
    let timer = batch(9000.0, r#"{"t":"reminder","nonce":0}"#);
    assert_eq!(adapter.handle_batch(timer.as_bytes()).unwrap(), NO_COMMANDS);
}

#[test]
fn malformed_events_are_reported_with_their_cause() {
    for (event, cause) in [
        (r#"{"t":"call","handle":9}"#, "missing field"),
        (r#"{"t":"call","handle":"x"}"#, "invalid type"),
        (r#"{"t":"reply","handle":9,"host":1,"took":1.0,"stateCode":"fine"}"#, "unknown variant `fine`"),
        (r#"{"t":"unknownEvent"}"#, "unknown variant `unknownEvent`"),
        (
            r#"{"t":"call","handle":9,"nPrompt":1,"remaining":1,"priority":"c9","outputCap":1}"#,
            "unknown class \"c9\"",
        ),
    ] {
        let error = error_message(launched_adapter(), &batch(1001.0, event));
        assert!(error.contains(cause), "{error}");
    }
    let error = error_message(launched_adapter(), "not JSON");
    assert!(error.contains("expected"), "{error}");
}

#[test]
fn inconsistent_settings_are_reported_with_their_cause() {
    let no_prefill_kind = SETTINGS.replace(r#"["read","write"]"#, r#"["write","write"]"#);
    let kind_error = error_message(Adapter::default(), &launch_batch(&no_prefill_kind));
    assert!(kind_error.contains("no kind reads prompts"), "{kind_error}");
    let no_inter_token_objective = SETTINGS.replace(r#""tokenAim":[60.0]"#, r#""tokenAim":[]"#);
    let class_error = error_message(Adapter::default(), &launch_batch(&no_inter_token_objective));
    assert!(class_error.contains("tokenAim has no entry"), "{class_error}");
}

#[test]
fn program_exits_with_one_line_of_error_and_no_output_on_malformed_input() {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    adapter.stdin.take().unwrap().write_all(b"{\"atTime\":1}\n").unwrap();
    let output = adapter.wait_with_output().unwrap();
    assert!(!output.status.success() && output.stdout.is_empty());
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.starts_with("simulator-adapter: line 1: missing field `dispatchers`"), "{error}");
    assert_eq!(error.lines().count(), 1);
}

#[test]
fn every_action_is_serialized_as_its_command() {
    let request = RequestId(9);
    let endpoint = EndpointId(2);
    for (action, text) in [
        (
            Action::Send { request, endpoint, timeout: 80_500, start_within: None },
            r#"{"t":"send","handle":9,"host":2,"tryFor":80.5}"#,
        ),
        (Action::Cancel { request, attempt: AttemptId(1) }, r#"{"t":"abandon","handle":9,"roundNo":1}"#),
        (
            Action::Reject { request, retry_after: Some(250_000) },
            r#"{"t":"reject","handle":9,"notBeforeFor":250.0}"#,
        ),
        (Action::Reject { request, retry_after: None }, r#"{"t":"reject","handle":9}"#),
        (Action::Fail(request), r#"{"t":"error","handle":9}"#),
        (Action::ReleaseReservation(request), r#"{"t":"clearState","handle":9}"#),
        (Action::ReserveAhead { request, endpoint }, r#"{"t":"pairEarly","handle":9,"host":2}"#),
        (Action::Migrate(request), r#"{"t":"redirect","handle":9}"#),
        (Action::HealthCheck(endpoint), r#"{"t":"soundOut","host":2}"#),
        (Action::CloseIdleConnections(endpoint), r#"{"t":"letGo","host":2}"#),
        (Action::FetchEndpoints, r#"{"t":"getList"}"#),
        (Action::WatchEndpoints, r#"{"t":"observe","want":true}"#),
        (Action::SetTimer { token: 7, after: 5_000 }, r#"{"t":"wakeMe","nonce":7,"after":5.0}"#),
        (Action::Log("two".into()), r#"{"t":"noteDown","bodyText":"two"}"#),
    ] {
        assert_eq!(action_to_json(action).unwrap(), text);
    }
}
