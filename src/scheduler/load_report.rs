//! Load reports of endpoints, and the health checks that fetch them when responses carry too few.

use super::Scheduler;
use super::action::Action;
use super::decaying_average::{DecayingAverage, FLEET_SAMPLE_WEIGHT};
use super::endpoint::{EndpointState, Pool};
use super::event::LoadReport;
use super::hashing::unit_hash;
use super::ids::{EndpointId, Micros, RequestId};

/// How long a load report is valid; every endpoint renews its report at least this often.
pub(super) const LOAD_REPORT_LIFETIME: Micros = 1_000_000;
/// Mean microseconds between health checks of one decode endpoint, over all replicas together.
const FLEET_HEALTH_CHECK_INTERVAL_US: f64 = 350_000.0;
/// How long a request waits for load reports: two round trips and a handshake, short compared with any
/// objective.
const QUEUE_QUERY_TIMEOUT: Micros = 15_000;
/// Largest memory utilization accepted from a report; above 1 because some endpoints include requests that
/// have not arrived yet.
const MAX_REPORTED_UTILIZATION: f64 = 2.0;

impl Scheduler {
    /// Records a load report; implausible values are clamped or ignored.
    pub(super) fn record_load_report(&mut self, now: Micros, id: EndpointId, report: Option<&LoadReport>) {
        let Some(report) = report else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        if let Some(tokens) = report.queued_prefill_tokens {
            endpoint.queued_prefill_tokens = tokens.max(0.0).min(endpoint.memory_tokens);
            endpoint.queue_reported_at = now;
        }
        if let Some(utilization) = report.memory_utilization {
            self.record_memory_utilization(now, id, utilization);
        }
    }

    /// Derives the tokens of other replicas' requests: the memory in use minus this replica's own streams.
    fn record_memory_utilization(&mut self, now: Micros, id: EndpointId, utilization: f64) {
        if !(0.0..=MAX_REPORTED_UTILIZATION).contains(&utilization) {
            return;
        }
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        if endpoint.pool() == Pool::Prefill || !endpoint.memory_tokens.is_finite() {
            return;
        }
        let streaming = self.own_streams(endpoint).filter(|request| request.is_streaming());
        let own_tokens: f64 = streaming.map(|request| request.footprint_tokens).sum();
        let external_tokens = (utilization * endpoint.memory_tokens - own_tokens).max(0.0);
        let external_fraction = external_tokens / endpoint.memory_tokens.max(1.0);
        self.estimates.external_fraction +=
            FLEET_SAMPLE_WEIGHT * (external_fraction - self.estimates.external_fraction);
        if let Some(reporter) = self.endpoints.get_mut(&id) {
            reporter.external_tokens = Some(DecayingAverage::new(now, external_tokens));
        }
    }

    /// Checks the decode endpoints that are due. Intervals are random to spread the checks of one replica and
    /// of all replicas over time. The first interval of an endpoint starts without a check.
    pub(super) fn send_health_checks(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let enabled = self.settings.capabilities.health_checks;
        if !enabled || self.requests.is_empty() || self.receives_enough_reports(now, Pool::Decode) {
            return;
        }
        let mean_interval = FLEET_HEALTH_CHECK_INTERVAL_US * f64::from(self.settings.replicas);
        let due = |endpoint: &&mut EndpointState| {
            endpoint.pool() == Pool::Decode && endpoint.is_ready() && now >= endpoint.health_check_at
        };
        for endpoint in self.endpoints.values_mut().filter(due) {
            let is_first = endpoint.health_check_at == 0;
            if !is_first {
                actions.push(Action::HealthCheck(endpoint.id));
            }
            let draw = unit_hash(endpoint.id.0, now as u64 ^ self.seed) + if is_first { 0.0 } else { 0.5 };
            endpoint.health_check_at = now.saturating_add((mean_interval * draw) as Micros);
        }
    }

    /// Queries the queue lengths of a new request's prefill endpoints and lets the request wait for the
    /// answers.
    pub(super) fn query_prefill_queues(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let enabled = self.settings.capabilities.health_checks;
        if !enabled || self.receives_enough_reports(now, Pool::Prefill) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.load_reports_awaited_until = now + QUEUE_QUERY_TIMEOUT;
        for endpoint_id in &request.affinity_endpoints {
            if let Some(endpoint) = self.endpoints.get_mut(endpoint_id) {
                endpoint.health_check_at = now;
            }
            actions.push(Action::HealthCheck(*endpoint_id));
        }
    }

    /// Returns whether the responses to this replica's own requests bring load reports from each endpoint of
    /// the pool as often as the endpoints renew them.
    fn receives_enough_reports(&self, now: Micros, pool: Pool) -> bool {
        let reports_per_lifetime = self.arrival_rate_per_endpoint(now, pool) * LOAD_REPORT_LIFETIME as f64;
        self.settings.replicas < 2 || reports_per_lifetime > 1.0
    }
}
