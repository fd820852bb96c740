//! A connection is reset under a request that a writer runs. The request has no body, and its class may not be repeated.

#[path = "common.rs"]
#[allow(dead_code)]
mod common;

use common::*;
use std::path::Path;
use std::sync::atomic::Ordering;

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| give_up("usage: twice RECORD"));
    let code = play(&Record::create(Path::new(&path)));
    std::process::exit(code)
}

fn play(record: &Record) -> i32 {
    let (fleet, instances) = small_fleet(record);
    let discovery = Discovery::start(&instances);
    // The class `invoice-post` of the site.
    let settings = SETTINGS
        .replace("dealer-query", "invoice-post")
        .replace("read_like", "non_idempotent")
        .replace(r#""deadline":7500.0"#, r#""deadline":6000.0"#)
        .replace(r#""objective":1500.0"#, r#""objective":2000.0"#);
    let limits = Limits { memory_mb: 80, sockets: 1_024 };
    let mut conductor = Conductor::start(&discovery, limits, &settings, None);
    let mut broken = Vec::new();
    for number in 0..5 {
        let id = format!("{:016x}", 0x9b1f_03aa_0000_0000_u64 + number);
        fleet.reset_next.store(trouble(), Ordering::Relaxed);
        let text = request_head(&id, "invoice-post", TRY_MS, 400, 200, 0);
        record.say(format!("client sends request {id}"));
        let answer = ask(conductor.address, &text, TRY_MS + GRACE_MS);
        record.say(format!("client got {answer:?} for request {id}"));
        let events = fleet.events.lock().unwrap();
        let runs = events
            .get(&id)
            .map_or(0, |events| events.iter().filter(|(_, event)| *event == Event::Taken).count());
        record.say(format!("request {id} was run {runs} times"));
        if runs > 1 {
            broken.push(format!("request {id} was run {runs} times"));
        }
        if runs > 0 && matches!(answer, Answer::Refused { .. }) {
            broken.push(format!(
                "request {id} was run, and its client was told that a further try is harmless"
            ));
        }
    }
    if let Some(end) = conductor.ended() {
        give_up(&format!("the conductor ended: {end}"));
    }
    verdict(record, &broken)
}
