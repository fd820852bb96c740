//! The wire's messages, as the simulator writes and reads them.
//!
//! Fields carry the router's terms, with the wire's key beside each; times are in milliseconds where the name
//! ends in `_ms`. The structs and events that are read carry the wire's own words, as serde puts their names
//! into the texts of its errors. Each says what it means to the scheduler. Keys that no field names are
//! passed over.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::settings::object::Options;
use crate::scheduler::Lifecycle;

/// One line of input: what happened at one moment to some of the replicas.
#[derive(Deserialize)]
pub(super) struct Batch {
    #[serde(rename = "atTime")]
    pub(super) now_ms: f64,
    #[serde(rename = "dispatchers")]
    pub(super) inboxes: Vec<Inbox>,
}

/// One replica's events of a batch, in their order.
#[derive(Deserialize)]
pub(super) struct Inbox {
    #[serde(rename = "dispatcherId")]
    pub(super) replica: u64,
    pub(super) events: Vec<WireEvent>,
}

/// What happened to a replica.
#[derive(Deserialize)]
#[serde(tag = "t", rename_all = "camelCase")]
pub(super) enum WireEvent {
    /// The replica starts, with nothing known from an earlier life.
    Launch {
        /// The seed of the scheduler's hashes.
        salt: u64,
        options: Box<Options>,
    },
    /// The replica ends.
    Destroy {},
    /// `EndpointsChanged` or `WatchFailed`.
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
        /// 1 for reserved, 2 for not reserved.
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
        /// Prompt tokens found in the endpoint's cache; for a rejection, why it rejected.
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
    /// Data from another replica. No decision uses it, but it must be well-formed.
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
    /// An estimate of its stream time; 0 for none.
    #[serde(rename = "sizeHint")]
    pub(super) stream_duration_hint_ms: Option<f64>,
    /// Time until the client gives up this try.
    #[serde(rename = "remaining")]
    pub(super) client_timeout_ms: f64,
    /// The class's name.
    #[serde(rename = "priority")]
    pub(super) class: String,
    #[serde(rename = "prefixTokens", default)]
    pub(super) prefix_tokens: f64,
    /// The prompt prefix that it shares with other sessions: a text, or 0 for none.
    #[serde(rename = "template")]
    pub(super) prefix: Option<Value>,
    /// The tenant's name, or 0 for none.
    #[serde(rename = "clientGroup")]
    pub(super) tenant: Option<Value>,
    #[serde(rename = "outputCap")]
    pub(super) max_output_tokens: f64,
    /// A text, or 0 for none.
    #[serde(rename = "talk")]
    pub(super) session: Option<Value>,
    #[serde(rename = "againByClient", default)]
    pub(super) is_retry: bool,
    #[serde(rename = "cameBack", default)]
    pub(super) is_resumption: bool,
}

/// What an update of the endpoint list contains.
#[derive(Deserialize)]
pub(super) enum UpdateForm {
    /// The entries that changed.
    #[serde(rename = "Partial")]
    Delta,
    /// All entries.
    #[serde(rename = "Complete")]
    Snapshot,
    /// All entries as they were last stored, perhaps long ago.
    #[serde(rename = "Persisted")]
    StoredSnapshot,
    /// None: the watch could not be opened or has ended.
    #[serde(rename = "Error")]
    WatchFailed,
}

/// How an attempt or a health check ended.
#[derive(Deserialize)]
pub(super) enum WireOutcome {
    #[serde(rename = "done")]
    Completed,
    #[serde(rename = "err")]
    Error,
    /// Rejected; the message's `info` says whether for want of a KV cache.
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

/// An endpoint's load report: a number for each of its keys, which `translate` names.
pub(super) type WireLoadReport = BTreeMap<String, f64>;

/// An entry of the endpoint list.
#[derive(Deserialize)]
pub(super) struct Element {
    /// The zone's name.
    #[serde(rename = "dc")]
    pub(super) zone: String,
    /// The kind's name.
    #[serde(rename = "sku")]
    pub(super) kind: String,
    /// When the endpoint last started; 0 for long ago.
    #[serde(rename = "lastStart")]
    pub(super) started_at_ms: Option<f64>,
    #[serde(rename = "pod", default)]
    pub(super) cell: i64,
    #[serde(rename = "phase")]
    pub(super) lifecycle: WireLifecycle,
    #[serde(rename = "host")]
    pub(super) endpoint: u32,
}

/// Whether an endpoint may be sent new work.
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

/// One replica's commands, in the order of its scheduler's actions.
#[derive(Serialize)]
pub(super) struct Outbox {
    #[serde(rename = "dispatcherId")]
    pub(super) replica: u64,
    #[serde(rename = "cmds")]
    pub(super) commands: Vec<Command>,
}

/// What a replica wants done; each is the scheduler's action of the same name.
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
        /// Always true: the scheduler never ends its watch.
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
