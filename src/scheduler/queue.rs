//! The queue: two tiers of requests that wait to be admitted.

use std::collections::BTreeSet;

use super::Scheduler;
use super::action::Action;
use super::endpoint::{EndpointState, Pool};
use super::ids::{EndpointId, Micros, RequestId};
use super::request::{Request, RequestState};
use super::retry::FINAL_ANSWER_MARGIN;

/// Requests of each tier whose prefill time is estimated in each round: far above a usual queue, and it
/// bounds the work. For those behind them only the clock counts.
const MAX_ESTIMATES: usize = 128;

/// The tier that a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tier {
    /// Its first token can come within the objective; admitted first, by a test.
    Objective,
    /// It is past its objective or over its quota; admitted without a test when the other tier is empty.
    BestEffort,
}

/// A waiting request. The order is that of the objectives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueEntry {
    pub(super) objective_at: Micros,
    pub(super) request: RequestId,
}

/// Both tiers.
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

    /// Takes an entry out of a tier.
    pub(super) fn remove(&mut self, tier: Tier, entry: &QueueEntry) {
        self.tier_mut(tier).remove(entry);
    }

    /// Takes an entry out of whichever tier it is in.
    pub(super) fn remove_from_all(&mut self, entry: &QueueEntry) {
        self.objective.remove(entry);
        self.best_effort.remove(entry);
    }

    /// Moves an entry to the lower tier; whether it was there to be moved.
    fn demote(&mut self, entry: QueueEntry) -> bool {
        self.objective.remove(&entry) && self.best_effort.insert(entry)
    }
}

impl Scheduler {
    /// Puts a request into its tier, to be prefilled anew.
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

    /// Moves requests that will miss their objective to the lower tier, and answers those that will miss
    /// their deadline too.
    pub(super) fn update_tiers(&mut self, now: Micros, out: &mut Vec<Action>) {
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
            self.finish_unserved(entry.request, out);
        }
    }

    /// The tier's requests that can no longer be served in its time, or not at all.
    fn overdue(&self, now: Micros, tier: Tier, first_token_time: f64) -> Vec<QueueEntry> {
        let is_overdue = |rank: usize, request: &Request| {
            let time_needed = if rank < MAX_ESTIMATES {
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
            now.saturating_add(time_needed) > limit || !self.may_run_anywhere(now, request.id())
        };
        let entries = self.queue.tier(tier).iter().enumerate();
        let overdue = entries.filter(|(rank, entry)| is_overdue(*rank, &self.requests[&entry.request]));
        overdue.map(|(_, &entry)| entry).collect()
    }
}
