//! State of one request, from its arrival to its last event.

use super::event::RequestSpec;
use super::ids::{CellId, EndpointId, Micros, RequestId, ZoneId};
use super::queue::{QueueEntry, Tier};
use super::reservation::CacheReservation;
use super::settings::RequestClass;

/// Expected output length as a fraction of the maximum, if the request has no hint.
const EXPECTED_OUTPUT_FRACTION: f64 = 0.3;

/// The state of a request.
///
/// `Queued` changes to `Prefilling`, or to `Decoding` at an endpoint that also prefills. A completed prefill
/// leads to `Prefilled`, which changes to `Decoding`. After a failed attempt, the request returns to
/// `Prefilled` if its KV cache is still usable and to `Queued` otherwise. A request usually ends with its
/// stream.
#[derive(Clone, Copy)]
pub(super) enum RequestState {
    /// Waiting in a tier of the queue.
    Queued(Tier),
    /// The prompt is being prefilled.
    Prefilling {
        /// The endpoint that prefills it.
        prefill_endpoint: EndpointId,
    },
    /// The KV cache is held at a prefill endpoint and no attempt is in flight.
    Prefilled(CacheReservation),
    /// Sent to a decode endpoint, with the reserved KV cache or, without one, to be prefilled there.
    Decoding(Option<CacheReservation>),
    /// The first token was received; the reservation is unchanged.
    Streaming(Option<CacheReservation>),
}

/// An attempt that may have executed the request.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    /// Where the attempt was sent; `None` if the endpoint had already been removed from the list. Copied
    /// because the endpoint may be removed later.
    pub(super) site: Option<ExecutionSite>,
    /// When the attempt was sent.
    pub(super) sent_at: Micros,
}

/// The location of an execution, which determines the endpoints that drop duplicates of it.
#[derive(Clone, Copy)]
pub(super) struct ExecutionSite {
    pub(super) zone: ZoneId,
    pub(super) cell: CellId,
}

/// An endpoint that this replica could not send to.
#[derive(Clone, Copy)]
pub(super) struct LocallyUnreachable {
    pub(super) endpoint: EndpointId,
    /// Other endpoints are preferred until then.
    pub(super) until: Micros,
}

/// A request without a final answer, or whose last attempt has not ended.
pub(super) struct Request {
    pub(super) spec: RequestSpec,
    pub(super) state: RequestState,
    /// When the first token is due.
    pub(super) objective_at: Micros,
    /// When the client abandons the request.
    pub(super) deadline: Micros,
    /// Expected number of output tokens.
    pub(super) expected_output_tokens: f64,
    /// Expected KV cache memory in tokens: prompt and answer.
    pub(super) footprint_tokens: f64,
    /// Target inter-token latency in microseconds.
    pub(super) inter_token_objective: f64,
    /// Whether the tenant's quota is exceeded, which restricts the request to the best-effort tier.
    pub(super) over_quota: bool,

    /// Number of attempts that the scheduler requested.
    pub(super) requested_attempts: u32,
    /// Number of requested attempts that were never sent.
    pub(super) unsent_attempts: u32,
    /// When the last attempt was sent or, while streaming, when the first token arrived.
    pub(super) last_progress_at: Micros,
    /// The first attempt that may have executed the request.
    pub(super) possible_execution: Option<PossibleExecution>,
    pub(super) locally_unreachable: Option<LocallyUnreachable>,
    /// Cell of the last decode endpoint that did not respond.
    pub(super) unresponsive_cell: Option<CellId>,
    /// Whether the client disconnected; the request then only waits for its last attempt to end.
    pub(super) client_disconnected: bool,

    /// Affinity prefill endpoints, best first.
    pub(super) affinity_endpoints: Vec<EndpointId>,
    /// The decode endpoint that the request is assigned to.
    pub(super) decode_endpoint: Option<EndpointId>,
    /// Tier of the last admission.
    pub(super) admitted_from: Tier,
    /// Prompt tokens to prefill, as estimated at the last admission.
    pub(super) uncached_tokens: f64,
    /// Tokens of this replica's prefills at the prefill endpoint when the request was sent, including the
    /// request itself.
    pub(super) prefill_load_tokens: f64,
    /// Admission waits until then for load reports from the prefill endpoints.
    pub(super) load_reports_awaited_until: Micros,
}

impl Request {
    /// Creates a request that arrived at `now` and has not been queued yet.
    pub(super) fn new(now: Micros, spec: &RequestSpec, class: &RequestClass, over_quota: bool) -> Self {
        let inter_token_objective = class.inter_token_objective.max(1) as f64;
        let hinted = spec.stream_duration_hint.map(|hint| hint as f64 / inter_token_objective);
        let expected_output_tokens = hinted
            .map_or(spec.max_output_tokens * EXPECTED_OUTPUT_FRACTION, |tokens| {
                tokens.min(spec.max_output_tokens)
            })
            .max(1.0);
        let for_prompt = class.objective_per_1000_prompt_tokens as f64 * spec.prompt_tokens / 1000.0;
        let objective = class.first_token_objective.saturating_add(for_prompt as Micros);
        Request {
            spec: spec.clone(),
            state: RequestState::Queued(Tier::Objective),
            objective_at: now.saturating_add(objective.min(spec.client_timeout)),
            deadline: now.saturating_add(spec.client_timeout),
            expected_output_tokens,
            footprint_tokens: spec.prompt_tokens + expected_output_tokens,
            inter_token_objective,
            over_quota,
            requested_attempts: 0,
            unsent_attempts: 0,
            last_progress_at: 0,
            possible_execution: None,
            locally_unreachable: None,
            unresponsive_cell: None,
            client_disconnected: false,
            affinity_endpoints: Vec::new(),
            decode_endpoint: None,
            admitted_from: Tier::Objective,
            uncached_tokens: 0.0,
            prefill_load_tokens: 0.0,
            load_reports_awaited_until: 0,
        }
    }

    pub(super) fn queue_entry(&self) -> QueueEntry {
        QueueEntry { objective_at: self.objective_at, request: self.spec.id }
    }

    pub(super) fn id(&self) -> RequestId {
        self.spec.id
    }

    /// Returns whether the request is waiting with no attempt in flight.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, RequestState::Queued(_) | RequestState::Prefilled(_))
    }

    /// Returns whether an attempt is prefilling the prompt for a later decode.
    pub(super) fn is_prefilling(&self) -> bool {
        matches!(self.state, RequestState::Prefilling { .. })
    }

    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.state, RequestState::Streaming(_))
    }

    /// Returns the reserved KV cache, if any.
    pub(super) fn reservation(&self) -> Option<CacheReservation> {
        match self.state {
            RequestState::Prefilled(reservation) => Some(reservation),
            RequestState::Decoding(reservation) | RequestState::Streaming(reservation) => reservation,
            RequestState::Queued(_) | RequestState::Prefilling { .. } => None,
        }
    }

    pub(super) fn reservation_mut(&mut self) -> Option<&mut CacheReservation> {
        match &mut self.state {
            RequestState::Prefilled(reservation) => Some(reservation),
            RequestState::Decoding(reservation) | RequestState::Streaming(reservation) => {
                reservation.as_mut()
            }
            RequestState::Queued(_) | RequestState::Prefilling { .. } => None,
        }
    }

    /// Enters the streaming state. A prefill endpoint that streams the answer itself, contrary to its role,
    /// is treated as one with a reservation.
    pub(super) fn start_streaming(&mut self, now: Micros) {
        let reservation = match self.state {
            RequestState::Prefilling { prefill_endpoint } => {
                Some(CacheReservation::new(prefill_endpoint, now))
            }
            _ => self.reservation(),
        };
        self.state = RequestState::Streaming(reservation);
        self.last_progress_at = now;
    }

    /// Returns the endpoint that prefills the prompt or holds the KV cache.
    pub(super) fn prefill_endpoint(&self) -> Option<EndpointId> {
        match self.state {
            RequestState::Prefilling { prefill_endpoint } => Some(prefill_endpoint),
            _ => self.reservation().map(|reservation| reservation.prefill_endpoint),
        }
    }

    /// Returns the rank of an endpoint in the request's affinity order.
    pub(super) fn affinity_rank(&self, endpoint: EndpointId) -> Option<usize> {
        self.affinity_endpoints.iter().position(|&id| id == endpoint)
    }

    /// Returns the number of attempts that may have reached an endpoint.
    pub(super) fn attempts(&self) -> u32 {
        self.requested_attempts - self.unsent_attempts
    }
}
