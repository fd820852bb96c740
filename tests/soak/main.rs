//! A soak test: real replicas of the router with clients, endpoints and discovery on loopback sockets, and
//! several injected faults at once. It verifies the invariants that hold under all of these faults.
//!
//! By default this is a short run of a few replicas. Environment variables set up another one:
//!
//! - `SOAK_SEED`: the seed of all random numbers,
//! - `SOAK_ROUTERS`: the number of replicas,
//! - `SOAK_SECONDS`: the duration of the load,
//! - `SOAK_TOLERANCE_MS`: an allowance for the delays of the machine, added to each bound,
//! - `SOAK_KEEP`: if set, the replicas' logs and configurations stay after the run.

#[path = "../common/mod.rs"]
mod common;

mod client;
mod discovery;
mod endpoint;
mod fault_injection;
mod invariant;
mod message;
mod replica;
mod report;
mod run_state;
mod verifier;

use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use client::run_client;
use endpoint::EndpointStub;
use fault_injection::run_faults;
use replica::ReplicaProcess;
use report::Report;
use run_state::{Role, RunState};
use verifier::find_violations;

/// Time after the load within which the open requests and faults come to their ends.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Prefill endpoints of a run.
const PREFILL_ENDPOINTS: usize = 6;
/// Decode endpoints of a run.
const DECODE_ENDPOINTS: usize = 8;
/// The port of the first endpoint; the others follow it.
const FIRST_ENDPOINT_PORT: usize = 9_000;
/// Clients of a run, as a multiple of its replicas; each client connects to any replica.
const CLIENTS_PER_REPLICA: usize = 4;

/// The seed without `SOAK_SEED`.
const DEFAULT_SEED: u64 = 1;
/// The number of replicas without `SOAK_ROUTERS`.
const DEFAULT_REPLICAS: u64 = 4;
/// The duration of the load without `SOAK_SECONDS`, in seconds.
const DEFAULT_LOAD_SECONDS: u64 = 10;
/// The allowance for delays without `SOAK_TOLERANCE_MS`, in milliseconds.
const DEFAULT_TOLERANCE_MS: u64 = 400;

/// Panics of the run's tasks, which would go unnoticed otherwise.
static TASK_PANICS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// What a run is set up with.
struct RunOptions {
    seed: u64,
    replica_count: usize,
    load_duration: Duration,
    tolerance: Duration,
}

impl RunOptions {
    fn from_environment() -> Self {
        RunOptions {
            seed: environment_number("SOAK_SEED", DEFAULT_SEED),
            replica_count: environment_number("SOAK_ROUTERS", DEFAULT_REPLICAS) as usize,
            load_duration: Duration::from_secs(environment_number("SOAK_SECONDS", DEFAULT_LOAD_SECONDS)),
            tolerance: Duration::from_millis(environment_number("SOAK_TOLERANCE_MS", DEFAULT_TOLERANCE_MS)),
        }
    }
}

fn environment_number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(value) => value.parse().unwrap_or_else(|_| panic!("{name} is not a number")),
        Err(_) => default,
    }
}

fn start_endpoints(state: &RunState) -> Vec<Rc<EndpointStub>> {
    let base = common::config_files::loopback_address();
    let prefill_names = (0..PREFILL_ENDPOINTS).map(|number| (Role::Prefill, format!("r{number}")));
    let decode_names = (0..DECODE_ENDPOINTS).map(|number| (Role::Decode, format!("w{number}")));
    let mut endpoints = Vec::new();
    for (role, name) in prefill_names.chain(decode_names) {
        let address = format!("{base}:{}", FIRST_ENDPOINT_PORT + endpoints.len());
        endpoints.push(EndpointStub::start(state, role, &name, address));
    }
    endpoints
}

async fn start_replicas(state: &RunState, count: usize) -> Vec<Rc<ReplicaProcess>> {
    let replicas: Vec<_> = (0..count).map(|number| ReplicaProcess::new(state, number, count)).collect();
    for replica in &replicas {
        replica.start();
    }
    for replica in &replicas {
        replica.wait_until_ready().await;
    }
    replicas
}

/// Terminates all replicas at once and returns their logs.
async fn finish_replicas(replicas: Vec<Rc<ReplicaProcess>>) -> String {
    let tasks: Vec<_> = replicas.into_iter().map(|replica| spawn_local(replica.finish())).collect();
    let mut logs = String::new();
    for task in tasks {
        logs += &task.await.expect("the replica finishes");
    }
    logs
}

/// Runs replicas under load and faults, records what happens in `state`, and returns the replicas' logs.
async fn run_load(state: &RunState, options: &RunOptions) -> String {
    let endpoints = start_endpoints(state);
    let replicas = start_replicas(state, options.replica_count).await;
    let load_end = Instant::now() + options.load_duration;
    for number in 0..options.replica_count * CLIENTS_PER_REPLICA {
        spawn_local(run_client(state.clone(), replicas.clone(), number, load_end));
    }
    spawn_local(run_faults(state.clone(), replicas.clone(), endpoints, load_end));
    sleep_until(load_end).await;
    sleep(SETTLING_TIME).await;
    if replicas.iter().any(|replica| !replica.watches_endpoint_list()) {
        state.record_violation("a replica does not watch the endpoint list");
    }
    finish_replicas(replicas).await
}

/// Runs a future to its end and records the panics of its tasks.
fn run_recording_panics<T>(future: impl Future<Output = T>) -> T {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        TASK_PANICS.lock().expect("no holder of the lock panics").push(panic.to_string());
    }));
    let built = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = built.expect("a runtime can be built");
    let output = LocalSet::new().block_on(&runtime, future);
    let _ = std::panic::take_hook();
    output
}

#[test]
fn invariants_hold_under_concurrent_faults() {
    let options = RunOptions::from_environment();
    let state = RunState::new(options.seed);
    let logs = run_recording_panics(run_load(&state, &options));
    let violations = find_violations(&state.record.borrow(), &logs, options.tolerance);
    let mut report = Report::new(&state.record.borrow(), &violations, &logs);
    report.violations.append(&mut TASK_PANICS.lock().expect("no holder of the lock panics"));
    println!(
        "seed {}, {} replicas, {} s: {}",
        options.seed,
        options.replica_count,
        options.load_duration.as_secs(),
        report.summary
    );
    assert!(report.violations.is_empty(), "seed {}:\n{}", options.seed, report.violations.join("\n"));
}
