//! What is known of the endpoints: the list, their reports, and how attempts there went.

use super::*;

const COST_RISE: f64 = 0.1; // ...and most of its rise that a slower one is believed: it has waited, too
const HOST_GAIN: f64 = 0.25; // weight of a new sample in an endpoint's mean: a few requests tell
const CELL_SLACK: f64 = 1.15; // of a cell's part of the states that its decode endpoints take alone
/// Weight of a decode endpoint whose cell has none to spare, against an idle one.
const SPARE_LEAST: f64 = 0.05;
const KEPT_MOST: usize = 2_000; // texts remembered as cached_tokens at one endpoint: bounds the memory used
/// For which an endpoint rests after a failure, doubling with each further one....
const REST: Micros = 250_000;
const REST_MOST: Micros = 2_000_000; // ...up to this, so that it is soon found when it is back
const FAILS_RESTART: u32 = 3; // failures in a row after which an endpoint that works again is taken for cold
/// Between the fleet's probes of a decode endpoint, which take turns by chance.
const PROBE_EACH: f64 = 350_000.0;
const SEEN_LEAST: f64 = 0.1; // part of a whole view of the arrivals that is believed: a second's worth
const ASK_WAIT: Micros = 15_000; // for an answer: two ways and a handshake, little against any aim

impl Scheduler {
    /// Rule 3: an endpoint that drains or is gone is out of all choices from this moment on.
    pub(super) fn endpoints_changed(&mut self, now: Micros, whole: bool, members: &[EndpointUpdate]) {
        if whole {
            let named: BTreeSet<_> = members.iter().map(|m| m.endpoint).collect();
            let gone = self.endpoints.iter_mut().filter(|(id, _)| !named.contains(id));
            gone.for_each(|(_, endpoint)| endpoint.phase = Lifecycle::Removed);
        }
        for m in members {
            let Some(kind) = self.settings.kinds.get(m.kind.0) else { continue };
            let endpoint = self.endpoints.entry(m.endpoint).or_insert_with(|| EndpointState {
                id: m.endpoint,
                zone: m.zone,
                cell: m.cell,
                kind: m.kind,
                role: kind.role,
                memory: kind.memory_tokens.unwrap_or(f64::INFINITY),
                ..EndpointState::default()
            });
            endpoint.phase = m.lifecycle;
            if m.started_at > endpoint.started {
                endpoint.started = m.started_at;
                endpoint.cached_prefixes.clear();
                self.start_slowly(now, m.endpoint);
            }
        }
        // What is gone is forgotten once nothing is out there: a long day brings ever new endpoints.
        self.endpoints
            .retain(|_, h| h.phase != Lifecycle::Removed || !h.streams.is_empty() || !h.pending.is_empty());
        self.serving = (self.serving(true).count(), self.serving(false).count());
        self.update_cell_shares();
    }

    /// What each cell's decode endpoints can take of its own prefill endpoints' states and of others', by the
    /// list.
    fn update_cell_shares(&mut self) {
        let mut cells: BTreeMap<CellId, (f64, f64)> = BTreeMap::new();
        self.serving(true).for_each(|h| cells.entry(h.cell).or_default().0 += 1.0);
        self.serving(false).for_each(|h| cells.entry(h.cell).or_default().1 += 1.0);
        let (prefill, decode) = cells.values().fold((0.0, 0.0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
        for h in self.endpoints.values_mut() {
            let (near, at) = cells.get(&h.cell).copied().unwrap_or_default();
            let share = (at / f64::max(decode, 1.0)) / (near / f64::max(prefill, 1.0)).max(1e-9);
            h.local_capacity_ratio = CELL_SLACK * share;
            h.remote_capacity_weight = (1.0 - 1.0 / share.max(1e-9)).max(SPARE_LEAST);
        }
    }

    /// The running prefill endpoints, or all others that run.
    pub(super) fn serving(&self, prefill: bool) -> impl Iterator<Item = &EndpointState> {
        self.endpoints
            .values()
            .filter(move |h| (h.role == Role::Prefill) == prefill && h.phase == Lifecycle::Ready)
    }

    /// The shortest of the times that `of` gives for running endpoints; zero if there are none.
    pub(super) fn quickest(&self, prefill: bool, of: impl Fn(&EndpointState) -> f64) -> f64 {
        self.serving(prefill).map(of).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Whether an endpoint may be sent this now, as far as this router knows.
    pub(super) fn takes(&self, now: Micros, endpoint: &EndpointState, r: &Request) -> bool {
        endpoint.phase == Lifecycle::Ready
            && self.may_run_at(now, r, endpoint.id)
            && now >= endpoint.ejected_until.max(endpoint.transfer_stalled_until)
            && r.avoided.is_none_or(|(at, until)| at != endpoint.id || now >= until)
            && (endpoint.consecutive_failures == 0 || endpoint.pending.is_empty())
            && endpoint.backpressure_until.get(&(r.spec.class, r.spec.tenant)).is_none_or(|&at| now >= at)
            && (endpoint.warmup_factor(now, &self.settings.rules) >= 1.0
                || self.slow_start_budget(now, endpoint) >= 1.0)
    }

    /// What comes in here, a microsecond, for each prefill endpoint or each decode endpoint.
    pub(super) fn own_rate(&self, now: Micros, prefill: bool) -> f64 {
        let seen = 1.0 - 0.5f64.powf((now - self.since.unwrap_or(now)) as f64 / HALF_LIFE);
        let rate = self.arrivals.get(now, 0.0) / seen.max(SEEN_LEAST) / HALF_LIFE;
        rate / (if prefill { self.serving.0 } else { self.serving.1 }).max(1) as f64
    }

    /// Whether own requests bring reports from each such endpoint as often as these are made anew.
    fn hears(&self, now: Micros, prefill: bool) -> bool {
        self.settings.replicas < 2 || self.own_rate(now, prefill) * REPORT as f64 > 1.0
    }

    /// What others hold of a decode endpoint's memory, from its report; absurd reports are passed over.
    pub(super) fn report(&mut self, now: Micros, at: EndpointId, load: Option<&LoadReport>) {
        if let (Some(endpoint), Some(tokens)) =
            (self.endpoints.get_mut(&at), load.and_then(|l| l.queued_prefill_tokens))
        {
            (endpoint.queued_prefill_tokens, endpoint.queue_reported_at) =
                (tokens.max(0.0).min(endpoint.memory), now);
        }
        let endpoint = self.endpoints.get(&at).filter(|h| h.role != Role::Prefill && h.memory.is_finite());
        let share = load.and_then(|load| load.memory_utilization).filter(|share| (0.0..=2.0).contains(share));
        let (Some(endpoint), Some(share)) = (endpoint, share) else { return };
        let others =
            (share * endpoint.memory - self.own_tokens(endpoint, |r| r.stage == Stage::Streaming)).max(0.0);
        self.external_share += FLEET_GAIN * (others / endpoint.memory.max(1.0) - self.external_share);
        self.endpoints
            .entry(at)
            .and_modify(|h| h.external_tokens = Some(DecayingAverage { value: others, at: now }));
    }

    /// Asks the decode endpoints how much others hold there, where own streams tell this router too seldom.
    pub(super) fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.settings.capabilities.health_checks || self.requests.is_empty() || self.hears(now, false) {
            return;
        }
        let every = PROBE_EACH * f64::from(self.settings.replicas);
        let due = |h: &&mut EndpointState| {
            h.role != Role::Prefill && h.phase == Lifecycle::Ready && now >= h.probe_at
        };
        for endpoint in self.endpoints.values_mut().filter(due) {
            let first = endpoint.probe_at == 0;
            out.extend((!first).then_some(Action::HealthCheck(endpoint.id)));
            // By chance, lest all are asked at once for ever, or by all routers at the start.
            let draw = unit_hash(endpoint.id.0, now as u64 ^ self.salt) + if first { 0.0 } else { 0.5 };
            endpoint.probe_at = now.saturating_add((every * draw) as Micros);
        }
    }

    /// Asks a prompt's first prefill endpoints how much waits there, where own reads tell this router too
    /// seldom.
    pub(super) fn ask_prefill(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        if !self.settings.capabilities.health_checks || self.hears(now, true) {
            return;
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.asked_until = now + ASK_WAIT;
        for &at in &r.preferred {
            self.endpoints.entry(at).and_modify(|h| h.probe_at = now);
            out.push(Action::HealthCheck(at));
        }
    }

    /// A first token took this long, or longer when the attempt timed out.
    pub(super) fn first_token(&mut self, now: Micros, at: EndpointId, took: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&at) else { return };
        endpoint.first_token_latency.learn(now, self.first_token_latency.value, took as f64, HOST_GAIN);
        self.first_token_latency.follow(now, took as f64);
    }

    pub(super) fn served(&mut self, now: Micros, id: RequestId, at: EndpointId) {
        self.worked(now, at);
        let streamed = self.requests.get(&id).filter(|r| r.stage == Stage::Streaming);
        let (Some(r), Some(endpoint)) = (streamed, self.endpoints.get(&at)) else { return };
        let load = self.load(now, endpoint);
        self.curves[endpoint.kind.0].learn(load, r.tokens, (now - r.begun) as f64);
    }

    /// A read took this long, or longer, for all the own tokens up to it. What it took beyond them was a wait
    /// for others' reads, which a longer prompt would not have had to pay again.
    pub(super) fn read_took(
        &mut self, now: Micros, id: RequestId, at: EndpointId, unread: f64, took: Micros,
    ) {
        let Some(r) = self.requests.get(&id) else { return };
        self.learn_prefill_time(
            now,
            at,
            (r.read_load - r.unread + unread).max(PREFILL_OVERHEAD_TOKENS),
            took as f64,
        );
    }

    pub(super) fn learn_prefill_time(&mut self, now: Micros, at: EndpointId, tokens: f64, took: f64) {
        let Some(endpoint) = self.endpoints.get_mut(&at) else { return };
        let warmup_factor = endpoint.warmup_factor(now, &self.settings.rules);
        let cost = took * warmup_factor / tokens;
        self.prefill_cost_per_token +=
            HOST_GAIN * (cost - self.prefill_cost_per_token).min(COST_RISE * self.prefill_cost_per_token);
        let wait = (took - tokens * self.prefill_cost_per_token / warmup_factor).max(0.0);
        endpoint.prefill_wait.learn(now, self.prefill_wait.value, wait, HOST_GAIN);
        self.prefill_wait.follow(now, wait);
    }

    pub(super) fn was_read(
        &mut self, now: Micros, id: RequestId, at: EndpointId, cached_tokens: f64, took: Micros,
    ) {
        self.worked(now, at);
        let Some(r) = self.requests.get(&id) else { return };
        if let Some(rank) = r.preferred.iter().position(|&h| h == at && r.spec.prefix.is_some()) {
            let share = (cached_tokens / r.spec.prefix_tokens.max(1.0)).min(1.0);
            self.cache_hit_ratio[rank] += FLEET_GAIN * (share - self.cache_hit_ratio[rank]);
        }
        self.read_took(now, id, at, (r.spec.prompt_tokens - cached_tokens).max(0.0), took);
        let (Some(r), Some(endpoint)) = (self.requests.get(&id), self.endpoints.get_mut(&at)) else { return };
        // Kept texts went void: believe none of them until they are read again.
        if cached_tokens < Self::known_at(endpoint, r) / 2.0 || endpoint.cached_prefixes.len() >= KEPT_MOST {
            endpoint.cached_prefixes.clear();
        }
        endpoint.cached_prefixes.extend(r.spec.prefix.map(|key| (key, r.spec.prefix_tokens)));
        endpoint.cached_prefixes.extend(r.spec.session.map(|key| (key, r.spec.prompt_tokens)));
    }

    /// A failure rests the endpoint, longer each time; one of many sent before it counts no further.
    pub(super) fn failed(&mut self, now: Micros, at: EndpointId, sent_at: Micros, out: &mut Vec<Action>) {
        let counts = |endpoint: &&mut EndpointState| {
            endpoint.consecutive_failures == 0 || sent_at >= endpoint.failed_at
        };
        let Some(endpoint) = self.endpoints.get_mut(&at).filter(counts) else { return };
        (endpoint.consecutive_failures, endpoint.failed_at) = (endpoint.consecutive_failures + 1, now);
        endpoint.ejected_until = now + (REST << (endpoint.consecutive_failures - 1).min(10)).min(REST_MOST);
        let line = || Action::Log(format!("host {} fails again and again: single trials only", at.0));
        out.extend((endpoint.consecutive_failures == FAILS_RESTART).then(line));
    }

    /// An answer of any use ends the rest; after a long silence the endpoint is taken for cold.
    pub(super) fn worked(&mut self, now: Micros, at: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&at) else { return };
        let warm =
            endpoint.started.is_none_or(|s| s < endpoint.failed_at - self.settings.rules.slow_start_duration);
        if endpoint.consecutive_failures >= FAILS_RESTART && warm {
            endpoint.started = Some(now);
            self.start_slowly(now, at);
        }
        self.endpoints
            .entry(at)
            .and_modify(|h| (h.consecutive_failures, h.malformed, h.ejected_until) = (0, 0, now));
    }
}
