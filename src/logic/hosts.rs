//! What is known of the hosts: the list, their reports, and how attempts there went.

use super::*;

const COST_RISE: f64 = 0.1; // ...and most of its rise that a slower one is believed: it has waited, too
const HOST_GAIN: f64 = 0.25; // weight of a new sample in a host's mean: a few requests tell
const CELL_SLACK: f64 = 1.15; // of a cell's part of the states that its decode hosts take alone
const SPARE_LEAST: f64 = 0.05; // weight of a decode host whose cell has none to spare, against an idle one
const KEPT_MOST: usize = 2_000; // texts remembered as kept at one host: bounds the memory used
const REST: Micros = 250_000; // for which a host rests after a failure, doubling with each further one...
const REST_MOST: Micros = 2_000_000; // ...up to this, so that it is soon found when it is back
const FAILS_RESTART: u32 = 3; // failures in a row after which a host that works again is taken for cold
const PROBE_EACH: f64 = 350_000.0; // between the fleet's probes of a decode host, which take turns by chance
const SEEN_LEAST: f64 = 0.1; // part of a whole view of the arrivals that is believed: a second's worth
const ASK_WAIT: Micros = 15_000; // for an answer: two ways and a handshake, little against any aim

impl Router {
    /// Rule 3: a host that drains or is gone is out of all choices from this moment on.
    pub(super) fn hosts_told(&mut self, now: Micros, whole: bool, members: &[Member]) {
        if whole {
            let named: BTreeSet<_> = members.iter().map(|m| m.host).collect();
            let gone = self.hosts.iter_mut().filter(|(id, _)| !named.contains(id));
            gone.for_each(|(_, host)| host.phase = Phase::Gone);
        }
        for m in members {
            let Some(kind) = self.set.kinds.get(m.kind.0) else { continue };
            let host = self.hosts.entry(m.host).or_insert_with(|| Host {
                id: m.host,
                zone: m.zone,
                cell: m.cell,
                kind: m.kind,
                role: kind.role,
                memory: kind.memory.unwrap_or(f64::INFINITY),
                ..Host::default()
            });
            host.phase = m.phase;
            if m.started > host.started {
                host.started = m.started;
                host.kept.clear();
                self.start_slowly(now, m.host);
            }
        }
        // What is gone is forgotten once nothing is out there: a long day brings ever new hosts.
        self.hosts.retain(|_, h| h.phase != Phase::Gone || !h.streams.is_empty() || !h.pending.is_empty());
        self.serving = (self.serving(true).count(), self.serving(false).count());
        self.update_cell_shares();
    }

    /// What each cell's decode hosts can take of its own prefill hosts' states and of others', by the list.
    fn update_cell_shares(&mut self) {
        let mut cells: BTreeMap<CellId, (f64, f64)> = BTreeMap::new();
        self.serving(true).for_each(|h| cells.entry(h.cell).or_default().0 += 1.0);
        self.serving(false).for_each(|h| cells.entry(h.cell).or_default().1 += 1.0);
        let (prefill, decode) = cells.values().fold((0.0, 0.0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
        for h in self.hosts.values_mut() {
            let (near, at) = cells.get(&h.cell).copied().unwrap_or_default();
            let share = (at / f64::max(decode, 1.0)) / (near / f64::max(prefill, 1.0)).max(1e-9);
            h.stay = CELL_SLACK * share;
            h.spare = (1.0 - 1.0 / share.max(1e-9)).max(SPARE_LEAST);
        }
    }

    /// The running prefill hosts, or all others that run.
    pub(super) fn serving(&self, prefill: bool) -> impl Iterator<Item = &Host> {
        self.hosts.values().filter(move |h| (h.role == Role::Prefill) == prefill && h.phase == Phase::Serving)
    }

    /// The shortest of the times that `of` gives for running hosts; zero if there are none.
    pub(super) fn quickest(&self, prefill: bool, of: impl Fn(&Host) -> f64) -> f64 {
        self.serving(prefill).map(of).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Whether a host may be sent this now, as far as this router knows.
    pub(super) fn takes(&self, now: Micros, host: &Host, r: &Request) -> bool {
        host.phase == Phase::Serving
            && self.may_run_at(now, r, host.id)
            && now >= host.rest_until.max(host.stuck_until)
            && r.avoided.is_none_or(|(at, until)| at != host.id || now >= until)
            && (host.fails == 0 || host.pending.is_empty())
            && host.full_until.get(&(r.ask.class, r.ask.tenant)).is_none_or(|&at| now >= at)
            && (host.warmth(now, &self.set.rules) >= 1.0 || self.slow_start_budget(now, host) >= 1.0)
    }

    /// What comes in here, a microsecond, for each prefill host or each decode host.
    pub(super) fn own_rate(&self, now: Micros, prefill: bool) -> f64 {
        let seen = 1.0 - 0.5f64.powf((now - self.since.unwrap_or(now)) as f64 / FADE);
        let rate = self.arrivals.get(now, 0.0) / seen.max(SEEN_LEAST) / FADE;
        rate / (if prefill { self.serving.0 } else { self.serving.1 }).max(1) as f64
    }

    /// Whether own requests bring reports from each such host as often as these are made anew.
    fn hears(&self, now: Micros, prefill: bool) -> bool {
        self.set.routers < 2 || self.own_rate(now, prefill) * REPORT as f64 > 1.0
    }

    /// What others hold of a decode host's memory, from its report; absurd reports are passed over.
    pub(super) fn report(&mut self, now: Micros, at: HostId, load: Option<&Load>) {
        if let (Some(host), Some(tokens)) = (self.hosts.get_mut(&at), load.and_then(|l| l.waiting_tokens)) {
            (host.backlog, host.told_at) = (tokens.max(0.0).min(host.memory), now);
        }
        let host = self.hosts.get(&at).filter(|h| h.role != Role::Prefill && h.memory.is_finite());
        let share = load.and_then(|load| load.memory).filter(|share| (0.0..=2.0).contains(share));
        let (Some(host), Some(share)) = (host, share) else { return };
        let others = (share * host.memory - self.own_tokens(host, |r| r.stage == Stage::Streaming)).max(0.0);
        self.others += FLEET_GAIN * (others / host.memory.max(1.0) - self.others);
        self.hosts.entry(at).and_modify(|h| h.others = Some(Fading { value: others, at: now }));
    }

    /// Asks the decode hosts how much others hold there, where own streams tell this router too seldom.
    pub(super) fn probe(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.set.limits.probes || self.requests.is_empty() || self.hears(now, false) {
            return;
        }
        let every = PROBE_EACH * f64::from(self.set.routers);
        let due = |h: &&mut Host| h.role != Role::Prefill && h.phase == Phase::Serving && now >= h.probe_at;
        for host in self.hosts.values_mut().filter(due) {
            let first = host.probe_at == 0;
            out.extend((!first).then_some(Action::Probe(host.id)));
            // By chance, lest all are asked at once for ever, or by all routers at the start.
            let draw = chance(host.id.0, now as u64 ^ self.salt) + if first { 0.0 } else { 0.5 };
            host.probe_at = now.saturating_add((every * draw) as Micros);
        }
    }

    /// Asks a prompt's first prefill hosts how much waits there, where own reads tell this router too seldom.
    pub(super) fn ask_prefill(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        if !self.set.limits.probes || self.hears(now, true) {
            return;
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.asked_until = now + ASK_WAIT;
        for &at in &r.preferred {
            self.hosts.entry(at).and_modify(|h| h.probe_at = now);
            out.push(Action::Probe(at));
        }
    }

    /// A first token took this long, or longer when the attempt timed out.
    pub(super) fn first_token(&mut self, now: Micros, at: HostId, took: Micros) {
        let Some(host) = self.hosts.get_mut(&at) else { return };
        host.first_took.learn(now, self.first_took.value, took as f64, HOST_GAIN);
        self.first_took.follow(now, took as f64);
    }

    pub(super) fn served(&mut self, now: Micros, id: RequestId, at: HostId) {
        self.worked(now, at);
        let streamed = self.requests.get(&id).filter(|r| r.stage == Stage::Streaming);
        let (Some(r), Some(host)) = (streamed, self.hosts.get(&at)) else { return };
        let load = self.load(now, host);
        self.curves[host.kind.0].learn(load, r.tokens, (now - r.begun) as f64);
    }

    /// A read took this long, or longer, for all the own tokens up to it. What it took beyond them was a wait
    /// for others' reads, which a longer prompt would not have had to pay again.
    pub(super) fn read_took(&mut self, now: Micros, id: RequestId, at: HostId, unread: f64, took: Micros) {
        let Some(r) = self.requests.get(&id) else { return };
        self.learn_read(now, at, (r.read_load - r.unread + unread).max(READ_EXTRA), took as f64);
    }

    pub(super) fn learn_read(&mut self, now: Micros, at: HostId, tokens: f64, took: f64) {
        let Some(host) = self.hosts.get_mut(&at) else { return };
        let warmth = host.warmth(now, &self.set.rules);
        let cost = took * warmth / tokens;
        self.read_cost += HOST_GAIN * (cost - self.read_cost).min(COST_RISE * self.read_cost);
        let wait = (took - tokens * self.read_cost / warmth).max(0.0);
        host.read_wait.learn(now, self.read_wait.value, wait, HOST_GAIN);
        self.read_wait.follow(now, wait);
    }

    pub(super) fn was_read(&mut self, now: Micros, id: RequestId, at: HostId, kept: f64, took: Micros) {
        self.worked(now, at);
        let Some(r) = self.requests.get(&id) else { return };
        if let Some(rank) = r.preferred.iter().position(|&h| h == at && r.ask.prefix.is_some()) {
            let share = (kept / r.ask.prefix_tokens.max(1.0)).min(1.0);
            self.kept_share[rank] += FLEET_GAIN * (share - self.kept_share[rank]);
        }
        self.read_took(now, id, at, (r.ask.prompt_tokens - kept).max(0.0), took);
        let (Some(r), Some(host)) = (self.requests.get(&id), self.hosts.get_mut(&at)) else { return };
        // Kept texts went void: believe none of them until they are read again.
        if kept < Self::known_at(host, r) / 2.0 || host.kept.len() >= KEPT_MOST {
            host.kept.clear();
        }
        host.kept.extend(r.ask.prefix.map(|key| (key, r.ask.prefix_tokens)));
        host.kept.extend(r.ask.session.map(|key| (key, r.ask.prompt_tokens)));
    }

    /// A failure rests the host, longer each time; one of many sent before it counts no further.
    pub(super) fn failed(&mut self, now: Micros, at: HostId, sent_at: Micros, out: &mut Vec<Action>) {
        let counts = |host: &&mut Host| host.fails == 0 || sent_at >= host.failed_at;
        let Some(host) = self.hosts.get_mut(&at).filter(counts) else { return };
        (host.fails, host.failed_at) = (host.fails + 1, now);
        host.rest_until = now + (REST << (host.fails - 1).min(10)).min(REST_MOST);
        let line = || Action::Log(format!("host {} fails again and again: single trials only", at.0));
        out.extend((host.fails == FAILS_RESTART).then(line));
    }

    /// An answer of any use ends the rest; after a long silence the host is taken for cold.
    pub(super) fn worked(&mut self, now: Micros, at: HostId) {
        let Some(host) = self.hosts.get_mut(&at) else { return };
        let warm = host.started.is_none_or(|s| s < host.failed_at - self.set.rules.ramp_time);
        if host.fails >= FAILS_RESTART && warm {
            host.started = Some(now);
            self.start_slowly(now, at);
        }
        self.hosts.entry(at).and_modify(|h| (h.fails, h.malformed, h.rest_until) = (0, 0, now));
    }
}
