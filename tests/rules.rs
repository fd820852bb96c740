//! The five rules, each through the public interface.
mod common;

use common::rig::*;
use inference_router::scheduler::*;

fn with_effect(effect: Idempotency) -> Settings {
    let mut set = settings();
    set.classes[0].idempotency = effect;
    set
}

/// A request whose first decode server attempt timed out, and what the router did then.
fn after_time_out(effect: Idempotency, members: &[EndpointUpdate]) -> (Rig, Vec<Action>) {
    let mut rig = Rig::new(with_effect(effect), members);
    assert_eq!(sent_to(&rig.request(1)), Some(PREFILL));
    let decode = sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)).expect("sent on");
    let out = rig.end(1, decode, Outcome::TimedOut);
    (rig, out)
}

#[test]
fn rule_1_a_held_request_is_refused_once_before_its_deadline() {
    let mut rig = Rig::new(settings(), &[]);
    let mut answers = finals(&rig.request(1));
    for _ in 0..900 {
        answers += finals(&rig.tick(5 * MS));
        if rig.now < 104 * S {
            continue;
        }
        assert_eq!(answers, 1, "answered by the deadline");
    }
    assert_eq!(answers, 1);
}

#[test]
fn rule_1_giving_up_is_answered_at_once_with_a_come_back_time() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    let mut late = ask(1);
    late.client_timeout = 11 * MS;
    let out = rig.step(0, &[Event::RequestReceived(late)]);
    let refused = Action::Reject { request: RequestId(1), retry_after: Some(S) };
    assert!(out.contains(&refused), "{out:?}");
}

#[test]
fn rule_1_nothing_is_sent_for_a_request_whose_client_left() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    rig.request(1);
    rig.step(0, &[Event::ClientDisconnected(RequestId(1))]);
    let out = rig.end(1, PREFILL, Outcome::Prefilled);
    assert_eq!((sent_to(&out), finals(&out)), (None, 0));
    assert!(out.contains(&Action::ReleaseReservation(RequestId(1))), "and its state is let go: {out:?}");
}

#[test]
fn rule_2_an_unsafe_request_that_may_have_run_fails_without_another_try() {
    let (_, out) =
        after_time_out(Idempotency::NonIdempotent, &[member(PREFILL, 0), member(DECODE, 1), member(11, 1)]);
    assert_eq!(sent_to(&out), None);
    assert!(out.contains(&Action::Fail(RequestId(1))), "{out:?}");
}

#[test]
fn rule_2_an_unsafe_request_proved_not_to_have_run_is_tried_again() {
    let members = [member(PREFILL, 0), member(DECODE, 1), member(11, 1)];
    let mut rig = Rig::new(with_effect(Idempotency::NonIdempotent), &members);
    rig.request(1);
    let decode = sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)).unwrap();
    let next = sent_to(&rig.end(1, decode, Outcome::ConnectFailed)).unwrap();
    assert_ne!(next, decode);
}

#[test]
fn a_spoilt_answer_is_read_again_at_once_and_its_host_stays_in_use() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    rig.request(1);
    assert_eq!(sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)), Some(DECODE));
    assert_eq!(sent_to(&rig.end(1, DECODE, Outcome::Malformed)), Some(PREFILL));
    assert_eq!(sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)), Some(DECODE));
}

#[test]
fn rule_2_a_failed_read_has_no_effect() {
    let members = [member(PREFILL, 0), member(2, 0), member(DECODE, 1)];
    let mut rig = Rig::new(with_effect(Idempotency::NonIdempotent), &members);
    let first = sent_to(&rig.request(1)).unwrap();
    let next = sent_to(&rig.end(1, first, Outcome::ConnectionLost)).unwrap();
    assert_ne!(next, first);
}

#[test]
fn rule_2_a_keyed_request_stays_in_its_group_and_window() {
    let other_cell = [in_cell(PREFILL, 0, 1), in_cell(DECODE, 1, 1), in_cell(11, 1, 2)];
    let keyed = Idempotency::Keyed { scope: DeduplicationScope::Cell, window: S };
    let (mut rig, mut out) = after_time_out(keyed, &other_cell);
    for _ in 0..200 {
        assert!(sent_to(&out).is_none_or(|host| host != 11), "left its group");
        assert!(!out.iter().any(|a| matches!(a, Action::Reject { .. })), "a refusal promises too much");
        let sent_late = rig.now >= 101 * S + 40 * MS;
        assert!(!sent_late || sent_to(&out).is_none_or(|host| host == PREFILL), "outside its window");
        out = rig.tick(10 * MS);
    }
}

#[test]
fn rule_2_a_keyed_request_that_may_have_run_is_read_again_in_its_group_alone() {
    let zone = |host, kind, zone| EndpointUpdate { zone: ZoneId(zone), ..in_cell(host, kind, zone as i64) };
    let members = [zone(PREFILL, 0, 0), zone(2, 0, 1), zone(3, 0, 1), zone(DECODE, 1, 0), zone(11, 1, 0)];
    let in_zone = [PREFILL, DECODE, 11];
    let mut seen_again = 0;
    for id in 1..40 {
        let mut rig = Rig::new(
            with_effect(Idempotency::Keyed { scope: DeduplicationScope::Zone, window: 3 * S }),
            &members,
        );
        // Each has preferred servers of its own.
        let alone = RequestSpec { prefix: None, prefix_tokens: 0.0, ..ask(id) };
        let prefill = sent_to(&rig.step(0, &[Event::RequestReceived(alone)])).expect("a first read");
        let decode = sent_to(&rig.end(id, prefill, Outcome::Prefilled)).expect("a first write");
        // It may have run there, and its state is gone: the prompt has to be read again.
        let mut out = rig.end(id, decode, Outcome::Malformed);
        for _ in 0..20 {
            if let Some(again) = sent_to(&out) {
                assert!(in_zone.contains(&again), "request {id} was sent out of its zone, to {again}");
                seen_again += 1;
                break;
            }
            out = rig.tick(10 * MS);
        }
    }
    assert!(seen_again > 20, "{seen_again} second reads");
}

#[test]
fn a_held_request_that_may_not_be_sent_again_is_answered_at_once() {
    let cells = [in_cell(PREFILL, 0, 1), in_cell(DECODE, 1, 1), in_cell(11, 1, 2)];
    let (mut rig, mut out) =
        after_time_out(Idempotency::Keyed { scope: DeduplicationScope::Cell, window: S }, &cells);
    // Its group has only the server that just failed, and its window ends long before its deadline.
    let mut answered_at = None;
    for _ in 0..200 {
        if finals(&out) > 0 {
            answered_at = Some(rig.now);
            break;
        }
        if let Some(host) = sent_to(&out) {
            out = rig.end(1, host, if host == PREFILL { Outcome::Prefilled } else { Outcome::Rejected });
        } else {
            out = rig.tick(10 * MS);
        }
    }
    let answered_at = answered_at.expect("a final answer");
    assert!(answered_at <= 100 * S + S + 100 * MS, "{answered_at}");
}

#[test]
fn rule_2_a_repeat_tells_until_when_it_may_begin() {
    let members = [member(PREFILL, 0), member(DECODE, 1), member(11, 1)];
    // Shorter than the time of what is held, which limits each send of a state.
    let window = 300 * MS;
    let mut rig =
        Rig::new(with_effect(Idempotency::Keyed { scope: DeduplicationScope::All, window }), &members);
    let start_within = |out: &[Action]| {
        out.iter().find_map(|a| match a {
            Action::Send { start_within, .. } => Some(*start_within),
            _ => None,
        })
    };
    assert_eq!(start_within(&rig.request(1)), Some(None), "a read has no effect");
    let first = rig.end(1, PREFILL, Outcome::Prefilled);
    let sent_at = rig.now;
    assert_eq!(
        start_within(&first),
        Some(Some(450 * MS)),
        "nothing may have run yet, so only the state limits it"
    );
    let repeat = rig.end(1, sent_to(&first).unwrap(), Outcome::Error);
    let within = start_within(&repeat).flatten().expect("a repeat within its window");
    // With time to spare for the way to the instance.
    assert!(rig.now + within <= sent_at + window - 50 * MS, "{within}");
}

#[test]
fn rule_2_no_second_attempt_while_one_is_out() {
    let members = [member(PREFILL, 0), member(2, 0), member(DECODE, 1), member(11, 1)];
    let mut rig = Rig::new(settings(), &members);
    rig.request(1);
    for _ in 0..100 {
        assert_eq!(sent_to(&rig.tick(10 * MS)), None);
    }
}

#[test]
fn rule_3_a_draining_host_gets_nothing_new() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1), member(11, 1)]);
    rig.request(1);
    let drains = |host| EndpointUpdate { lifecycle: Lifecycle::Draining, ..member(host, 1) };
    rig.step(0, &[Event::EndpointsChanged { snapshot: false, updates: vec![drains(DECODE)] }]);
    assert_eq!(sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)), Some(11));
    rig.step(0, &[Event::EndpointsChanged { snapshot: false, updates: vec![drains(11)] }]);
    assert_eq!(sent_to(&rig.request(2)), None);
}

#[test]
fn rule_3_a_host_missing_from_a_whole_list_is_gone() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    rig.step(0, &[Event::EndpointsChanged { snapshot: true, updates: vec![member(PREFILL, 0)] }]);
    assert_eq!(sent_to(&rig.request(1)), None);
}

#[test]
fn rule_4_a_starting_host_is_sent_little_in_any_window() {
    let cold = |host, kind| EndpointUpdate { started_at: Some(100 * S), ..member(host, kind) };
    let mut rig = Rig::new(settings(), &[cold(PREFILL, 0), member(DECODE, 1), member(11, 1)]);
    let sends = (0..100).filter(|&id| {
        rig.step(10 * MS, &[]);
        let out = rig.request(id);
        out.iter().any(|a| matches!(a, Action::Send { endpoint: EndpointId(PREFILL), .. }))
    });
    assert!(sends.count() <= 20, "a hundred asked within a second");
}

#[test]
fn rule_5_a_state_that_nobody_takes_is_released_in_time() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    rig.request(1);
    let gone = EndpointUpdate { lifecycle: Lifecycle::Removed, ..member(DECODE, 1) };
    rig.step(0, &[Event::EndpointsChanged { snapshot: false, updates: vec![gone] }]);
    let mut out = rig.end(1, PREFILL, Outcome::Prefilled);
    let read_at = rig.now;
    while !out.contains(&Action::ReleaseReservation(RequestId(1))) {
        out = rig.tick(5 * MS);
        assert!(rig.now < read_at + 500 * MS, "still held");
    }
}

#[test]
fn rule_5_a_state_whose_writer_turned_it_away_is_sent_on_or_released_in_time() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    rig.request(1);
    rig.end(1, PREFILL, Outcome::Prefilled);
    let mut out = rig.end(1, DECODE, Outcome::Rejected);
    let since = rig.now;
    while sent_to(&out).is_none() && !out.contains(&Action::ReleaseReservation(RequestId(1))) {
        out = rig.tick(5 * MS);
        assert!(rig.now < since + 500 * MS, "still held");
    }
}

#[test]
fn rule_5_a_state_whose_attempt_broke_off_under_way_is_sent_on_again() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1), member(11, 1)]);
    rig.request(1);
    let first = sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)).expect("sent on");
    let mut broke = ended(1, first, Outcome::ConnectionLost, false);
    if let Event::AttemptFinished { elapsed: took, .. } = &mut broke {
        *took = 450 * MS;
    }
    let second = sent_to(&rig.step(450 * MS, &[broke])).expect("sent on again at once");
    assert!(![first, PREFILL].contains(&second), "the state was not let go of");
}

#[test]
fn rule_5_all_is_let_go_of_where_a_state_is_gone_before_the_prompt_waits_to_be_read_anew() {
    let mut set = settings();
    set.capabilities.max_attempts = 8;
    let mut rig = Rig::new(set, &[member(PREFILL, 0), member(DECODE, 1), member(11, 1)]);
    rig.request(1);
    let first = sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)).expect("sent on");
    let second = sent_to(&rig.end(1, first, Outcome::TimedOut)).expect("sent on again");
    // The first one may have fetched it and said nothing.
    let out = rig.end(1, second, Outcome::StateMissing);
    assert!(out.contains(&Action::ReleaseReservation(RequestId(1))), "{out:?}");
}

#[test]
fn rule_5_a_state_waits_on_while_connections_to_writers_do_not_come_up() {
    let mut set = settings();
    set.capabilities.max_attempts = 8;
    let members: Vec<_> = [member(PREFILL, 0)].into_iter().chain((10..18).map(|w| member(w, 1))).collect();
    let mut rig = Rig::new(set, &members);
    rig.request(1);
    let mut out = rig.end(1, PREFILL, Outcome::Prefilled);
    let read_at = rig.now;
    while !out.contains(&Action::ReleaseReservation(RequestId(1))) {
        out = match sent_to(&out) {
            Some(decode) => rig.step(250 * MS, &[ended(1, decode, Outcome::ConnectFailed, false)]),
            None => rig.tick(5 * MS),
        };
        assert!(rig.now < read_at + 800 * MS, "still held");
    }
}

#[test]
fn rule_1_a_request_of_no_known_class_is_refused_at_once() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    let out = rig.step(0, &[Event::RequestReceived(RequestSpec { class: ClassId(9), ..ask(1) })]);
    assert_eq!(out, [Action::Reject { request: RequestId(1), retry_after: None }]);
}

#[test]
fn extreme_times_and_sizes_do_not_panic() {
    let started = EndpointUpdate { started_at: Some(Micros::MAX), ..member(DECODE, 1) };
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), started]);
    for (id, time_left) in [(1, Micros::MAX), (2, -S), (3, 0)] {
        let odd = RequestSpec {
            client_timeout: time_left,
            prompt_tokens: f64::MAX,
            stream_duration_hint: Some(Micros::MAX),
            ..ask(id)
        };
        rig.step(0, &[Event::RequestReceived(odd)]);
    }
    for id in 1..4 {
        rig.end(id, PREFILL, Outcome::Prefilled);
        rig.tick(5 * MS);
    }
}

#[test]
fn rule_1_where_one_attempt_can_not_serve_a_request_is_refused_at_once() {
    let mut set = settings();
    set.capabilities.max_attempts = 1;
    set.kinds.truncate(2);
    let mut rig = Rig::new(set, &[member(PREFILL, 0), member(DECODE, 1)]);
    assert_eq!(rig.request(1), [Action::Reject { request: RequestId(1), retry_after: None }]);
}

#[test]
fn rule_4_a_hundred_routers_together_spare_a_cold_host_and_yet_use_it() {
    // Each has one request a second; the list tells all of them of a start at the same moment.
    let members: Vec<_> = (1..9).map(|h| member(h, 0)).chain([member(20, 1)]).collect();
    let cold = EndpointUpdate { started_at: Some(130 * S), ..member(1, 0) };
    let mut sends = Vec::new();
    for router in 0..100u64 {
        let mut rig =
            Rig { router: inference_router::scheduler::Scheduler::new(settings(), router), now: 100 * S };
        rig.step(0, &[Event::EndpointsChanged { snapshot: true, updates: members.clone() }]);
        for n in 0..42 {
            if n == 30 {
                rig.step(0, &[Event::EndpointsChanged { snapshot: false, updates: vec![cold.clone()] }]);
            }
            let (id, after) = (router * 1000 + n, 10 * MS * router as Micros);
            let asked = RequestSpec { prefix: Some(CacheKey(id)), ..ask(id) };
            rig.step(after, &[]);
            let out = rig.step(0, &[Event::RequestReceived(asked)]);
            if let Some(prefill) = sent_to(&out) {
                if prefill == 1 && n >= 30 {
                    sends.push(rig.now);
                }
                let took = rig.end(id, prefill, Outcome::Prefilled);
                if let Some(decode) = sent_to(&took) {
                    rig.step(0, &[began(id, decode), ended(id, decode, Outcome::Completed, true)]);
                }
            }
            rig.now = (100 + n as Micros + 1) * S;
        }
    }
    // 100 requests a second over 8 prefill servers: what one takes is 12.5 a second at least. The start multiple is
    // 3.0 x 0.3 of that for one second.
    let most =
        (130..140).map(|s| sends.iter().filter(|&&at| (s * S..(s + 1) * S).contains(&at)).count()).max();
    assert!(most.unwrap() <= 11, "{most:?} in one second");
    assert!(sends.len() >= 10, "{} in all", sends.len());
}

#[test]
fn rule_4_where_all_readers_start_anew_they_are_sent_what_they_bear_and_more_as_they_warm() {
    let members: Vec<_> = (1..5).map(|h| member(h, 0)).chain([member(20, 1)]).collect();
    let mut rig = Rig::new(settings(), &members);
    // 20 requests a second; each that is admitted is served. When and where reads were sent, from a moment on.
    let play = |rig: &mut Rig, ids: std::ops::Range<u64>| {
        let (from, mut sends) = (rig.now, Vec::new());
        for id in ids {
            let mut out =
                rig.step(50 * MS, &[Event::RequestReceived(RequestSpec { prefix: None, ..ask(id) })]);
            while let Some((at, Action::Send { request, endpoint: host, .. })) = out
                .iter()
                .enumerate()
                .find(|(_, a)| matches!(a, Action::Send { endpoint: EndpointId(1..5), .. }))
            {
                let (request, host) = (request.0, host.0);
                sends.push((rig.now - from, host));
                out.remove(at);
                let read = rig.step(0, &[ended(request, host, Outcome::Prefilled, false)]);
                rig.step(0, &[began(request, 20), ended(request, 20, Outcome::Completed, true)]);
                out.extend(read);
            }
        }
        sends
    };
    assert!(play(&mut rig, 0..600).len() > 500, "warm prefill take all");
    let cold = |h| EndpointUpdate { started_at: Some(rig.now), ..member(h, 0) };
    let started: Vec<_> = (1..5).map(cold).collect();
    rig.step(0, &[Event::EndpointsChanged { snapshot: false, updates: started }]);
    let sends = play(&mut rig, 600..790);
    // Each can do 5 a second at least, as that came to it when it was warm; it starts at 0.3 of that and is warm
    // after 10 s; it falls when it gets over 3 times what it can do. By what is known half of that is in use.
    for host in 1..5 {
        for from in (0..9 * S).step_by(100_000) {
            let got = sends.iter().filter(|&&(at, to)| to == host && (from..from + S).contains(&at)).count();
            let bears = 3.0 * 5.0 * (0.3 + 0.7 * from as f64 / 1e7);
            assert!(
                got as f64 <= bears.ceil(),
                "{got} at {host} in the second after {from}, {bears} would do"
            );
        }
    }
    let within = |seconds: std::ops::Range<Micros>| {
        sends.iter().filter(|(at, _)| (seconds.start * S..seconds.end * S).contains(at)).count()
    };
    let (early, late) = (within(0..3), within(6..9));
    assert!(late >= 50 && 3 * late >= 4 * early, "{early} in the first 3 s, {late} in 3 s from 6 s on");
    assert!(early <= 48, "{early} in the first 3 s: 0.3 to 0.51 of 20 a second, times 3 and a half");
}

#[test]
fn rule_5_a_state_is_sent_on_only_if_that_can_begin_within_its_time() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1), member(11, 1)]);
    rig.request(1);
    let first = sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)).expect("sent on");
    let read_at = rig.now;
    let out = rig.step(250 * MS, &[ended(1, first, Outcome::ConnectFailed, false)]);
    let within = out.iter().find_map(|action| match action {
        Action::Send { start_within, .. } => Some(*start_within),
        _ => None,
    });
    let left = read_at + 500 * MS - rig.now;
    let within = within.expect("sent on again");
    assert!(within.is_some_and(|within| within < left), "{within:?} of the {left} us that are left");
}

/// Starts a fleet of routers at once, with one request a second each, that hear in their first list of a decode server
/// that has just started, and by probes that it is the one with most room; gives when it was sent something.
fn sends_to_a_cold_server_of_a_fleet_that_starts(routers: u64, first: impl Fn(u64) -> Micros) -> Vec<Micros> {
    let cold = EndpointUpdate { started_at: Some(100 * S), ..member(10, 1) };
    let members: Vec<_> =
        [member(PREFILL, 0), cold].into_iter().chain((11..18).map(|h| member(h, 1))).collect();
    let told = |host: u32| {
        let load = LoadReport {
            memory_utilization: Some(if host == 10 { 0.0 } else { 0.6 }),
            ..LoadReport::default()
        };
        Event::HealthChecked {
            endpoint: EndpointId(host),
            outcome: Outcome::Completed,
            load_report: Some(load),
        }
    };
    let mut sends = Vec::new();
    for router in 0..routers {
        let mut rig =
            Rig { router: inference_router::scheduler::Scheduler::new(settings(), router), now: 100 * S };
        rig.step(0, &[Event::EndpointsChanged { snapshot: true, updates: members.clone() }]);
        for n in 0..10 {
            let id = router * 1000 + n;
            rig.now = 100 * S + first(router) + n as Micros * S;
            rig.step(0, &(10..18).map(told).collect::<Vec<_>>());
            rig.step(0, &[Event::RequestReceived(RequestSpec { prefix: Some(CacheKey(id)), ..ask(id) })]);
            let out = rig.end(id, PREFILL, Outcome::Prefilled);
            let Some(decode) = sent_to(&out) else { continue };
            if decode == 10 {
                sends.push(rig.now);
            }
            rig.step(0, &[began(id, decode), ended(id, decode, Outcome::Completed, true)]);
        }
    }
    sends
}

#[test]
fn rule_4_a_fleet_of_routers_that_start_together_spares_a_server_that_started_with_them() {
    for routers in [100, 400] {
        let sends = sends_to_a_cold_server_of_a_fleet_that_starts(routers, |router| {
            (router * 997 % 1_000) as Micros * MS
        });
        for second in 100..110 {
            let got = sends.iter().filter(|&&at| (second * S..(second + 1) * S).contains(&at)).count() as f64;
            // Its part of the requests, as if it could do just those, times the multiple that it bears.
            let warmth = 0.3 + 0.7 * (second - 100) as f64 / 10.0;
            let bears = routers as f64 / 8.0 * 3.0 * warmth;
            let most = bears + 2.0 * bears.sqrt() + 2.0;
            assert!(got <= most, "{got} sends of {routers} routers in second {second}, {most} are allowed");
        }
        assert!(sends.len() >= routers as usize / 2, "{} sends: it is used", sends.len());
    }
}

/// A request whose first decode server may have run it and has left the list since, and whose second one could not be
/// reached: what the router does then.
fn after_the_first_server_left(group: DeduplicationScope) -> Vec<Action> {
    let members = [member(PREFILL, 0), member(DECODE, 1), member(11, 1), member(12, 1)];
    let mut rig = Rig::new(with_effect(Idempotency::Keyed { scope: group, window: 5 * S }), &members);
    rig.request(1);
    let first = sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)).expect("sent on");
    let second = sent_to(&rig.end(1, first, Outcome::ConnectionLost)).expect("a repeat in the group");
    let gone = members.iter().find(|m| m.endpoint.0 == first).expect("a member");
    let gone = EndpointUpdate { lifecycle: Lifecycle::Removed, ..gone.clone() };
    rig.step(0, &[Event::EndpointsChanged { snapshot: false, updates: vec![gone] }]);
    rig.end(1, second, Outcome::ConnectFailed)
}

#[test]
fn rule_2_a_keyed_request_is_repeated_in_its_group_though_its_first_server_left_the_list() {
    for group in [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell] {
        let out = after_the_first_server_left(group);
        assert!(sent_to(&out).is_some(), "{group:?}: {out:?}");
    }
}

#[test]
fn a_server_that_took_long_to_say_that_it_is_full_is_tried_again_within_seconds() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    rig.request(1);
    let Event::AttemptFinished {
        request,
        attempt,
        endpoint: host,
        outcome,
        is_final: last,
        cached_tokens: kept,
        load_report: load,
        ..
    } = ended(1, PREFILL, Outcome::Rejected, false)
    else {
        panic!("an end of an attempt")
    };
    let slow = Event::AttemptFinished {
        request,
        attempt,
        endpoint: host,
        outcome,
        is_final: last,
        cached_tokens: kept,
        elapsed: 2 * S,
        load_report: load,
    };
    rig.step(2 * S, &[slow]);
    rig.step(4 * S, &[]);
    assert_eq!(sent_to(&rig.request(2)), Some(PREFILL));
}

#[test]
fn rule_5_a_reset_that_follows_a_send_at_once_does_not_lengthen_the_time_of_what_is_held() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    rig.request(1);
    let mut out = rig.end(1, PREFILL, Outcome::Prefilled);
    let read_at = rig.now;
    while !out.contains(&Action::ReleaseReservation(RequestId(1))) {
        let reset = sent_to(&out).map(|host| ended(1, host, Outcome::ConnectionLost, false));
        out = rig.step(5 * MS, reset.as_slice());
        let held = rig.now - read_at;
        assert!(held <= 500 * MS, "held for {held} us, of which nearly none with an attempt out");
    }
}
