//! The JSON messages that are exchanged with the simulator.
//!
//! Fields use the router's terms, with their JSON keys in serde attributes. Fields whose names end in `_ms`
//! are times in milliseconds. Types and events that are deserialized keep the simulator's names, because
//! serde includes them in its error messages; the comment on each event names its counterpart in the
//! scheduler. Unknown keys are ignored.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::settings::object::Options;
use crate::scheduler::Lifecycle;

/// One line of input: the events of one point in time, grouped by replica.
#[derive(Deserialize)]
pub(super) struct Batch {
    #[serde(rename = "atTime")]
    pub(super) now_ms: f64,
    #[serde(rename = "dispatchers")]
    pub(super) inboxes: Vec<Inbox>,
}

/// The events of one replica in a batch, in the order in which they happened.
#[derive(Deserialize)]
pub(super) struct Inbox {
    #[serde(rename = "dispatcherId")]
    pub(super) replica: u64,
    pub(super) events: Vec<WireEvent>,
}

/// An event at a replica.
#[derive(Deserialize)]
#[serde(tag = "t", rename_all = "camelCase")]
pub(super) enum WireEvent {
    /// The replica starts with an empty state.
    Launch {
        /// Seed of the scheduler's random draws.
        salt: u64,
        options: Box<Options>,
    },
    /// The replica stops.
    Destroy {},
    /// `EndpointsChanged`, or `WatchFailed` for [`UpdateForm::WatchFailed`].
    Update {
        form: UpdateForm,
        #[serde(default)]
        elements: Vec<Element>,
    },
    /// `RequestReceived`.
    Call(Box<Call>),
    /// `FirstToken`.
    HeadReceived {
        #[serde(rename = "handle")]
        request: u64,
        #[serde(rename = "roundNo")]
        attempt: u32,
        #[serde(rename = "took")]
        elapsed_ms: f64,
        #[serde(rename = "host")]
        endpoint: u32,
    },
    /// `ReservationResult`.
    HoldResult {
        #[serde(rename = "handle")]
        request: u64,
        #[serde(rename = "host")]
        endpoint: u32,
        /// 1 if the slot was reserved, 2 if not.
        #[serde(rename = "kind")]
        result: i64,
    },
    /// `AttemptFinished`.
    Reply {
        #[serde(rename = "handle")]
        request: u64,
        #[serde(rename = "roundNo", default)]
        attempt: u32,
        #[serde(rename = "host")]
        endpoint: u32,
        #[serde(rename = "terminal", default)]
        is_final: bool,
        /// Prompt tokens found in the endpoint's cache; for a rejection, a code for the reason.
        #[serde(default)]
        info: f64,
        #[serde(rename = "stateCode")]
        status: WireOutcome,
        #[serde(rename = "took")]
        elapsed_ms: f64,
        #[serde(rename = "healthInfo")]
        load_report: Option<WireLoadReport>,
    },
    /// `ClientDisconnected`.
    CancelledByClient {
        #[serde(rename = "handle")]
        request: u64,
    },
    /// `TimerFired`.
    Reminder {
        #[serde(rename = "nonce")]
        token: u64,
    },
    /// `HealthChecked`.
    StatusBack {
        #[serde(rename = "host")]
        endpoint: u32,
        #[serde(rename = "stateCode")]
        status: WireOutcome,
        #[serde(rename = "healthInfo")]
        load_report: Option<WireLoadReport>,
    },
    /// Data from another replica. The scheduler does not use it, but the message must be well-formed.
    PeerData {
        #[serde(rename = "neighbour")]
        _neighbour: u64,
        #[serde(rename = "data")]
        _data: String,
    },
}

/// A new request.
#[derive(Deserialize)]
pub(super) struct Call {
    #[serde(rename = "handle")]
    pub(super) request: u64,
    #[serde(rename = "nPrompt")]
    pub(super) prompt_tokens: f64,
    /// Estimated duration of the response stream; 0 if unknown.
    #[serde(rename = "sizeHint")]
    pub(super) stream_duration_hint_ms: Option<f64>,
    /// Time until the client's own timeout.
    #[serde(rename = "remaining")]
    pub(super) client_timeout_ms: f64,
    /// Name of the class.
    #[serde(rename = "priority")]
    pub(super) class: String,
    #[serde(rename = "prefixTokens", default)]
    pub(super) prefix_tokens: f64,
    /// Identifies the prompt prefix that is shared with other sessions: a string, or 0 if there is none.
    #[serde(rename = "template")]
    pub(super) prefix: Option<Value>,
    /// Name of the tenant, or 0 if there is none.
    #[serde(rename = "clientGroup")]
    pub(super) tenant: Option<Value>,
    #[serde(rename = "outputCap")]
    pub(super) max_output_tokens: f64,
    /// Identifies the session: a string, or 0 if there is none.
    #[serde(rename = "talk")]
    pub(super) session: Option<Value>,
    #[serde(rename = "againByClient", default)]
    pub(super) is_retry: bool,
    #[serde(rename = "cameBack", default)]
    pub(super) is_resumption: bool,
}

/// Which entries an update of the endpoint list contains.
#[derive(Deserialize)]
pub(super) enum UpdateForm {
    /// The entries that changed.
    #[serde(rename = "Partial")]
    Delta,
    /// All entries.
    #[serde(rename = "Complete")]
    Snapshot,
    /// All entries as they were last stored, which may be out of date.
    #[serde(rename = "Persisted")]
    StoredSnapshot,
    /// No entries: the watch could not be opened or has ended.
    #[serde(rename = "Error")]
    WatchFailed,
}

/// The outcome of an attempt or a health check.
#[derive(Deserialize)]
pub(super) enum WireOutcome {
    #[serde(rename = "done")]
    Completed,
    #[serde(rename = "err")]
    Error,
    /// Rejected; the message's `info` tells whether the reason is a missing KV cache.
    #[serde(rename = "busy")]
    Rejected,
    #[serde(rename = "etimedout")]
    TimedOut,
    #[serde(rename = "econnrefused")]
    ConnectFailed,
    #[serde(rename = "econnreset")]
    ConnectionLost,
    #[serde(rename = "ecanceled")]
    Cancelled,
    #[serde(rename = "skipped")]
    Abandoned,
    #[serde(rename = "ready_to_answer")]
    Prefilled,
}

/// An endpoint's load report: a value for each key. `translate` defines the keys.
pub(super) type WireLoadReport = BTreeMap<String, f64>;

/// An entry of the endpoint list.
#[derive(Deserialize)]
pub(super) struct Element {
    /// Name of the zone.
    #[serde(rename = "dc")]
    pub(super) zone: String,
    /// Name of the kind of endpoint.
    #[serde(rename = "sku")]
    pub(super) kind: String,
    /// Time of the endpoint's last start; 0 if it was long ago.
    #[serde(rename = "lastStart")]
    pub(super) started_at_ms: Option<f64>,
    #[serde(rename = "pod", default)]
    pub(super) cell: i64,
    #[serde(rename = "phase")]
    pub(super) lifecycle: WireLifecycle,
    #[serde(rename = "host")]
    pub(super) endpoint: u32,
}

/// Whether an endpoint accepts new requests.
#[derive(Deserialize, Clone, Copy)]
pub(super) enum WireLifecycle {
    #[serde(rename = "SERVING")]
    Ready,
    #[serde(rename = "DRAINING")]
    Draining,
    #[serde(rename = "DELETED")]
    Removed,
}

impl From<WireLifecycle> for Lifecycle {
    fn from(lifecycle: WireLifecycle) -> Self {
        match lifecycle {
            WireLifecycle::Ready => Lifecycle::Ready,
            WireLifecycle::Draining => Lifecycle::Draining,
            WireLifecycle::Removed => Lifecycle::Removed,
        }
    }
}

/// One line of output: the replicas that have commands, in the order of the batch.
#[derive(Serialize)]
pub(super) struct BatchReply {
    #[serde(rename = "dispatchers")]
    pub(super) outboxes: Vec<Outbox>,
}

/// The commands of one replica, in the order of its scheduler's actions.
#[derive(Serialize)]
pub(super) struct Outbox {
    #[serde(rename = "dispatcherId")]
    pub(super) replica: u64,
    #[serde(rename = "cmds")]
    pub(super) commands: Vec<Command>,
}

/// A command of a replica; each variant corresponds to the scheduler's action of the same name.
#[derive(Serialize)]
#[serde(tag = "t")]
pub(super) enum Command {
    #[serde(rename = "send")]
    Send {
        #[serde(rename = "handle")]
        request: u64,
        #[serde(rename = "host")]
        endpoint: u32,
        #[serde(rename = "tryFor")]
        timeout_ms: f64,
    },
    #[serde(rename = "abandon")]
    Cancel {
        #[serde(rename = "handle")]
        request: u64,
        #[serde(rename = "roundNo")]
        attempt: u32,
    },
    #[serde(rename = "reject")]
    Reject {
        #[serde(rename = "handle")]
        request: u64,
        #[serde(rename = "notBeforeFor", skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<f64>,
    },
    #[serde(rename = "error")]
    Fail {
        #[serde(rename = "handle")]
        request: u64,
    },
    #[serde(rename = "clearState")]
    ReleaseReservation {
        #[serde(rename = "handle")]
        request: u64,
    },
    #[serde(rename = "pairEarly")]
    ReserveAhead {
        #[serde(rename = "handle")]
        request: u64,
        #[serde(rename = "host")]
        endpoint: u32,
    },
    #[serde(rename = "redirect")]
    Migrate {
        #[serde(rename = "handle")]
        request: u64,
    },
    #[serde(rename = "soundOut")]
    HealthCheck {
        #[serde(rename = "host")]
        endpoint: u32,
    },
    #[serde(rename = "letGo")]
    CloseIdleConnections {
        #[serde(rename = "host")]
        endpoint: u32,
    },
    #[serde(rename = "getList")]
    FetchEndpoints {},
    #[serde(rename = "observe")]
    WatchEndpoints {
        /// Always true, because the scheduler never stops watching.
        want: bool,
    },
    #[serde(rename = "wakeMe")]
    SetTimer {
        #[serde(rename = "nonce")]
        token: u64,
        #[serde(rename = "after")]
        after_ms: f64,
    },
    #[serde(rename = "noteDown")]
    Log {
        #[serde(rename = "bodyText")]
        text: String,
    },
}
