//! A soak test: real routers, clients, servers and discovery agents on loopback sockets, with several troubles at once,
//! judged by the rules that hold under all of them.
//!
//! By default a short run of a few routers. A longer one is set up by variables:
//! `SOAK_SEED`, `SOAK_ROUTERS`, `SOAK_SECONDS`, `SOAK_TOLERANCE_MS` (for this machine's own delays) and `SOAK_KEEP=1`,
//! which leaves the routers' logs in place.

#[path = "../common/mod.rs"]
mod common;

mod client;
mod discovery;
mod endpoint;
mod fault_injection;
mod message;
mod replica;
mod run_state;
mod verifier;

use std::sync::Mutex;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use endpoint::EndpointStub;
use replica::ReplicaProcess;
use run_state::{Role, RunState};

/// For what is under way at the end to come to its end.
const AFTER_LOAD: Duration = Duration::from_secs(6);
const PREFILL_SERVERS: usize = 6;
const DECODE_SERVERS: usize = 8;
const FIRST_SERVER_PORT: usize = 9_000;
/// Clients for each router.
const CLIENTS: usize = 4;

fn variable(name: &str, usual: u64) -> u64 {
    std::env::var(name).map_or(usual, |value| value.parse().unwrap_or_else(|_| panic!("{name} is no number")))
}

async fn soak(seed: u64, routers: usize, load: Duration) -> (RunState, String) {
    let world = RunState::new(seed);
    let base = common::program::address();
    let roles = [(Role::Prefill, "r", PREFILL_SERVERS), (Role::Decode, "w", DECODE_SERVERS)];
    let mut servers = Vec::new();
    for (role, letter, count) in roles {
        for number in 0..count {
            let address = format!("{base}:{}", FIRST_SERVER_PORT + servers.len());
            servers.push(EndpointStub::start(&world, role, &format!("{letter}{number}"), address));
        }
    }
    let fleet: Vec<_> = (0..routers).map(|number| ReplicaProcess::new(&world, number, routers)).collect();
    for router in &fleet {
        router.start();
    }
    for router in &fleet {
        router.becomes_ready().await;
    }
    let until = Instant::now() + load;
    for number in 0..routers * CLIENTS {
        spawn_local(client::run(world.clone(), fleet.clone(), number, until));
    }
    spawn_local(fault_injection::run(world.clone(), fleet.clone(), servers, until));
    sleep_until(until).await;
    sleep(AFTER_LOAD).await;
    if fleet.iter().any(|router| !router.follows()) {
        world.trouble("BREAK: a router follows no list");
    }
    let ends: Vec<_> = fleet.into_iter().map(|router| spawn_local(router.end())).collect();
    let mut logs = String::new();
    for end in ends {
        logs += &end.await.expect("it ends well");
    }
    (world, logs)
}

#[test]
fn the_rules_hold_under_several_troubles_at_once() {
    let seed = variable("SOAK_SEED", 1);
    let routers = variable("SOAK_ROUTERS", 4) as usize;
    let load = Duration::from_secs(variable("SOAK_SECONDS", 10));
    let tolerance = Duration::from_millis(variable("SOAK_TOLERANCE_MS", 400));
    // A party that fails in a task of its own must not go unnoticed.
    static FAILED: Mutex<Vec<String>> = Mutex::new(Vec::new());
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        FAILED.lock().expect("no holder fails").push(panic.to_string());
    }));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (world, logs) = LocalSet::new().block_on(&runtime, soak(seed, routers, load));
    let _ = std::panic::take_hook();
    let mut verdict = verifier::judge(&world, &logs, tolerance);
    verdict.breaks.append(&mut FAILED.lock().expect("no holder fails"));
    println!("seed {seed}, {routers} routers, {} s: {}", load.as_secs(), verdict.summary);
    assert!(verdict.breaks.is_empty(), "seed {seed}:\n{}", verdict.breaks.join("\n"));
}
