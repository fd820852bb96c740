//! Judges a run by the rules, from what clients, servers and agents have noted.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use tokio::time::Instant;

use super::run_state::{Answer, Attempt, Data, Effect, Ended, RequestLog, Role, RunState};

/// Figures of the rules, as the routers' settings and the operators' pages give them.
const AFTER_CLIENT_LEFT: Duration = Duration::from_millis(100);
const TOLD_SLACK: Duration = Duration::from_millis(150);
const DRAIN_GRACE: Duration = Duration::from_millis(550);
const HELD_MOST: Duration = Duration::from_millis(1_300);
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Breaks that are shown.
const SHOWN: usize = 20;

/// What a run came to.
pub struct Verdict {
    pub summary: String,
    pub breaks: Vec<String>,
}

struct Verifier<'a> {
    data: &'a Data,
    /// Requests that routers say they have taken.
    taken: HashSet<&'a str>,
    tolerance: Duration,
    breaks: Vec<String>,
}

/// Judges a run, and the routers' logs. `tolerance` is for the delays of the machine itself.
pub fn judge(world: &RunState, logs: &str, tolerance: Duration) -> Verdict {
    let data = world.data.borrow();
    let taken =
        logs.lines().filter_map(|line| line.split_once("request accepted request_id=")?.1.split_once(' '));
    let taken = taken.map(|(id, _)| id).collect();
    let mut judge = Verifier { data: &data, taken, tolerance, breaks: Vec::new() };
    for (id, request) in &data.requests {
        judge.answer(id, request);
        judge.attempts(id, request);
        judge.repeats(id, request);
        judge.held(id, request);
    }
    for line in logs.lines().filter(|line| line.contains("violation: ") || line.contains("panicked")) {
        judge.breaks.push(format!("log: {line}"));
    }
    for (name, count) in data.troubles.iter().filter(|(name, _)| name.starts_with("BREAK")) {
        judge.breaks.push(format!("{name}, {count} times"));
    }
    let mut answers: BTreeMap<String, usize> = BTreeMap::new();
    for request in data.requests.values() {
        let excused = if request.excused { " (killed)" } else { "" };
        let answer = request.answer.map_or("left".to_owned(), |(_, answer)| format!("{answer:?}{excused}"));
        *answers.entry(answer).or_default() += 1;
    }
    let count = judge.breaks.len();
    judge.breaks.truncate(SHOWN);
    let traces: Vec<_> = judge.breaks.iter().filter_map(|broken| trace(broken, logs)).collect();
    judge.breaks.extend(traces);
    let summary = format!(
        "{} requests, {answers:?}, troubles {:?}, {count} breaks",
        data.requests.len(),
        data.troubles
    );
    Verdict { summary, breaks: judge.breaks }
}

/// What a router's log says of the request that a break names.
fn trace(broken: &str, logs: &str) -> Option<String> {
    let words = broken.split([' ', ':', ',']);
    let id = words.into_iter().find(|word| word.starts_with('c') && word.contains('-'))?;
    let named = format!("request_id={id} ");
    let lines: Vec<_> = logs.lines().filter(|line| format!("{line} ").contains(&named)).collect();
    Some(lines.join("\n"))
}

impl Verifier<'_> {
    fn breaks(&mut self, rule: &str, id: &str, request: &RequestLog, detail: String) {
        let since =
            |at: Instant| request.sent.map_or(0, |sent| at.saturating_duration_since(sent).as_millis());
        let attempts: Vec<_> = request
            .attempts
            .iter()
            .map(|a| {
                format!(
                    "{} at {} told {}: {:?}",
                    a.server,
                    since(a.arrived),
                    a.told_ms,
                    a.ended.map(|(at, how)| (since(at), how))
                )
            })
            .collect();
        self.breaks.push(format!(
            "{rule}: {id} at router {}, {} ms, {:?}: {detail}; answer {:?}; attempts {attempts:?}",
            request.router,
            request.timeout_ms,
            request.effect,
            request.answer.map(|(at, answer)| (since(at), answer))
        ));
    }

    /// One final answer, in time, for what was read.
    fn answer(&mut self, id: &str, request: &RequestLog) {
        let (Some(sent), Some((at, answer))) = (request.sent, request.answer) else { return };
        if request.excused {
            return;
        }
        let due = sent + Duration::from_millis(request.timeout_ms) + ANSWER_SLACK + self.tolerance;
        match answer {
            Answer::Missing => self.breaks("unanswered", id, request, "nothing came".into()),
            // On a kept connection it may have crossed the close unread, and its client sends it again elsewhere.
            Answer::Closed if request.fresh || self.taken.contains(id) => {
                self.breaks("lost", id, request, format!("closed with no answer, fresh: {}", request.fresh));
            }
            Answer::Refused | Answer::Failed if at > due => {
                self.breaks("late", id, request, "the answer came too late".into());
            }
            _ => {}
        }
    }

    /// Each attempt while its client is there, to a server that takes it, with the time that is left, one at a time.
    fn attempts(&mut self, id: &str, request: &RequestLog) {
        let Some(sent) = request.sent else { return };
        let deadline = sent + Duration::from_millis(request.timeout_ms);
        for (number, attempt) in request.attempts.iter().enumerate() {
            let late = |at: Instant| attempt.arrived.saturating_duration_since(at);
            if request.left.is_some_and(|left| late(left) > AFTER_CLIENT_LEFT + self.tolerance) {
                self.breaks("after its client left", id, request, format!("attempt {number}"));
            }
            let left = deadline.saturating_duration_since(attempt.arrived) + TOLD_SLACK + self.tolerance;
            if Duration::from_millis(attempt.told_ms) > left {
                self.breaks("told too much time", id, request, format!("{} ms of {left:?}", attempt.told_ms));
            }
            let told = self.data.told.get(&(request.router, attempt.server.clone()));
            if told.is_some_and(|told| late(*told) > DRAIN_GRACE + self.tolerance) {
                self.breaks("drain", id, request, format!("attempt {number}"));
            }
            let before = &request.attempts[..number];
            if before.iter().any(|earlier| open_at(earlier, attempt.arrived, self.tolerance)) {
                self.breaks("two attempts at once", id, request, format!("attempt {number}"));
            }
        }
    }

    /// What may have run is not sent again, nor said to be harmless to repeat, if a repeat does harm.
    fn repeats(&mut self, id: &str, request: &RequestLog) {
        if request.effect == Effect::Safe {
            return;
        }
        let ran = |a: &Attempt| a.role == Role::Decode && !matches!(a.ended, Some((_, Ended::NotStarted)));
        let Some(first) = request.attempts.iter().position(ran) else { return };
        if first + 1 < request.attempts.len() {
            self.breaks("repeated", id, request, format!("after attempt {first}"));
        }
        if request.answer.is_some_and(|(_, answer)| answer == Answer::Refused) {
            self.breaks("refused though it may have run", id, request, format!("attempt {first}"));
        }
    }

    /// What is read is taken by a send or let go of in time, while no attempt is out.
    fn held(&mut self, id: &str, request: &RequestLog) {
        if request.excused {
            return;
        }
        for (number, read) in request.attempts.iter().enumerate() {
            let Some((mut since, Ended::Read)) = read.ended else { continue };
            let mut last = None;
            for later in &request.attempts[number + 1..] {
                last.get_or_insert(later.arrived);
                self.held_between(id, request, since, later.arrived);
                since = later.ended.map_or(later.arrived, |(at, _)| at);
                // Taken, or read anew: what follows is looked at from there.
                if !matches!(later.ended, Some((_, Ended::NotStarted | Ended::GivenUp))) {
                    break;
                }
            }
            if last.is_none() {
                let released = request.released.iter().find(|at| **at >= since).copied();
                let end = released.unwrap_or(since + Duration::from_secs(60));
                self.held_between(id, request, since, end);
            }
        }
    }

    fn held_between(&mut self, id: &str, request: &RequestLog, since: Instant, until: Instant) {
        let released = request.released.iter().any(|at| (since..=until).contains(at));
        let held = until.saturating_duration_since(since);
        if held > HELD_MOST + self.tolerance && !released {
            self.breaks("held", id, request, format!("for {} ms", held.as_millis()));
        }
        let first = request.released.iter().find(|at| **at >= since);
        if let Some(first) = first.filter(|at| **at < until && **at > since + HELD_MOST + self.tolerance) {
            let held = first.saturating_duration_since(since).as_millis();
            self.breaks("held", id, request, format!("for {held} ms, then let go of"));
        }
    }
}

/// Whether an attempt was still open when a later one arrived.
fn open_at(earlier: &Attempt, arrived: Instant, tolerance: Duration) -> bool {
    earlier.ended.is_none_or(|(at, _)| at > arrived + tolerance)
}
