//! The admission, the tiers and the pairing.
mod common;

use common::rig::*;
use inference_router::scheduler::Scheduler;
use inference_router::scheduler::*;

#[test]
fn a_request_is_read_then_written() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    assert_eq!(sent_to(&rig.request(1)), Some(PREFILL));
    assert_eq!(sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)), Some(DECODE));
}

#[test]
fn an_unfitted_curve_does_not_admit_without_limit() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(2, 0), member(DECODE, 1)]);
    let sent = (0..200).filter(|&id| sent_to(&rig.request(id)).is_some()).count();
    assert!((5..60).contains(&sent), "{sent} admitted");
}

#[test]
fn a_curve_that_shows_slow_streams_makes_requests_wait_unread() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    // Twice the wanted pace even alone: 100 tokens were guessed.
    for id in 0..20 {
        rig.serve(id, 12 * S);
    }
    assert_eq!(sent_to(&rig.request(99)), None);
}

#[test]
fn a_quick_writer_goes_on_admitting() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    for id in 0..30 {
        assert_eq!(rig.serve(id, 2 * S), Some(DECODE));
    }
}

#[test]
fn the_writer_is_in_the_reader_s_cell_while_one_passes() {
    let members = [in_cell(PREFILL, 0, 1), in_cell(DECODE, 1, 1), in_cell(11, 1, 2)];
    let mut rig = Rig::new(settings(), &members);
    assert_eq!(sent_to(&rig.request(1)), Some(PREFILL));
    assert_eq!(sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)), Some(DECODE));
    let gone = EndpointUpdate { lifecycle: Lifecycle::Removed, ..members[1].clone() };
    rig.step(0, &[Event::EndpointsChanged { snapshot: false, updates: vec![gone] }]);
    rig.request(2);
    assert_eq!(sent_to(&rig.end(2, PREFILL, Outcome::Prefilled)), Some(11));
}

#[test]
fn one_beginning_is_read_at_one_reader_by_every_router() {
    let members: Vec<_> = (1..6).map(|h| member(h, 0)).chain([member(DECODE, 1)]).collect();
    let home = |zone| {
        let mut rig = Rig::new(Settings { zone: ZoneId(zone), ..settings() }, &members);
        let first = sent_to(&rig.request(1)).unwrap();
        rig.end(1, first, Outcome::Prefilled);
        assert_eq!(sent_to(&rig.request(2)), Some(first));
        first
    };
    assert_eq!(home(0), home(1));
}

#[test]
fn a_crowded_home_gives_way_to_the_next_reader() {
    let mut set = settings();
    set.kinds[1].memory_tokens = Some(1e9);
    let mut rig = Rig::new(set, &[member(1, 0), member(2, 0), member(3, 0), member(DECODE, 1)]);
    let prefill: std::collections::BTreeSet<_> = (0..12).filter_map(|id| sent_to(&rig.request(id))).collect();
    assert!(prefill.len() > 1);
}

#[test]
fn traffic_beyond_a_tenant_s_share_waits_while_the_high_tier_holds_any() {
    let mut set = settings();
    set.tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut rig = Rig::new(set, &[]);
    let of =
        |id: u64, tenant| Event::RequestReceived(RequestSpec { tenant: Some(TenantId(tenant)), ..ask(id) });
    for id in 0..10 {
        rig.step(0, &[of(id, 0)]);
    }
    rig.step(0, &[of(50, 1)]);
    let members = vec![member(PREFILL, 0), member(DECODE, 1)];
    let out = rig.step(0, &[Event::EndpointsChanged { snapshot: true, updates: members }]);
    let sent: Vec<_> = out
        .iter()
        .filter_map(|a| match a {
            Action::Send { request, .. } => Some(request.0),
            _ => None,
        })
        .collect();
    let at = sent.iter().position(|&id| id == 50).expect("the share's own goes");
    assert!(at <= 1 && sent.len() <= 3, "{sent:?}");
}

#[test]
fn a_host_that_errs_at_once_is_rested_and_tried_singly() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1), member(11, 1)]);
    let mut bad = 0;
    for id in 0..40 {
        rig.request(id);
        let Some(decode) = sent_to(&rig.end(id, PREFILL, Outcome::Prefilled)) else { continue };
        if decode == DECODE {
            bad += 1;
            rig.end(id, decode, Outcome::Error);
        } else {
            rig.step(0, &[began(id, decode), ended(id, decode, Outcome::Completed, true)]);
        }
    }
    assert!(bad <= 6, "{bad} of 40 went to the failing host");
}

#[test]
fn repeated_failures_are_logged_once() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    let mut lines = Vec::new();
    for id in 0..8 {
        rig.request(id);
        rig.step(3 * S, &[]);
        let out = rig.end(id, PREFILL, Outcome::ConnectFailed);
        lines.extend(out.into_iter().filter(|a| matches!(a, Action::Log(_))));
    }
    let line = format!("host {PREFILL} fails again and again: single trials only");
    assert_eq!(lines, [Action::Log(line)]);
}

#[test]
fn a_state_that_is_gone_is_read_anew() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    rig.request(1);
    rig.end(1, PREFILL, Outcome::Prefilled);
    assert_eq!(sent_to(&rig.end(1, DECODE, Outcome::StateMissing)), Some(PREFILL));
}

#[test]
fn a_mixed_host_reads_by_itself_only_when_no_reader_can() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(20, 2)]);
    assert_eq!(sent_to(&rig.request(1)), Some(PREFILL));
    let gone = EndpointUpdate { lifecycle: Lifecycle::Removed, ..member(PREFILL, 0) };
    rig.step(0, &[Event::EndpointsChanged { snapshot: false, updates: vec![gone] }]);
    assert_eq!(sent_to(&rig.request(2)), Some(20));
}

#[test]
fn the_list_is_asked_for_where_it_must_be_and_again_when_that_failed() {
    let mut rig = Rig {
        router: inference_router::scheduler::Scheduler::new(
            Settings { watch_endpoint_list: true, ..settings() },
            1,
        ),
        now: 0,
    };
    assert_eq!(rig.step(0, &[]), [Action::WatchEndpoints]);
    assert_eq!(rig.step(S, &[]), []);
    assert_eq!(rig.step(0, &[Event::WatchFailed]), [Action::WatchEndpoints]);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let members: Vec<_> = (1..5).map(|h| member(h, 0)).chain((10..14).map(|h| member(h, 1))).collect();
        let mut rig = Rig::new(settings(), &members);
        (0..50).flat_map(|id| rig.request(id)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

/// Late requests only: their aims have passed, their deadlines have not.
fn late(id: u64) -> Event {
    Event::RequestReceived(RequestSpec {
        client_timeout: 4 * S,
        prompt_tokens: 40_000.0,
        prefix: None,
        ..ask(id)
    })
}

#[test]
fn of_the_low_tier_one_is_on_its_way_at_a_time() {
    let mut set = settings();
    set.kinds[1].memory_tokens = Some(1e9);
    let mut rig = Rig::new(set, &[member(PREFILL, 0), member(2, 0), member(3, 0), member(DECODE, 1)]);
    let sent = (0..20).filter(|&id| sent_to(&rig.step(5 * MS, &[late(id)])).is_some()).count();
    assert_eq!(sent, 1, "40,000 tokens can't be read within the aim by any");
}

#[test]
fn a_mixed_host_reads_by_itself_when_every_reader_is_jammed() {
    let mut set = settings();
    set.kinds[1].memory_tokens = Some(1e9);
    let mut rig = Rig::new(set, &[member(PREFILL, 0), member(20, 2)]);
    let sent: Vec<_> = (0..12).filter_map(|id| sent_to(&rig.request(id))).collect();
    assert_eq!(sent[0], PREFILL);
    assert!(sent.contains(&20), "{sent:?}");
}

#[test]
fn a_beginning_is_read_at_one_reader_and_under_load_at_few() {
    let members: Vec<_> = (1..10).map(|h| member(h, 0)).chain([member(DECODE, 1)]).collect();
    let read_at = |router, session| {
        let mut rig =
            Rig { router: inference_router::scheduler::Scheduler::new(settings(), router), now: 100 * S };
        rig.step(0, &[Event::EndpointsChanged { snapshot: true, updates: members.clone() }]);
        let asked = RequestSpec { session: Some(CacheKey(session)), ..ask(1) };
        sent_to(&rig.step(0, &[Event::RequestReceived(asked)])).unwrap()
    };
    let preferred: std::collections::BTreeSet<_> = (0..40).map(|session| read_at(session, session)).collect();
    assert_eq!(preferred.len(), 1, "all routers agree while it is free: {preferred:?}");
    // Reads that do not end: the beginning outgrows one prefill server, and is still not read everywhere.
    let mut rig = Rig::new(settings(), &members);
    let crowded: std::collections::BTreeSet<_> = (0..40).filter_map(|id| sent_to(&rig.request(id))).collect();
    assert!((2..=3).contains(&crowded.len()) && crowded.is_superset(&preferred), "{crowded:?}");
}

/// A router of a hundred with eight prefill servers that may be asked.
fn one_of_a_hundred() -> Rig {
    let mut set = settings();
    (set.replicas, set.capabilities.health_checks) = (100, true);
    let members: Vec<_> = (1..9).map(|h| member(h, 0)).chain([member(50, 1)]).collect();
    Rig::new(set, &members)
}

fn asked_readers(out: &[Action]) -> Vec<u32> {
    out.iter()
        .filter_map(|a| if let Action::HealthCheck(EndpointId(h @ 1..9)) = a { Some(*h) } else { None })
        .collect()
}

#[test]
fn a_router_that_sees_little_of_its_readers_asks_and_reads_where_least_waits() {
    let mut rig = one_of_a_hundred();
    rig.step(5 * S, &[]);
    let out = rig.request(1);
    let asked = asked_readers(&out);
    assert_eq!((asked.len(), sent_to(&out)), (3, None), "{out:?}");
    let told = |(host, waiting): (&u32, f64)| Event::HealthChecked {
        endpoint: EndpointId(*host),
        outcome: Outcome::Completed,
        load_report: Some(LoadReport { queued_prefill_tokens: Some(waiting), ..LoadReport::default() }),
    };
    let answers: Vec<_> = asked.iter().zip([60_000.0, 0.0, 30_000.0]).map(told).collect();
    let mut out = rig.step(5 * MS, &answers);
    while sent_to(&out).is_none() {
        out = rig.tick(5 * MS);
        assert!(rig.now < 105 * S + 100 * MS, "an answer is not waited for long");
    }
    assert_eq!(sent_to(&out), Some(asked[1]));
}

#[test]
fn a_reader_that_stays_silent_when_asked_comes_after_those_that_answer() {
    let mut rig = one_of_a_hundred();
    rig.step(5 * S, &[]);
    let asked = asked_readers(&rig.request(1));
    // The first preferred server, where the beginning is thought to be kept, may hang; the second has a little to do.
    let told = |host: u32, waiting: f64| Event::HealthChecked {
        endpoint: EndpointId(host),
        outcome: Outcome::Completed,
        load_report: Some(LoadReport { queued_prefill_tokens: Some(waiting), ..LoadReport::default() }),
    };
    rig.step(5 * MS, &[told(asked[1], 1_000.0), told(asked[2], 9_000.0)]);
    assert_eq!(sent_to(&rig.tick(15 * MS)), Some(asked[1]));
}

#[test]
fn a_router_whose_readers_do_not_answer_reads_all_the_same() {
    let mut rig = one_of_a_hundred();
    rig.step(5 * S, &[]);
    assert_eq!(sent_to(&rig.request(1)), None);
    assert!(sent_to(&rig.tick(20 * MS)).is_some());
}

#[test]
fn a_router_that_hears_of_its_readers_all_the_time_does_not_ask() {
    let mut rig = one_of_a_hundred();
    rig.step(5 * S, &[]);
    // Twenty requests a second to each prefill server.
    let asked = (0..400).map(|id| asked_readers(&rig.step(6 * MS, &[Event::RequestReceived(ask(id))])).len());
    let asked: Vec<_> = asked.collect();
    assert_eq!(asked[200..].iter().sum::<usize>(), 0, "{asked:?}");
}

#[test]
fn a_wait_before_short_reads_is_not_taken_for_what_each_token_costs() {
    let members: Vec<_> = (1..5).map(|h| member(h, 0)).chain([member(50, 1)]).collect();
    let mut rig = Rig::new(settings(), &members);
    for id in 0..8 {
        let short = RequestSpec { prompt_tokens: 200.0, prefix: None, ..ask(id) };
        let prefill = sent_to(&rig.step(0, &[Event::RequestReceived(short)])).expect("sent");
        // Others' reads came before it.
        rig.step(500 * MS, &[took(id, prefill, 500 * MS)]);
        rig.step(0, &[began(id, 50), ended(id, 50, Outcome::Completed, true)]);
    }
    // Half a second of waiting and 1.6 s of reading fit into the four that the client waits.
    let out = rig
        .step(0, &[Event::RequestReceived(RequestSpec { prompt_tokens: 20_000.0, prefix: None, ..ask(90) })]);
    assert!(sent_to(&out).is_some() && finals(&out) == 0, "{out:?}");
}

#[test]
fn a_read_has_time_for_a_beginning_that_is_not_kept_after_all() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    let long =
        RequestSpec { prompt_tokens: 8_000.0, prefix_tokens: 7_500.0, client_timeout: 20 * S, ..ask(1) };
    let out = rig.step(0, &[Event::RequestReceived(long)]);
    let time_out = out
        .iter()
        .find_map(|a| if let Action::Send { timeout: time_out, .. } = a { Some(*time_out) } else { None });
    assert!(time_out.is_some_and(|t| t >= 2 * S), "640 ms if all is read: {out:?}");
}

#[test]
fn routers_that_know_the_same_do_not_all_choose_the_same_writer() {
    let members: Vec<_> = (10..14).map(|h| member(h, 1)).chain([member(PREFILL, 0)]).collect();
    let mut taken = std::collections::BTreeMap::new();
    for router in 0..100 {
        let mut rig =
            Rig { router: inference_router::scheduler::Scheduler::new(settings(), router), now: 100 * S };
        rig.step(0, &[Event::EndpointsChanged { snapshot: true, updates: members.clone() }]);
        rig.request(1);
        *taken.entry(sent_to(&rig.end(1, PREFILL, Outcome::Prefilled)).unwrap()).or_insert(0) += 1;
    }
    assert!(taken.len() == 4 && taken.values().all(|&n| n < 50), "{taken:?}");
}

#[test]
fn a_router_among_a_hundred_admits_from_its_first_second_on() {
    let mut set = settings();
    set.replicas = 100;
    let mut rig = Rig::new(set, &[member(PREFILL, 0), member(DECODE, 1)]);
    assert_eq!(sent_to(&rig.request(1)), Some(PREFILL));
}

#[test]
fn a_cell_short_of_writers_sends_part_of_its_states_to_one_with_writers_to_spare() {
    let short = [in_cell(1, 0, 1), in_cell(2, 0, 1), in_cell(3, 0, 1), in_cell(DECODE, 1, 1)];
    let spare = (11..16).map(|h| EndpointUpdate { zone: ZoneId(1), ..in_cell(h, 1, 2) });
    let members: Vec<_> = short.into_iter().chain(spare).collect();
    let mut near = 0;
    for router in 0..100 {
        let mut rig =
            Rig { router: inference_router::scheduler::Scheduler::new(settings(), router), now: 100 * S };
        rig.step(0, &[Event::EndpointsChanged { snapshot: true, updates: members.clone() }]);
        let prefill = sent_to(&rig.request(router)).unwrap();
        near += usize::from(sent_to(&rig.end(router, prefill, Outcome::Prefilled)) == Some(DECODE));
    }
    assert!((5..50).contains(&near), "{near} of 100 states stayed at the one decode near");
}

#[test]
fn full_for_one_class_leaves_the_host_to_the_others() {
    let mut set = settings();
    set.classes.push(set.classes[0].clone());
    let mut rig = Rig::new(set, &[member(PREFILL, 0), member(DECODE, 1)]);
    rig.request(1);
    let mut full = ended(1, PREFILL, Outcome::Rejected, false);
    if let Event::AttemptFinished { elapsed: took, .. } = &mut full {
        *took = 300 * MS;
    }
    assert_eq!(sent_to(&rig.step(300 * MS, &[full])), None);
    let other = RequestSpec { class: ClassId(1), ..ask(2) };
    assert_eq!(sent_to(&rig.step(0, &[Event::RequestReceived(other)])), Some(PREFILL));
    assert_eq!(
        sent_to(&rig.step(2 * S, &[Event::RequestReceived(ask(3))])),
        None,
        "slow to say so, long left alone"
    );
}

#[test]
fn reads_that_time_out_make_the_next_wait_unread() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    for id in 0..6 {
        if sent_to(&rig.request(id)).is_some() {
            let mut end = ended(id, PREFILL, Outcome::TimedOut, true);
            if let Event::AttemptFinished { elapsed: took, .. } = &mut end {
                *took = 2 * S;
            }
            rig.step(2 * S, &[end]);
        }
        rig.step(3 * S, &[]);
    }
    let long =
        RequestSpec { prompt_tokens: 8_000.0, prefix: None, session: None, client_timeout: 2 * S, ..ask(90) };
    assert_eq!(sent_to(&rig.step(0, &[Event::RequestReceived(long)])), None);
}

#[test]
fn writers_are_probed_while_there_are_requests_and_own_streams_tell_too_seldom() {
    let limits = Capabilities { health_checks: true, ..settings().capabilities };
    let members = [member(PREFILL, 0), member(DECODE, 1)];
    let mut rig = Rig::new(Settings { capabilities: limits, ..settings() }, &members);
    let of = |out: &[Action]| out.iter().filter(|a| **a == Action::HealthCheck(EndpointId(DECODE))).count();
    let probes = |rig: &mut Rig| (0..1_000).map(|_| of(&rig.tick(10 * MS))).sum::<usize>();
    assert_eq!(probes(&mut rig), 0, "nothing to decide");
    rig.request(1);
    rig.end(1, PREFILL, Outcome::Prefilled);
    rig.step(0, &[began(1, DECODE)]);
    let alone = probes(&mut rig);
    assert!((8..=16).contains(&alone), "{alone} in 10 s by one of two that take turns every 0.35 s");
    // Twenty requests a second: each answer brings a report.
    let busy: Vec<_> =
        (2..402).map(|id| of(&rig.step(50 * MS, &[Event::RequestReceived(ask(id))]))).collect();
    assert_eq!(busy[100..].iter().sum::<usize>(), 0, "{busy:?}");
}

#[test]
fn absurd_reports_mislead_no_decision() {
    for memory in [f64::NAN, f64::INFINITY, -5.0, 1e300] {
        let members = [member(PREFILL, 0), member(DECODE, 1)];
        let mut rig = Rig::new(Settings { replicas: 0, ..settings() }, &members);
        let load = Some(LoadReport { memory_utilization: Some(memory), ..LoadReport::default() });
        rig.step(
            MS,
            &[Event::HealthChecked {
                endpoint: EndpointId(DECODE),
                outcome: Outcome::Completed,
                load_report: load,
            }],
        );
        assert_eq!(rig.serve(1, 2 * S), Some(DECODE), "{memory}");
    }
}

#[test]
fn readers_that_are_all_slow_do_not_drive_a_beginning_from_its_home() {
    let mut rig = Rig::new(settings(), &[member(1, 0), member(2, 0), member(3, 0), member(DECODE, 1)]);
    let mut slow_read = |id, prefix| {
        let asked = RequestSpec { prefix: Some(CacheKey(prefix)), ..ask(id) };
        let host = sent_to(&rig.step(0, &[Event::RequestReceived(asked)])).unwrap();
        rig.step(600 * MS, &[took(id, host, 600 * MS)]);
        rig.step(20 * MS, &[began(id, DECODE), ended(id, DECODE, Outcome::Completed, true)]);
        host
    };
    // Over half the aim for each read, at every prefill server; a long prompt would do better at no other.
    let home = slow_read(1, 7);
    for id in 2..12 {
        slow_read(id, 100 + id);
    }
    assert_eq!(sent_to(&rig.request(50)), Some(home));
}

fn took(id: u64, host: u32, took: Micros) -> Event {
    Event::AttemptFinished {
        request: RequestId(id),
        attempt: AttemptId(0),
        endpoint: EndpointId(host),
        outcome: Outcome::Prefilled,
        is_final: false,
        cached_tokens: 0.0,
        elapsed: took,
        load_report: None,
    }
}

#[test]
fn a_report_of_others_memory_keeps_a_full_writer_from_admitting() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    for id in 0..20 {
        assert_eq!(rig.serve(id, 2 * S), Some(DECODE));
    }
    let load = Some(LoadReport { memory_utilization: Some(0.95), ..LoadReport::default() });
    for _ in 0..12 {
        rig.step(
            0,
            &[Event::HealthChecked {
                endpoint: EndpointId(DECODE),
                outcome: Outcome::Completed,
                load_report: load.clone(),
            }],
        );
    }
    assert_eq!(sent_to(&rig.request(99)), None);
}

#[test]
fn what_was_never_sent_or_asked_for_is_passed_over() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    let out = rig.step(
        0,
        &[Event::ClientDisconnected(RequestId(77)), began(78, 999), ended(79, 999, Outcome::Completed, true)],
    );
    assert_eq!((sent_to(&out), finals(&out)), (None, 0));
}

#[test]
fn an_answer_in_one_piece_may_take_all_the_time_left() {
    let mut rig = Rig::new(settings(), &[member(DECODE, 2)]);
    let time_out = |out: &[Action]| match out {
        [.., Action::Send { timeout: time_out, .. }] => *time_out,
        other => panic!("expected one send, found {other:?}"),
    };
    let whole = |id| Event::RequestReceived(RequestSpec { unary: true, ..ask(id) });
    assert!(time_out(&rig.request(1)) < 4 * S, "silence of a stream is a sign");
    assert_eq!(time_out(&rig.step(0, &[whole(2)])), 4 * S);
    // Nor does its silence make the host look slow to the next.
    assert_eq!(time_out(&rig.step(S, &[ended(1, DECODE, Outcome::Cancelled, true), whole(3)])), 4 * S);
}

/// Probes that one decode server gets in ten seconds from so many routers, each of which holds a request all the time.
fn probes_by(routers: u32) -> usize {
    let mut set = settings();
    (set.replicas, set.capabilities.health_checks) = (routers, true);
    let probes = |out: &[Action]| out.iter().filter(|a| matches!(a, Action::HealthCheck(_))).count();
    let by_one = |seed: u32| {
        let mut rig = Rig { router: Scheduler::new(set.clone(), u64::from(seed)), now: 100 * S };
        rig.step(0, &[Event::EndpointsChanged { snapshot: true, updates: vec![member(DECODE, 1)] }]);
        let patient = RequestSpec { client_timeout: 60 * S, ..ask(1) };
        let first = probes(&rig.step(0, &[Event::RequestReceived(patient)]));
        first + (0..200).map(|_| probes(&rig.tick(50 * MS))).sum::<usize>()
    };
    (0..routers).map(by_one).sum()
}

#[test]
fn a_writer_is_probed_as_often_by_a_large_fleet_as_by_a_small_one() {
    let (few, many) = (probes_by(4), probes_by(100));
    assert!(few >= 20, "a small fleet asks every 0.7 s: {few} probes in 10 s");
    assert!(many <= few * 3 / 2, "{many} probes by 100 routers, {few} by 4");
    assert!(many >= few / 2, "{many} probes by 100 routers, {few} by 4");
}

#[test]
fn a_state_whose_aim_is_past_goes_on_at_once() {
    let mut rig = Rig::new(settings(), &[member(PREFILL, 0), member(DECODE, 1)]);
    assert_eq!(sent_to(&rig.request(1)), Some(PREFILL));
    // The read took longer than the aim of 1.06 s, and the client waits until 4 s.
    let out = rig.step(1_500 * MS, &[ended(1, PREFILL, Outcome::Prefilled, false)]);
    assert_eq!(sent_to(&out), Some(DECODE), "waiting gains it nothing: {out:?}");
}

#[test]
fn in_a_large_fleet_the_low_tier_goes_on_after_one_that_came_late() {
    let mut set = settings();
    set.replicas = 100;
    let members: Vec<_> = (1..21).map(|h| member(h, 0)).chain([member(50, 1)]).collect();
    let mut rig = Rig::new(set, &members);
    // Past its aim from the start, but not past the client's patience.
    let hopeless = |id| RequestSpec { prompt_tokens: 40_000.0, client_timeout: 60 * S, ..ask(id) };
    for id in 1..6 {
        let prefill =
            sent_to(&rig.step(10 * S, &[Event::RequestReceived(hopeless(id))])).expect("sent untested");
        let read = match ended(id, prefill, Outcome::Prefilled, false) {
            Event::AttemptFinished {
                request,
                attempt,
                endpoint: host,
                outcome,
                is_final: last,
                cached_tokens: kept,
                load_report: load,
                ..
            } => Event::AttemptFinished {
                request,
                attempt,
                endpoint: host,
                outcome,
                is_final: last,
                cached_tokens: kept,
                elapsed: 4 * S,
                load_report: load,
            },
            other => other,
        };
        rig.step(4 * S, &[read]);
        rig.step(0, &[began(id, 50), ended(id, 50, Outcome::Completed, true)]);
    }
    assert!(sent_to(&rig.step(10 * S, &[Event::RequestReceived(hopeless(6))])).is_some());
    rig.step(0, &[Event::ClientDisconnected(RequestId(6)), ended(6, 1, Outcome::Cancelled, true)]);
    let mut out = rig.step(0, &[Event::RequestReceived(hopeless(7))]);
    let since = rig.now;
    while sent_to(&out).is_none() {
        out = rig.tick(5 * MS);
        assert!(rig.now < since + 3 * S, "100 routers and 20 prefill: each router may use one every 2 s");
    }
}

#[test]
fn after_a_writer_stays_silent_the_next_try_is_made_in_another_cell() {
    let near = [in_cell(PREFILL, 0, 1), in_cell(10, 1, 1), in_cell(11, 1, 1), in_cell(13, 1, 1)];
    for id in 1..9 {
        let mut rig = Rig::new(settings(), &[&near[..], &[in_cell(12, 1, 2)]].concat());
        rig.request(id);
        let first = sent_to(&rig.end(id, PREFILL, Outcome::Prefilled)).expect("sent on");
        let next = sent_to(&rig.end(id, first, Outcome::TimedOut)).expect("tried again");
        assert!(first == 12 || next == 12, "after {first} its neighbour {next}");
    }
}

#[test]
fn a_state_that_two_writers_could_not_fetch_is_read_anew_at_another_reader() {
    let prefill = [in_cell(1, 0, 1), in_cell(2, 0, 2)];
    let decode = [in_cell(10, 1, 1), in_cell(11, 1, 2), in_cell(12, 1, 1), in_cell(13, 1, 2)];
    let mut set = settings();
    set.capabilities.max_attempts = 6;
    let mut rig = Rig::new(set, &[&prefill[..], &decode[..]].concat());
    let first = sent_to(&rig.request(1)).expect("read");
    let decode = sent_to(&rig.end(1, first, Outcome::Prefilled)).expect("sent on");
    let second = sent_to(&rig.end(1, decode, Outcome::TimedOut)).expect("tried elsewhere");
    let out = rig.end(1, second, Outcome::TimedOut);
    assert!(out.contains(&Action::ReleaseReservation(RequestId(1))), "{out:?}");
    let again = sent_to(&out).expect("read anew");
    assert!([1, 2].contains(&again) && again != first, "from {first} to {again}");
    // The next request is spared it too.
    assert_eq!(sent_to(&rig.request(2)), Some(again));
}
