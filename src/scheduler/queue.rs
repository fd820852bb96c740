//! The queue: two tiers of requests waiting for admission.

use std::collections::BTreeSet;

use super::Scheduler;
use super::action::Action;
use super::endpoint::{EndpointState, Pool};
use super::ids::{EndpointId, Micros, RequestId};
use super::request::{Request, RequestState};
use super::retry::FINAL_ANSWER_MARGIN;

/// Number of requests per tier whose prefill time is estimated in each round. Bounds the work and is far
/// above the usual queue length; requests beyond it are only checked against the current time.
const MAX_PREFILL_ESTIMATES: usize = 128;

/// The queue tier of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tier {
    /// The first token can still meet the objective. Admitted first, subject to the capacity check.
    Objective,
    /// The objective cannot be met or the tenant's quota is exceeded. Admitted without a check when the
    /// objective tier is empty.
    BestEffort,
}

/// A queued request, ordered by its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueEntry {
    pub(super) objective_at: Micros,
    pub(super) request: RequestId,
}

/// The two tiers.
#[derive(Default)]
pub(super) struct Queue {
    objective: BTreeSet<QueueEntry>,
    best_effort: BTreeSet<QueueEntry>,
}

impl Queue {
    pub(super) fn tier(&self, tier: Tier) -> &BTreeSet<QueueEntry> {
        match tier {
            Tier::Objective => &self.objective,
            Tier::BestEffort => &self.best_effort,
        }
    }

    fn tier_mut(&mut self, tier: Tier) -> &mut BTreeSet<QueueEntry> {
        match tier {
            Tier::Objective => &mut self.objective,
            Tier::BestEffort => &mut self.best_effort,
        }
    }

    /// Removes an entry from a tier.
    pub(super) fn remove(&mut self, tier: Tier, entry: &QueueEntry) {
        self.tier_mut(tier).remove(entry);
    }

    /// Removes an entry from whichever tier contains it.
    pub(super) fn remove_from_all(&mut self, entry: &QueueEntry) {
        self.objective.remove(entry);
        self.best_effort.remove(entry);
    }

    /// Moves an entry to the best-effort tier. Returns whether it was moved.
    fn demote(&mut self, entry: QueueEntry) -> bool {
        self.objective.remove(&entry) && self.best_effort.insert(entry)
    }
}

impl Scheduler {
    /// Queues a request in its tier, to be prefilled again if it had been before.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        self.unassign_decode_endpoint(id);
        let affinity_endpoints = self.ready_affinity_endpoints(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let tier = if request.over_quota { Tier::BestEffort } else { Tier::Objective };
        request.affinity_endpoints = affinity_endpoints;
        request.state = RequestState::Queued(tier);
        self.queue.tier_mut(tier).insert(request.queue_entry());
    }

    fn ready_affinity_endpoints(&self, id: RequestId) -> Vec<EndpointId> {
        let Some(request) = self.requests.get(&id) else { return Vec::new() };
        let endpoints = self.prefix_affinity_order(request, EndpointState::is_ready);
        endpoints.iter().map(|endpoint| endpoint.id).collect()
    }

    /// Moves requests that cannot meet their objective to the best-effort tier, and gives a final answer to
    /// those that cannot meet their deadline either.
    pub(super) fn update_tiers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let first_token_time =
            self.shortest_time(Pool::Decode, |endpoint| self.first_token_time(now, endpoint));
        for entry in self.overdue(now, Tier::Objective, first_token_time) {
            if self.queue.demote(entry)
                && let Some(request) = self.requests.get_mut(&entry.request)
            {
                request.state = RequestState::Queued(Tier::BestEffort);
            }
        }
        for entry in self.overdue(now, Tier::BestEffort, first_token_time) {
            self.finish_unserved(entry.request, actions);
        }
    }

    /// Returns the requests of a tier that cannot be served within the tier's time limit, or not at all.
    fn overdue(&self, now: Micros, tier: Tier, first_token_time: f64) -> Vec<QueueEntry> {
        let is_overdue = |rank: usize, request: &Request| {
            let time_needed = if rank < MAX_PREFILL_ESTIMATES {
                let prefill_time =
                    self.shortest_time(Pool::Prefill, |endpoint| self.prefill_time(now, endpoint, request));
                (prefill_time + first_token_time) as Micros
            } else {
                0
            };
            let limit = match tier {
                Tier::Objective => request.objective_at,
                Tier::BestEffort => request.deadline - FINAL_ANSWER_MARGIN,
            };
            now.saturating_add(time_needed) > limit || !self.may_execute_anywhere(now, request.id())
        };
        let entries = self.queue.tier(tier).iter().enumerate();
        let overdue = entries.filter(|(rank, entry)| is_overdue(*rank, &self.requests[&entry.request]));
        overdue.map(|(_, &entry)| entry).collect()
    }
}
