//! How little an endpoint that has just started is sent.

use super::*;

/// Of a cold endpoint's budget in use: sends of many routers bunch by chance.
const SLOW_START_SHARE: f64 = 0.65;

impl EndpointState {
    /// Share of its capacity that a starting endpoint has, taken to grow evenly.
    pub(super) fn warmup_factor(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(at) = self.started else { return 1.0 };
        let age = now.saturating_sub(at) as f64 / rules.slow_start_duration.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age.max(0.0)).min(1.0)
    }

    pub(super) fn oldest_pending(&self, now: Micros) -> f64 {
        self.pending.values().min().map_or(0.0, |&at| (now - at) as f64)
    }
}

/// What of a cold endpoint's capacity this router has not used.
#[derive(Clone, Copy, Default)]
pub(super) struct SlowStart {
    /// Since when, and the router's mark of earned sends at that moment.
    since: Micros,
    mark: f64,
    /// Sends that were saved up before.
    saved: f64,
}

/// Sends that this router has earned at each running endpoint, of prefill and of decode endpoints, by what
/// came in.
#[derive(Clone, Copy, Default)]
pub(super) struct Earned {
    at: Micros,
    prefill: f64,
    decode: f64,
}

impl Earned {
    fn of(&self, role: Role) -> f64 {
        if role == Role::Prefill { self.prefill } else { self.decode }
    }
}

impl Scheduler {
    /// Counts what this router has earned since the last time, at the rate of now: what comes in later, as
    /// in a burst that all routers see at once, earns nothing for the time before.
    pub(super) fn accrue_slow_start_credit(&mut self, now: Micros) {
        let passed = (now - self.earned.at).max(0) as f64;
        let (prefill, decode) = (self.own_rate(now, true) * passed, self.own_rate(now, false) * passed);
        let Earned { prefill: before_prefill, decode: before_decode, .. } = self.earned;
        self.earned = Earned { at: now, prefill: before_prefill + prefill, decode: before_decode + decode };
    }

    /// Rule 4, slow start: own sends that a cold endpoint bears since the last: this router's part of what it
    /// can
    /// do, which grows, by what comes in: what goes there shrinks with this guard.
    pub(super) fn slow_start_budget(&self, now: Micros, endpoint: &EndpointState) -> f64 {
        let (rules, part) = (&self.settings.rules, endpoint.slow_start);
        let warmup_factor = endpoint.warmup_factor(now - (now - part.since) / 2, rules);
        let earned = self.earned.of(endpoint.role) - part.mark;
        part.saved + earned * rules.overload_multiple * warmup_factor * SLOW_START_SHARE
    }

    /// What a cold endpoint bears has been used: the next send must be earned anew.
    pub(super) fn use_slow_start(&mut self, now: Micros, to: EndpointId, saved: f64) {
        let Some(endpoint) = self.endpoints.get_mut(&to) else { return };
        endpoint.slow_start = SlowStart { since: now, mark: self.earned.of(endpoint.role), saved };
    }

    /// Puts the first send to a cold endpoint off by chance, as all routers hear of a start at once: each has
    /// a
    /// random part of a send saved, also one that has started itself and seen no request yet.
    pub(super) fn start_slowly(&mut self, now: Micros, to: EndpointId) {
        self.use_slow_start(now, to, unit_hash(to.0, now as u64 ^ self.salt));
    }
}
