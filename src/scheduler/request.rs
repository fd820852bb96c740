//! The state of one request, from its arrival to its last event.

use super::event::RequestSpec;
use super::ids::{CellId, EndpointId, Micros, RequestId, ZoneId};
use super::queue::{QueueEntry, Tier};
use super::settings::RequestClass;

/// Share of the most output tokens that is expected where the request has no hint.
const EXPECTED_OUTPUT_SHARE: f64 = 0.3;

/// Where a request stands.
///
/// `Queued` goes to `Prefilling`, or to `Decoding` at an endpoint that prefills by itself; a prefill ends in
/// `Prefilled`, and that goes to `Decoding`. When an attempt fails, the request returns to `Prefilled` if its
/// KV cache is still of use, else to `Queued`. A stream mostly ends with the request.
#[derive(Clone, Copy)]
pub(super) enum RequestState {
    /// Waits in a tier of the queue.
    Queued(Tier),
    /// Its prompt is being prefilled at an endpoint.
    Prefilling {
        /// Which endpoint.
        prefill_endpoint: EndpointId,
    },
    /// Its KV cache waits at a prefill endpoint, and no attempt is in flight.
    Prefilled(CacheReservation),
    /// Sent to a decode endpoint: with the reserved KV cache, or without one to be prefilled there.
    Decoding(Option<CacheReservation>),
    /// The first token is out; the reservation as before.
    Streaming(Option<CacheReservation>),
}

/// A KV cache that is reserved at a prefill endpoint.
#[derive(Clone, Copy)]
pub(super) struct CacheReservation {
    pub(super) prefill_endpoint: EndpointId,
    /// Since when it waits with no attempt in flight.
    pub(super) reserved_since: Micros,
    /// Decode endpoints that stayed silent when sent this KV cache.
    pub(super) failed_transfers: u32,
}

impl CacheReservation {
    /// A KV cache that waits from now on.
    pub(super) fn new(prefill_endpoint: EndpointId, now: Micros) -> Self {
        CacheReservation { prefill_endpoint, reserved_since: now, failed_transfers: 0 }
    }
}

/// An attempt that may have executed the request.
#[derive(Clone, Copy)]
pub(super) struct PossibleExecution {
    /// Where; none if the endpoint had left the list. It is kept here, as the endpoint may leave later.
    pub(super) site: Option<ExecutionSite>,
    /// When the attempt was sent.
    pub(super) sent_at: Micros,
}

/// The parts of the fleet that drop duplicates together.
#[derive(Clone, Copy)]
pub(super) struct ExecutionSite {
    pub(super) zone: ZoneId,
    pub(super) cell: CellId,
}

/// An endpoint that this replica could not send to.
#[derive(Clone, Copy)]
pub(super) struct LocallyUnreachable {
    pub(super) endpoint: EndpointId,
    /// Until when other endpoints are tried first.
    pub(super) until: Micros,
}

/// A request that has had no final answer, or whose last attempt has not ended.
pub(super) struct Request {
    pub(super) spec: RequestSpec,
    pub(super) state: RequestState,
    /// When its first token is due, and when the client gives up.
    pub(super) objective_at: Micros,
    pub(super) deadline: Micros,
    /// Expected tokens of the answer.
    pub(super) expected_output_tokens: f64,
    /// Expected KV cache memory, in tokens: the prompt and the answer.
    pub(super) footprint_tokens: f64,
    /// Wanted microseconds between tokens.
    pub(super) inter_token_objective: f64,
    /// Beyond its tenant's quota, so that it always waits in the lower tier.
    pub(super) over_quota: bool,

    /// Attempts ordered, and those of them that this replica never sent.
    pub(super) ordered_attempts: u32,
    pub(super) unsent_attempts: u32,
    /// When the last attempt was sent or, once it streams, its first token came.
    pub(super) last_progress_at: Micros,
    /// The first attempt that may have executed the request.
    pub(super) possible_execution: Option<PossibleExecution>,
    pub(super) locally_unreachable: Option<LocallyUnreachable>,
    /// The cell of the decode endpoint that last stayed silent.
    pub(super) silent_cell: Option<CellId>,
    /// The client has left; only the outcome of the last attempt is awaited.
    pub(super) disconnected: bool,

    /// The prefill endpoints that its prefix has an affinity to, best first.
    pub(super) affinity_endpoints: Vec<EndpointId>,
    /// The decode endpoint that counts it as a stream.
    pub(super) decode_endpoint: Option<EndpointId>,
    /// The tier that it was last admitted from.
    pub(super) admitted_from: Tier,
    /// Prompt tokens to prefill at the last admission.
    pub(super) uncached_tokens: f64,
    /// Tokens in this replica's prefills at its prefill endpoint when it was sent, its own included.
    pub(super) prefill_load_tokens: f64,
    /// Until when it waits for the load reports of its prefill endpoints.
    pub(super) load_reports_awaited_until: Micros,
}

impl Request {
    /// A request that arrives now; it has yet to be queued.
    pub(super) fn new(now: Micros, spec: &RequestSpec, class: &RequestClass, over_quota: bool) -> Self {
        let inter_token_objective = class.inter_token_objective.max(1) as f64;
        let hinted = spec.stream_duration_hint.map(|hint| hint as f64 / inter_token_objective);
        let expected_output_tokens = hinted
            .map_or(spec.max_output_tokens * EXPECTED_OUTPUT_SHARE, |tokens| {
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
            ordered_attempts: 0,
            unsent_attempts: 0,
            last_progress_at: 0,
            possible_execution: None,
            locally_unreachable: None,
            silent_cell: None,
            disconnected: false,
            affinity_endpoints: Vec::new(),
            decode_endpoint: None,
            admitted_from: Tier::Objective,
            uncached_tokens: 0.0,
            prefill_load_tokens: 0.0,
            load_reports_awaited_until: 0,
        }
    }

    /// Its entry in the queue.
    pub(super) fn queue_entry(&self) -> QueueEntry {
        QueueEntry { objective_at: self.objective_at, request: self.spec.id }
    }

    pub(super) fn id(&self) -> RequestId {
        self.spec.id
    }

    /// Whether it waits here, with no attempt in flight.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.state, RequestState::Queued(_) | RequestState::Prefilled(_))
    }

    /// Whether its prompt is being prefilled by an attempt of its own.
    pub(super) fn is_prefilling(&self) -> bool {
        matches!(self.state, RequestState::Prefilling { .. })
    }

    /// Whether an answer is being streamed.
    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.state, RequestState::Streaming(_))
    }

    /// Its reserved KV cache, where there is one.
    pub(super) fn reservation(&self) -> Option<CacheReservation> {
        match self.state {
            RequestState::Prefilled(reservation) => Some(reservation),
            RequestState::Decoding(reservation) | RequestState::Streaming(reservation) => reservation,
            RequestState::Queued(_) | RequestState::Prefilling { .. } => None,
        }
    }

    /// The reservation for an update in place.
    pub(super) fn reservation_mut(&mut self) -> Option<&mut CacheReservation> {
        match &mut self.state {
            RequestState::Prefilled(reservation) => Some(reservation),
            RequestState::Decoding(reservation) | RequestState::Streaming(reservation) => {
                reservation.as_mut()
            }
            RequestState::Queued(_) | RequestState::Prefilling { .. } => None,
        }
    }

    /// The first token is out. A prefill endpoint that streams the answer by itself, against its role, counts
    /// as one with a reservation.
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

    /// The endpoint that prefills its prompt or has its KV cache.
    pub(super) fn prefill_endpoint(&self) -> Option<EndpointId> {
        match self.state {
            RequestState::Prefilling { prefill_endpoint } => Some(prefill_endpoint),
            _ => self.reservation().map(|reservation| reservation.prefill_endpoint),
        }
    }

    /// Rank of an endpoint in the affinity order of its prefix.
    pub(super) fn affinity_rank(&self, endpoint: EndpointId) -> Option<usize> {
        self.affinity_endpoints.iter().position(|&id| id == endpoint)
    }

    /// Attempts that endpoints may have seen.
    pub(super) fn attempts(&self) -> u32 {
        self.ordered_attempts - self.unsent_attempts
    }
}
