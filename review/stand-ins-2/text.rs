//! The text of a sound writer's answer has the character U+007F.

#[path = "common.rs"]
#[allow(dead_code)]
mod common;

use common::*;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| give_up("usage: text RECORD"));
    let code = play(&Record::create(Path::new(&path)));
    std::process::exit(code)
}

fn play(record: &Record) -> i32 {
    let (_fleet, instances) = small_fleet(record);
    for instance in &instances {
        instance.conduct.writes_delete.store(trouble(), Ordering::Relaxed);
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
