//! The stream of a writer is spoilt: it goes on in one chunk that is said to have 3 GB and keeps coming.

#[path = "common.rs"]
#[allow(dead_code)]
mod common;

use common::*;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;

/// A client's connection has to end within 5 s after its stream was spoilt; every limit is 50 ms longer.
const END_WITHIN_MS: u64 = 5_050;
/// Time for the stand-ins to notice.
const NOTICE_MS: u64 = 1_000;

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| give_up("usage: spoilt RECORD"));
    let code = play(&Record::create(Path::new(&path)));
    std::process::exit(code)
}

fn play(record: &Record) -> i32 {
    let (fleet, instances) = small_fleet(record);
    for instance in &instances {
        instance.conduct.spoilt.store(trouble(), Ordering::Relaxed);
    }
    let discovery = Discovery::start(&instances);
    let limits = Limits { memory_mb: 80, sockets: 1_024 };
    let mut conductor = Conductor::start(&discovery, limits, SETTINGS, None);
    let mut traffic = Traffic::new();
    for _ in 0..5 {
        traffic.send(record, conductor.address);
    }
    thread::sleep(ms(END_WITHIN_MS + NOTICE_MS + 1_000));
    let mut broken = Vec::new();
    for (request, events) in fleet.events.lock().unwrap().iter() {
        let Some((spoilt_at, _)) = events.iter().find(|(_, event)| *event == Event::Spoilt) else { continue };
        let closed_at = events.iter().find(|(_, event)| *event == Event::Closed).map(|(at, _)| *at);
        if closed_at.is_none_or(|at| at > spoilt_at + END_WITHIN_MS + NOTICE_MS) {
            broken.push(format!(
                "request {request}: spoilt at {spoilt_at} ms, closed at {closed_at:?}, and at {} ms its client still \
                 gets what comes",
                record.now()
            ));
        }
    }
    if let Some(end) = conductor.ended() {
        give_up(&format!("the conductor ended: {end}"));
    }
    if !trouble() {
        broken = traffic.lost(record);
    }
    verdict(record, &broken)
}
