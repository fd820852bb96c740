//! Sends and their outcomes, final answers, and the rules on repeats.

use super::*;

const PATIENCE: f64 = 4.0; // time-out of an attempt as a multiple of what is expected...
const TRY_SHARE: f64 = 0.6; // most of the time left that one attempt may use while others could follow
/// Decode endpoints silent with the same state before its prefill endpoint is held to blame....
const STUCK: u32 = 2;
const STUCK_REST: Micros = 4_000_000; // ...and so long nothing is read there: a jammed link drains slowly
const MALFORMED_MOST: u32 = 2; // answers in a row that cannot be read before the next counts as a failure
const FULL_REST: Micros = 100_000; // for which an endpoint that said "full" is left alone, at least...
const FULL_MULTIPLE: Micros = 20; // ...and of the time that it took to say so...
const FULL_REST_MOST: Micros = 4_000_000; // ...up to this: room comes back sooner than a jam is forgotten
const AVOID: Micros = 100_000; // for which an endpoint that could not be sent to from here is not tried again
const REPEAT_MARGIN: Micros = 100_000; // of a repeat's window: a handshake and the way to the endpoint

impl Request {
    /// Attempts that count: endpoints may have seen them.
    pub(super) fn attempts(&self) -> u32 {
        self.sent - self.not_sent
    }

    /// Until when the next attempt may begin; none where any time will do. A connection may be long in
    /// coming up, and what is held waits meanwhile.
    fn begins_until(&self, settings: &Settings) -> Option<Micros> {
        let held = self.stage == Stage::Decoding && self.prefill.is_some();
        let time = (settings.rules.reservation_limit as f64 * placement::READY_BEGIN) as Micros;
        let of_state = held.then(|| self.reserved_since.saturating_add(time));
        self.repeats_until(settings).into_iter().chain(of_state).min()
    }

    /// Until when an attempt may begin that could repeat a keyed effect; none where any time will do.
    fn repeats_until(&self, settings: &Settings) -> Option<Micros> {
        let effect = settings.classes[self.spec.class.0].idempotency;
        let (Idempotency::Keyed { window, .. }, Some(first)) = (effect, self.possible_execution) else {
            return None;
        };
        Some(first.since + window - REPEAT_MARGIN)
    }
}

impl Scheduler {
    pub(super) fn send_decode(
        &mut self, now: Micros, id: RequestId, decode: EndpointId, out: &mut Vec<Action>,
    ) {
        let (endpoint, r) = (&self.endpoints[&decode], &self.requests[&id]);
        let reads = if r.prefill.is_none() { self.prefill_time(now, endpoint, r) } else { 0.0 };
        let expected = self.first_token_time(now, endpoint) + reads;
        self.requests.entry(id).and_modify(|r| r.stage = Stage::Decoding);
        self.send(now, id, decode, expected, out);
    }

    pub(super) fn send(
        &mut self, now: Micros, id: RequestId, to: EndpointId, expected: f64, out: &mut Vec<Action>,
    ) {
        let (Some(r), Some(endpoint)) = (self.requests.get_mut(&id), self.endpoints.get_mut(&to)) else {
            return;
        };
        let left = (r.deadline - now).max(1) as f64;
        // A silent endpoint shows only so. The share leaves room for another try, unless all is slow.
        let share = if left * TRY_SHARE > expected * 1.5 { left * TRY_SHARE } else { left };
        let mut timeout = (expected * PATIENCE + PATIENCE_EXTRA).min(share) as Micros;
        (r.sent, r.begun) = (r.sent + 1, now);
        if r.spec.unary && endpoint.role != Role::Prefill {
            // Its silence tells nothing of the endpoint until all is written, so it may take all the time
            // left.
            timeout = left as Micros;
        } else {
            endpoint.pending.insert(id, now);
        }
        let start_within = r.begins_until(&self.settings).map(|until| until - now);
        self.use_slow_start(now, to, 0.0);
        out.push(Action::Send { request: id, endpoint: to, timeout: timeout.max(1), start_within });
    }

    pub(super) fn began(&mut self, now: Micros, id: RequestId, at: EndpointId, took: Micros) {
        self.worked(now, at);
        let (Some(r), Some(endpoint)) = (self.requests.get_mut(&id), self.endpoints.get_mut(&at)) else {
            return;
        };
        endpoint.pending.remove(&id);
        (r.stage, r.begun) = (Stage::Streaming, now);
        if r.prefill.is_some() {
            return self.first_token(now, at, took);
        }
        endpoint.cached_prefixes.extend(r.spec.prefix.map(|key| (key, r.spec.prefix_tokens)));
        let tokens = r.unread + PREFILL_OVERHEAD_TOKENS;
        self.learn_prefill_time(now, at, tokens, took as f64);
    }

    pub(super) fn ended(
        &mut self, now: Micros, id: RequestId, at: EndpointId,
        (outcome, last, cached_tokens, took): (Outcome, bool, f64, Micros), out: &mut Vec<Action>,
    ) {
        let known = self.requests.get(&id).map(|r| (r.stage, r.begun, r.unread));
        let (stage, begun, unread) = known.unwrap_or((Stage::Streaming, now, 0.0));
        let sent_at = self.endpoints.get_mut(&at).and_then(|h| h.pending.remove(&id)).unwrap_or(begun);
        // What timed out took longer still: a jam must not be judged by those alone that came through it.
        match (outcome, stage) {
            (Outcome::TimedOut, Stage::Prefilling) => self.read_took(now, id, at, unread, took),
            (Outcome::TimedOut, Stage::Decoding) => self.first_token(now, at, took),
            _ => {}
        }
        match outcome {
            Outcome::Completed => self.served(now, id, at),
            Outcome::Prefilled => self.was_read(now, id, at, cached_tokens, took),
            Outcome::Rejected => {
                // Perhaps for this class or tenant alone. The longer it took to say so, the longer the rest.
                let rest = took.saturating_mul(FULL_MULTIPLE).clamp(FULL_REST, FULL_REST_MOST);
                let until = now.saturating_add(rest);
                let key = self.requests.get(&id).map(|r| ((r.spec.class, r.spec.tenant), until));
                self.endpoints.entry(at).and_modify(|h| h.backpressure_until.extend(key));
            }
            Outcome::StateMissing | Outcome::Cancelled | Outcome::Abandoned | Outcome::NotSent => {}
            // A few come from any endpoint, however well it is; only an endpoint that sends nothing else
            // fails.
            Outcome::Malformed if self.endpoints.get(&at).is_some_and(|h| h.malformed < MALFORMED_MOST) => {
                self.endpoints.entry(at).and_modify(|h| h.malformed += 1);
            }
            _ => self.failed(now, at, sent_at, out),
        }
        let Some(r) = self.requests.get_mut(&id) else { return out.push(Action::ReleaseReservation(id)) };
        if last || r.ended {
            out.push(Action::ReleaseReservation(id));
            return self.forget(id);
        }
        if outcome == Outcome::NotSent {
            r.not_sent += 1;
            r.avoided = Some((at, now + AVOID));
        }
        match (r.stage, outcome) {
            (Stage::Prefilling, Outcome::Prefilled) => (r.stage, r.reserved_since) = (Stage::Prefilled, now),
            (Stage::Prefilling, _) => self.hold(id),
            (_, Outcome::StateMissing) => {
                // A endpoint that stayed silent may have fetched it.
                out.push(Action::ReleaseReservation(id));
                self.hold(id);
            }
            (_, Outcome::Abandoned) => self.finish_unserved(id, out),
            _ => {
                let ran = !outcome.excludes_execution();
                if outcome == Outcome::TimedOut {
                    r.silent = self.endpoints.get(&at).map(|h| h.cell);
                    r.stuck += 1;
                    self.unplace(id);
                }
                let Some(r) = self.requests.get_mut(&id) else { return };
                let stuck = r.stuck >= STUCK && r.attempts() + 2 <= self.settings.capabilities.max_attempts;
                if let Some(prefill) = r.prefill.filter(|_| stuck).and_then(|id| self.endpoints.get_mut(&id))
                {
                    prefill.transfer_stalled_until = now + STUCK_REST;
                }
                let place = self.endpoints.get(&at).map(|h| (h.zone, h.cell));
                r.possible_execution =
                    r.possible_execution.or(ran.then_some(PossibleExecution { place, since: sent_at }));
                if r.prefill.is_none() || outcome == Outcome::Malformed || stuck {
                    // An answer had begun, so the state has moved. Or nobody can fetch it where it is.
                    out.push(Action::ReleaseReservation(id));
                    self.hold(id);
                } else {
                    // Without a sign that the call arrived no attempt was out: the state waited all along.
                    let since = if outcome.reached_endpoint(took) { now } else { r.reserved_since };
                    (r.stage, r.reserved_since) = (Stage::Prefilled, since);
                }
            }
        }
        if !self.may_run_anywhere(now, id) || now >= self.requests.get(&id).map_or(now, |r| r.deadline) {
            self.finish_unserved(id, out);
        }
    }

    pub(super) fn left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if matches!(r.stage, Stage::High | Stage::Low | Stage::Prefilled) {
            out.push(Action::ReleaseReservation(id));
            return self.forget(id);
        }
        r.ended = true;
        if self.settings.capabilities.cancellation && r.stage != Stage::Streaming {
            out.push(Action::Cancel { request: id, attempt: AttemptId(r.sent.max(1) - 1) });
        }
    }

    fn forget(&mut self, id: RequestId) {
        self.unplace(id);
        let Some(r) = self.requests.remove(&id) else { return };
        self.high.remove(&(r.objective_at, id));
        self.low.remove(&(r.objective_at, id));
    }

    /// Rule 1: the one final answer, at once, with all that is held let go of.
    pub(super) fn finish_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        out.extend((r.sent > 0).then_some(Action::ReleaseReservation(id)));
        let repeats = matches!(
            self.settings.classes[r.spec.class.0].idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, window: _ }
        );
        let refusal = Action::Reject { request: id, retry_after: self.settings.capabilities.max_retry_after };
        out.push(if repeats || r.possible_execution.is_none() { refusal } else { Action::Fail(id) });
        self.forget(id);
    }

    /// Rule 2: whether an attempt there, also a read, could not repeat an effect.
    pub(super) fn may_run_at(&self, now: Micros, r: &Request, at: EndpointId) -> bool {
        let Some(first) = r.possible_execution else { return true };
        let group = match self.settings.classes[r.spec.class.0].idempotency {
            Idempotency::Idempotent => return true,
            Idempotency::Keyed { scope: group, .. }
                if r.repeats_until(&self.settings).is_some_and(|until| now < until) =>
            {
                group
            }
            _ => return false,
        };
        let (Some((zone, cell)), Some(endpoint)) = (first.place, self.endpoints.get(&at)) else {
            return group == DeduplicationScope::All;
        };
        group == DeduplicationScope::All
            || cell == endpoint.cell
            || (group == DeduplicationScope::Zone && zone == endpoint.zone)
    }

    pub(super) fn may_run_anywhere(&self, now: Micros, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return true };
        let needed = if r.prefill.is_some() { 1 } else { 2 };
        r.attempts() + needed <= self.settings.capabilities.max_attempts
            && (r.possible_execution.is_none() || self.serving(false).any(|h| self.may_run_at(now, r, h.id)))
    }
}
