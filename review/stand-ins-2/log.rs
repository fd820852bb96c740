//! The process that reads the conductor's log is killed.

#[path = "common.rs"]
#[allow(dead_code)]
mod common;

use common::*;
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| give_up("usage: log RECORD"));
    let code = play(&Record::create(Path::new(&path)));
    std::process::exit(code)
}

fn play(record: &Record) -> i32 {
    let (_fleet, instances) = small_fleet(record);
    let discovery = Discovery::start(&instances);
    let mut reader = Command::new("/bin/sh")
        .args(["-c", "exec cat >/dev/null"])
        .stdin(Stdio::piped())
        .spawn()
        .unwrap_or_else(|error| give_up(&error.to_string()));
    let log = reader.stdin.take().unwrap_or_else(|| give_up("the reader of the log has no pipe"));
    let limits = Limits { memory_mb: 80, sockets: 1_024 };
    let mut conductor = Conductor::start(&discovery, limits, SETTINGS, Some(log.into()));
    let mut broken = Vec::new();
    let mut traffic = Traffic::new();
    for number in 0..120 {
        if number == 16 && trouble() {
            record.say("the reader of the log is killed");
            let _ = reader.kill();
            let _ = reader.wait();
        }
        traffic.send(record, conductor.address);
        if let Some(end) = conductor.ended() {
            broken.push(format!("the conductor crashed: {end}"));
            break;
        }
        thread::sleep(ms(125));
    }
    broken.extend(traffic.lost(record));
    let _ = reader.kill();
    let _ = reader.wait();
    verdict(record, &broken)
}
