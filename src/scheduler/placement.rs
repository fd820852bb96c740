//! Which endpoints a prompt and its state go to.

use super::*;

const CHOICE: f64 = 4.0; // power of a decode endpoint's room in its chance: most room mostly, but no herd
const STAY_LEAST: f64 = 0.5; // part of the reading that a prefill endpoint far from decode endpoints gets
const FAR_WEIGHT: f64 = 0.25; // chance of a decode endpoint in another zone: a crossing costs
const READ_MARGIN: f64 = 1.5; // of a read's expected time: others queue too, and the mean lags behind a jam
/// Share of the pin limit after which a state goes to a decode endpoint untested....
const READY_WAIT: f64 = 0.4;
const READY_MOST: f64 = 0.8; // ...after which it is let go...
pub(super) const READY_BEGIN: f64 = 0.9; // ...and by which what was sent in time must have begun

impl Scheduler {
    /// Prefill endpoint and decode endpoint for a held request, if any pass.
    pub(super) fn pair(
        &self, now: Micros, id: RequestId, tested: bool,
    ) -> Option<(Option<EndpointId>, EndpointId)> {
        let r = self.requests.get(&id)?;
        // The quickest preferred endpoint that passes; a read and a write must both be left.
        let most = self.settings.capabilities.max_attempts;
        let mut preferred =
            self.prefix_affinity_order(r, |h| r.attempts() + 2 <= most && self.takes(now, h, r));
        preferred.sort_by(|a, b| self.prefill_time(now, a, r).total_cmp(&self.prefill_time(now, b, r)));
        let paired = preferred.iter().find_map(|at| {
            let ready_in = tested.then(|| self.prefill_time(now, at, r) * READ_MARGIN);
            let pick = |far| self.choose_decode(now, r, Some(at), ready_in, |h| far != (h.cell == at.cell));
            // Exception: what a cell reads beyond what its decode endpoints can take is written elsewhere.
            let spills = unit_hash(at.id.0, r.spec.id.0) > at.local_capacity_ratio;
            Some((Some(at.id), pick(spills).or_else(|| pick(!spills))?))
        });
        // Exception: where no prefill endpoint passes, a mixed endpoint that passes reads by itself: last, as
        // this
        // slows its streams.
        let in_time =
            |h: &EndpointState| self.prefill_time(now, h, r) * READ_MARGIN <= (r.objective_at - now) as f64;
        let fits = |h: &EndpointState| {
            (h.role == Role::Mixed || self.settings.capabilities.local_prefill) && (!tested || in_time(h))
        };
        paired.or_else(|| Some((None, self.choose_decode(now, r, None, tested.then_some(0.0), fits)?)))
    }

    /// Rendezvous hashing of the shared beginning (else the session) over prefill endpoints, alike
    /// everywhere.
    /// They are few: a text read anywhere else is read anew and pushes others out of the memory there.
    pub(super) fn prefix_affinity_order(
        &self, r: &Request, of: impl Fn(&EndpointState) -> bool,
    ) -> Vec<&EndpointState> {
        let key = r.spec.prefix.or(r.spec.session).unwrap_or(CacheKey(r.spec.id.0));
        // Fewer begin where the cell has no decode endpoints to take them, as their states would crowd its
        // link.
        let place = |h: &EndpointState| {
            rendezvous_score(h.id.0, key.0, (2.0 * h.local_capacity_ratio).clamp(STAY_LEAST, 1.0))
        };
        let mut endpoints: Vec<_> =
            self.endpoints.values().filter(|h| h.role == Role::Prefill && of(h)).collect();
        endpoints.sort_by(|a, b| place(b).total_cmp(&place(a)));
        endpoints.into_iter().take(PREFERRED).collect()
    }

    /// A decode endpoint by chance, the more room the likelier, lest routers that know the same choose the
    /// same.
    fn choose_decode(
        &self, now: Micros, r: &Request, prefill: Option<&EndpointState>, ready_in: Option<f64>,
        wanted: impl Fn(&EndpointState) -> bool,
    ) -> Option<EndpointId> {
        // What leaves its cell goes where the list shows decode endpoints to spare, mostly in the same zone.
        let place = |h: &EndpointState, from: &EndpointState| match (from.cell == h.cell, from.zone == h.zone)
        {
            (true, _) => 1.0,
            (_, near) => h.remote_capacity_weight * if near { 1.0 } else { FAR_WEIGHT },
        };
        let fits = |h: &&EndpointState| h.role != Role::Prefill && self.takes(now, h, r) && wanted(h);
        let drawn = |h: &EndpointState| {
            let room = self.room(now, r, h, ready_in)?;
            let weight = room.max(0.0).powf(CHOICE) * prefill.map_or(1.0, |from| place(h, from));
            Some((
                if room > 0.0 { rendezvous_score(h.id.0, self.salt ^ r.spec.id.0, weight) } else { room },
                h.id,
            ))
        };
        let ranked = self.endpoints.values().filter(fits).filter_map(drawn);
        ranked.max_by(|a, b| a.0.total_cmp(&b.0)).map(|best| best.1)
    }

    /// Tokens of a prompt that this router knows to be kept at an endpoint.
    pub(super) fn known_at(endpoint: &EndpointState, r: &Request) -> f64 {
        let of = |key: Option<CacheKey>| {
            key.and_then(|k| endpoint.cached_prefixes.get(&k)).map_or(0.0, |&tokens| tokens)
        };
        of(r.spec.prefix).min(r.spec.prefix_tokens).max(of(r.spec.session).min(r.spec.prompt_tokens))
    }

    /// Tokens left to read there: where it is preferred, other routers' reads have usually begun a prompt.
    pub(super) fn unread_at(&self, endpoint: &EndpointState, r: &Request) -> f64 {
        let rank = r.preferred.iter().position(|&h| h == endpoint.id);
        let usual = rank.map_or(0.0, |rank| self.cache_hit_ratio[rank] * r.spec.prefix_tokens);
        r.spec.prompt_tokens - Self::known_at(endpoint, r).max(usual)
    }

    /// Unread tokens of the own reads out.
    pub(super) fn reading(&self, endpoint: &EndpointState) -> f64 {
        let out = endpoint.pending.keys().filter_map(|id| self.requests.get(id));
        out.filter(|r| r.stage == Stage::Prefilling).map(|r| r.unread + PREFILL_OVERHEAD_TOKENS).sum()
    }

    /// Time in which a prefill endpoint would have read this prompt, after the own reads before it.
    pub(super) fn prefill_time(&self, now: Micros, endpoint: &EndpointState, r: &Request) -> f64 {
        let cost = self.prefill_cost_per_token / endpoint.warmup_factor(now, &self.settings.rules);
        let age = now - endpoint.queue_reported_at;
        let told =
            Some((endpoint.queued_prefill_tokens * cost - age as f64).max(0.0)).filter(|_| age < REPORT);
        let wait = told.unwrap_or_else(|| endpoint.prefill_wait.get(now, self.prefill_wait.value));
        // Asked just now and still silent: it may answer nothing at all.
        let silent = age > now - endpoint.probe_at && now < endpoint.probe_at + REPORT;
        let wait = wait + if silent { PATIENCE_EXTRA } else { 0.0 };
        (wait + (self.reading(endpoint) + self.unread_at(endpoint, r) + PREFILL_OVERHEAD_TOKENS) * cost)
            .max(endpoint.oldest_pending(now))
    }

    /// Sends on the states that wait: to the admitted decode endpoint if it still passes, else to another.
    pub(super) fn send_prefilled(&mut self, now: Micros, out: &mut Vec<Action>) {
        let ready = self.requests.iter().filter(|(_, r)| r.stage == Stage::Prefilled);
        let ready: Vec<_> = ready.map(|(&id, _)| id).collect();
        let start = now.saturating_add(self.quickest(false, |h| self.first_token_time(now, h)) as Micros);
        for id in ready {
            self.requests.entry(id).and_modify(|r| r.late = start > r.objective_at);
            let r = &self.requests[&id];
            let held_for =
                (now - r.reserved_since) as f64 / self.settings.rules.reservation_limit.max(1) as f64;
            let spent = r.attempts() >= self.settings.capabilities.max_attempts
                || now >= r.deadline - ANSWER_MARGIN
                || held_for >= READY_MOST;
            if let Some(decode) = self.decode_for_state(now, r, held_for).filter(|_| !spent) {
                self.place(id, decode);
                self.send_decode(now, id, decode, out);
            } else if spent {
                // Guards the pin limit: nothing takes this state in time.
                out.push(Action::ReleaseReservation(id));
                self.hold(id);
            }
        }
    }

    fn decode_for_state(&self, now: Micros, r: &Request, held_for: f64) -> Option<EndpointId> {
        let prefill = r.prefill.and_then(|id| self.endpoints.get(&id));
        let pick = |tested: bool, far| {
            let near = |h: &EndpointState| far || prefill.is_none_or(|prefill| prefill.cell == h.cell);
            self.choose_decode(now, r, prefill, tested.then_some(0.0), near)
        };
        // What silences one endpoint, a jam or a loss, mostly has its neighbours: the next try goes
        // elsewhere.
        let away = |h: &EndpointState| r.silent.is_some_and(|cell| cell != h.cell);
        let elsewhere = || self.choose_decode(now, r, prefill, Some(0.0), away);
        let same = |h: &EndpointState| h.streams.contains(&r.spec.id);
        let admitted = self.choose_decode(now, r, prefill, Some(0.0), same);
        let any = |tested| pick(tested, false).or_else(|| pick(tested, true));
        admitted
            .or_else(elsewhere)
            .or_else(|| any(true))
            .or_else(|| if held_for < READY_WAIT { None } else { any(false) })
    }

    pub(super) fn place(&mut self, id: RequestId, decode: EndpointId) {
        self.unplace(id);
        let (Some(r), Some(endpoint)) = (self.requests.get_mut(&id), self.endpoints.get_mut(&decode)) else {
            return;
        };
        r.decode = Some(decode);
        endpoint.streams.insert(id);
    }

    pub(super) fn unplace(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(endpoint) = r.decode.take().and_then(|w| self.endpoints.get_mut(&w)) else { return };
        endpoint.streams.remove(&id);
    }
}
