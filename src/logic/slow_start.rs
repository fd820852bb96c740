//! How little a host that has just started is sent.

use super::*;

const SLOW_START_SHARE: f64 = 0.5; // of a cold host's budget in use: sends of many routers bunch by chance

impl Host {
    /// Share of its capacity that a starting host has, taken to grow evenly.
    pub(super) fn warmth(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(at) = self.started else { return 1.0 };
        let age = now.saturating_sub(at) as f64 / rules.ramp_time.max(1) as f64;
        (rules.start_capacity + (1.0 - rules.start_capacity) * age.max(0.0)).min(1.0)
    }

    pub(super) fn oldest_pending(&self, now: Micros) -> f64 {
        self.pending.values().min().map_or(0.0, |&at| (now - at) as f64)
    }
}

impl Router {
    /// Rule 4, slow start: own sends that a cold host bears since the last: this router's part of what it can
    /// do, which grows, by what comes in: what goes there shrinks with this guard.
    pub(super) fn slow_start_budget(&self, now: Micros, host: &Host) -> f64 {
        let (rules, unused) = (&self.set.rules, (now - host.unused_since) as f64);
        let warmth = host.warmth(now - (unused / 2.0) as Micros, rules);
        let own = unused * self.own_rate(now, host.role == Role::Prefill);
        own * rules.fall_multiple * warmth * SLOW_START_SHARE
    }

    /// Puts the first send to a cold host off by chance, as all routers hear of a start at once.
    pub(super) fn start_slowly(&mut self, now: Micros, to: HostId) {
        let prefill = self.hosts.get(&to).is_some_and(|h| h.role == Role::Prefill);
        let part = self.own_rate(now, prefill) * self.set.rules.fall_multiple * self.set.rules.start_capacity;
        let used = (chance(to.0, now as u64 ^ self.salt) / (part * SLOW_START_SHARE).max(1e-9)) as Micros;
        self.hosts.entry(to).and_modify(|h| h.unused_since = now - used);
    }
}
