//! A writer puts an answer back into its queue, and goes on with it after 4.65 s.

#[path = "common.rs"]
#[allow(dead_code)]
mod common;

use common::*;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;

/// Between the two events around the pause a client waits for less than the 5 s that the rule allows.
const PAUSE_MS: u64 = 4_650;

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| give_up("usage: pause RECORD"));
    let code = play(&Record::create(Path::new(&path)));
    std::process::exit(code)
}

fn play(record: &Record) -> i32 {
    let (_fleet, instances) = small_fleet(record);
    if trouble() {
        for instance in &instances {
            instance.conduct.pause_ms.store(PAUSE_MS, Ordering::Relaxed);
        }
    }
    let discovery = Discovery::start(&instances);
    let limits = Limits { memory_mb: 80, sockets: 1_024 };
    let mut conductor = Conductor::start(&discovery, limits, SETTINGS, None);
    let mut traffic = Traffic::new();
    for _ in 0..10 {
        traffic.send(record, conductor.address);
        thread::sleep(ms(250));
    }
    let broken = traffic.lost(record);
    if let Some(end) = conductor.ended() {
        give_up(&format!("the conductor ended: {end}"));
    }
    verdict(record, &broken)
}
