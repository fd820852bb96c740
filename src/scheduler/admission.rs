//! The two tiers and the test by which a held request is admitted.

use super::*;

const WINDOW: usize = 4; // of the high tier's first are drawn from: enough to pass a head that does not fit
const LOOKS: usize = 128; // of each tier's first are looked at in full each time: far above a usual backlog
const PACE_BOUND: f64 = 0.9; // share of the wanted pace in use: lengths are guesses and the curve lags
const MEMORY_BOUND: f64 = 0.9; // share of a decode endpoint's memory: past it the newest answer is read anew
const LENGTH_GUESS: f64 = 0.3; // share of the most tokens taken as the answer's length without a hint
const QUOTA_SLACK: f64 = 1.25; // multiple of an even part of a quota let through: traffic is not even
const QUOTA_BURST: f64 = 2e6; // of quota that may be used at once

impl Scheduler {
    pub(super) fn arrive(&mut self, now: Micros, spec: &RequestSpec, out: &mut Vec<Action>) {
        let local = self.settings.capabilities.local_prefill;
        let both = |k: &EndpointKind| k.role == Role::Mixed || (k.role == Role::Decode && local);
        let able = self.settings.capabilities.max_attempts >= 2 || self.settings.kinds.iter().any(both);
        let refusal = Action::Reject { request: spec.id, retry_after: None };
        let class = self.settings.classes.get(spec.class.0).filter(|_| able);
        let Some(class) = class else { return out.push(refusal) };
        let inter_token_objective = class.inter_token_objective.max(1) as f64;
        let hint = spec
            .stream_duration_hint
            .map(|hint| (hint as f64 / inter_token_objective).min(spec.max_output_tokens));
        let tokens = hint.unwrap_or(spec.max_output_tokens * LENGTH_GUESS).max(1.0);
        let stretch = (class.objective_per_1000_prompt_tokens as f64 * spec.prompt_tokens / 1000.0) as Micros;
        let objective_at =
            now.saturating_add(class.first_token_objective.saturating_add(stretch).min(spec.client_timeout));
        if !spec.is_retry {
            self.arrivals.count(now);
        }
        let gain = if self.footprint > 0.0 { FLEET_GAIN } else { 1.0 };
        self.footprint += gain * (spec.prompt_tokens + tokens - self.footprint);
        let request = Request {
            spec: spec.clone(),
            objective_at,
            deadline: now.saturating_add(spec.client_timeout),
            tokens,
            footprint: spec.prompt_tokens + tokens,
            inter_token_objective,
            over_share: spec.tenant.is_some_and(|t| self.over_quota(now, t)),
            ..Request::default()
        };
        self.requests.insert(spec.id, request);
        self.hold(spec.id);
        self.ask_prefill(now, spec.id, out);
    }

    /// Whether this request goes beyond this router's part of its tenant's quota.
    fn over_quota(&mut self, now: Micros, tenant: TenantId) -> bool {
        let Some(quota) = self.quotas.get_mut(tenant.0) else { return false };
        let per_us = self.settings.tenants[tenant.0].quota_per_s * QUOTA_SLACK
            / f64::from(self.settings.replicas)
            / 1e6;
        let most = (per_us * QUOTA_BURST).max(1.0);
        *quota =
            DecayingAverage { value: (quota.value + per_us * (now - quota.at) as f64).min(most), at: now };
        let within = quota.value >= 1.0;
        quota.value -= if within { 1.0 } else { 0.0 };
        !within
    }

    /// Puts a request into its tier: high, or low for what is beyond its tenant's share.
    pub(super) fn hold(&mut self, id: RequestId) {
        self.unplace(id);
        let Some(r) = self.requests.get(&id) else { return };
        let preferred =
            self.prefix_affinity_order(r, |h| h.phase == Lifecycle::Ready).iter().map(|h| h.id).collect();
        let Some(r) = self.requests.get_mut(&id) else { return };
        (r.prefill, r.preferred, r.late, r.stuck) = (None, preferred, false, 0);
        r.stage = if r.over_share { Stage::Low } else { Stage::High };
        let tier = if r.over_share { &mut self.low } else { &mut self.high };
        tier.insert((r.objective_at, id));
    }

    /// Drops the hopeless to the low tier and gives up on what can no longer be served.
    pub(super) fn sort_tiers(&mut self, now: Micros, out: &mut Vec<Action>) {
        let first = self.quickest(false, |h| self.first_token_time(now, h));
        for low in [false, true] {
            // Only each tier's first are asked for their reads, to bound the work; the clock is, for all.
            let late = |(rank, (_, id)): &(usize, &(Micros, RequestId))| {
                let r = &self.requests[id];
                let read = || self.quickest(true, |h| self.prefill_time(now, h, r)) + first;
                let start = now.saturating_add(if *rank < LOOKS { read() as Micros } else { 0 });
                let limit = if low { r.deadline - ANSWER_MARGIN } else { r.objective_at };
                start > limit || !self.may_run_anywhere(now, *id)
            };
            let tier = if low { &self.low } else { &self.high };
            let hopeless: Vec<_> = tier.iter().enumerate().filter(late).map(|(_, &key)| key).collect();
            for key in hopeless {
                if low {
                    self.finish_unserved(key.1, out);
                } else if self.high.remove(&key) && self.low.insert(key) {
                    self.requests.entry(key.1).and_modify(|r| r.stage = Stage::Low);
                }
            }
        }
    }

    /// Draws from the high tier's first few and admits what passes; the low tier goes when it is empty.
    pub(super) fn admit(&mut self, now: Micros, out: &mut Vec<Action>) {
        loop {
            let mut window: Vec<_> = self.high.iter().take(WINDOW).copied().collect();
            let dice = |key: &(Micros, RequestId)| unit_hash(now as u32, key.1.0 ^ self.salt);
            window.sort_by(|a, b| dice(a).total_cmp(&dice(b)));
            window.retain(|key| now >= self.requests[&key.1].asked_until);
            let passes = |key: &(Micros, RequestId)| Some((*key, self.pair(now, key.1, true)?));
            let Some((key, (prefill, decode))) = window.iter().find_map(passes) else { break };
            self.high.remove(&key);
            self.start(now, key.1, prefill, decode, out);
        }
        // Late reads make the next late: of the low tier one at a time.
        let low_reads = |r: &Request| r.from_low && matches!(r.stage, Stage::Prefilling | Stage::Decoding);
        if self.high.is_empty()
            && !self.requests.values().any(low_reads)
            && let Some(&key) = self.low.first()
            && let Some((prefill, decode)) = self.pair(now, key.1, false)
        {
            self.low.remove(&key);
            self.start(now, key.1, prefill, decode, out);
        }
    }

    /// Admits a request: the decode endpoint counts it from now on, and its prompt is read.
    fn start(
        &mut self, now: Micros, id: RequestId, prefill: Option<EndpointId>, decode: EndpointId,
        out: &mut Vec<Action>,
    ) {
        self.place(id, decode);
        let unread = self.unread_at(&self.endpoints[&prefill.unwrap_or(decode)], &self.requests[&id]);
        self.requests.entry(id).and_modify(|r| (r.from_low, r.unread) = (r.stage == Stage::Low, unread));
        let Some(prefill) = prefill else { return self.send_decode(now, id, decode, out) };
        let (r, endpoint) = (&self.requests[&id], &self.endpoints[&prefill]);
        // What is not kept there after all takes longer, and is no silence.
        let cold = (r.spec.prompt_tokens - unread).max(0.0) * self.prefill_cost_per_token;
        let expected = self.prefill_time(now, endpoint, r) + cold;
        let read =
            (Stage::Prefilling, Some(prefill), self.reading(endpoint) + unread + PREFILL_OVERHEAD_TOKENS);
        self.requests.entry(id).and_modify(|r| (r.stage, r.prefill, r.read_load) = read);
        self.send(now, id, prefill, expected, out);
    }

    /// The test: `None` unless the endpoint keeps the pace of all, has memory, and the first token comes in
    /// time.
    /// The figure is the room that would be left, as a share; without a time it is all that counts.
    pub(super) fn room(
        &self, now: Micros, r: &Request, endpoint: &EndpointState, ready_in: Option<f64>,
    ) -> Option<f64> {
        let joins = !endpoint.streams.contains(&r.spec.id);
        let load = self.load(now, endpoint) + if joins { 1.0 } else { 0.0 };
        let pace =
            self.curves[endpoint.kind.0].pace(load) / endpoint.warmup_factor(now, &self.settings.rules);
        let strictest =
            endpoint.streams.iter().filter_map(|id| self.requests.get(id)).map(|s| s.inter_token_objective);
        let slow = pace / (strictest.fold(r.inter_token_objective, f64::min) * PACE_BOUND);
        let adds = if joins { r.footprint } else { 0.0 };
        let held = self.own_tokens(endpoint, |_| true) + adds + self.external_tokens_at(now, endpoint);
        let full = held / (endpoint.memory * MEMORY_BOUND).max(1.0);
        if let Some(ready_in) = ready_in {
            let start = now.saturating_add((ready_in + self.first_token_time(now, endpoint)) as Micros);
            let limit = if r.stage == Stage::Low || r.late { r.deadline } else { r.objective_at };
            if slow > 1.0 || full > 1.0 || start > limit {
                return None;
            }
        }
        Some(1.0 - slow.max(full).min(1e6))
    }

    /// All streams at a decode endpoint: the own, and others' by the memory that they hold.
    pub(super) fn load(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        endpoint.streams.len() as f64 + self.external_tokens_at(now, endpoint) / self.footprint.max(1.0)
    }

    /// Tokens that own requests at a decode endpoint hold, or will.
    pub(super) fn own_tokens(&self, endpoint: &EndpointState, of: impl Fn(&Request) -> bool) -> f64 {
        let own = endpoint.streams.iter().filter_map(|id| self.requests.get(id));
        own.filter(|r| of(r)).map(|r| r.footprint).sum()
    }

    /// Tokens that others hold at a decode endpoint: its last report, fading towards the mean of all.
    fn external_tokens_at(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let mean = if endpoint.memory.is_finite() { self.external_share * endpoint.memory } else { 0.0 };
        endpoint.external_tokens.map_or(mean, |o| o.get(now, mean))
    }

    /// Time until a first token at a decode endpoint; an attempt waiting longer than that speaks too.
    pub(super) fn first_token_time(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        endpoint
            .first_token_latency
            .get(now, self.first_token_latency.value)
            .max(endpoint.oldest_pending(now))
    }
}
