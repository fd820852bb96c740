//! Bad clients send half of a request and stay, and come again when they are turned away. The platform kills a
//! conductor that is over its memory.

#[path = "common.rs"]
#[allow(dead_code)]
mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

const LIMITS: Limits = Limits { memory_mb: 64, sockets: 1_024 };
/// With the usual clients, fewer than a third of the descriptors.
const BAD_CLIENTS: usize = 320;
/// How often each of them comes.
const ROUNDS: usize = 8;
/// What they announce, the most that a body may hold, and what they send of it.
const ANNOUNCED: usize = 256 * 1_024;
const SENT: usize = 60_000;

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| give_up("usage: memory RECORD"));
    let code = play(&Record::create(Path::new(&path)));
    std::process::exit(code)
}

fn play(record: &Record) -> i32 {
    let (_fleet, instances) = small_fleet(record);
    let discovery = Discovery::start(&instances);
    let mut conductor = Conductor::start(&discovery, LIMITS, SETTINGS, None);
    record.say(format!("memory at rest: {} KiB of {} KiB", conductor.memory_kb(), LIMITS.memory_mb * 1_024));
    let address = conductor.address;
    let over = Arc::new(AtomicBool::new(false));
    let mut broken = Vec::new();
    let mut traffic = Traffic::new();
    let mut most = 0;
    for tick in 0..480 {
        if tick % 5 == 0 {
            traffic.send(record, address);
        }
        if tick == 20 && trouble() {
            record.say(format!("{BAD_CLIENTS} bad clients come, {ROUNDS} times each"));
            for number in 0..BAD_CLIENTS {
                let (record, over) = (record.clone(), over.clone());
                thread::spawn(move || come(&record, address, number, &over));
            }
        }
        let memory = conductor.memory_kb();
        if memory > most + 4_096 {
            record.line(format!("memory: {memory} KiB"));
        }
        most = most.max(memory);
        if memory as usize > LIMITS.memory_mb * 1_024 {
            record.say(format!("memory: {memory} KiB; the platform kills the conductor"));
            conductor.kill();
            broken.push(format!("the conductor crashed: {memory} KiB of {} KiB", LIMITS.memory_mb * 1_024));
            break;
        }
        if let Some(end) = conductor.ended() {
            broken.push(format!("the conductor ended: {end}"));
            break;
        }
        thread::sleep(ms(50));
    }
    over.store(true, Ordering::Relaxed);
    record.say(format!("memory at most: {most} KiB"));
    broken.extend(traffic.lost(record));
    verdict(record, &broken)
}

/// One bad client: half of a request, then silence until it gets an answer or a close, and the same again.
fn come(record: &Record, address: SocketAddr, number: usize, over: &AtomicBool) {
    for round in 0..ROUNDS {
        let Ok(stream) = TcpStream::connect(address) else { return };
        let mut wire = Wire::new(stream);
        let head = request_head(&format!("bad-{number}-{round}"), "dealer-query", 7_500, 400, 200, ANNOUNCED);
        let start = record.now();
        let _ = wire.send(&head);
        let _ = wire.stream.write_all(&vec![b' '; SENT]);
        let answer = wire.head();
        let status = answer.ok().flatten().map_or("close".to_owned(), |head| head.word(1).to_owned());
        record.line(format!("bad client {number} got {status} after {} ms", record.now() - start));
        if over.load(Ordering::Relaxed) {
            return;
        }
    }
}
