//! Runs scripts of recorded exchanges against the router. The peers in a script are clients, endpoint stubs
//! and discovery on loopback sockets. Every step waits for bytes or for the end of a connection, never for a
//! fixed time.

mod parse;
mod pattern;
mod peer;

use std::collections::BTreeMap;
use std::sync::mpsc::{Sender, channel};

use parse::{Api, Setup, Step, TitledStep, parse_steps, write_configuration};
use peer::ScriptPeer;

use super::config_files::{endpoint_entry, endpoint_list, loopback_address, path_argument, stub_port};
use super::discovery_stub::serve_endpoint_list;
use super::router_process::RouterProcess;

/// Port of discovery if it is a peer in the script.
const DISCOVERY_PORT: u32 = 8_500;

/// The state of a running script.
struct ScriptRunner {
    base: String,
    api: Api,
    router: RouterProcess,
    endpoint_changes: Sender<String>,
    peers: BTreeMap<String, ScriptPeer>,
    expected_counters: Vec<String>,
}

/// Runs one script. Its first line names the API and the endpoints: `platform r1 w1` or `chat s1 s2`.
pub(crate) fn run_script(script: &str) {
    let mut runner = ScriptRunner::start(&Setup::parse(script));
    for step in parse_steps(script, &runner.base) {
        runner.perform(&step);
    }
    runner.finish();
}

impl ScriptRunner {
    fn start(setup: &Setup<'_>) -> Self {
        let base = loopback_address();
        let peers = start_listening_peers(&base, setup);
        let endpoint_changes = if setup.has_scripted_discovery() {
            channel().0
        } else {
            let entry = |name: &&str| endpoint_entry(&base, name.trim_start_matches('!'), "Ready");
            serve_endpoint_list(&base, &setup.names.iter().map(entry).collect::<Vec<_>>())
        };
        let router = start_router(&base, setup);
        ScriptRunner { base, api: setup.api, router, endpoint_changes, peers, expected_counters: Vec::new() }
    }

    fn perform(&mut self, titled_step: &TitledStep) {
        match &titled_step.step {
            Step::Signal(name) => self.router.signal(name),
            Step::WaitForLog(part) => self.router.wait_for_log(part),
            Step::Configure(configuration) => write_configuration(&self.base, configuration),
            Step::ChangeEndpoint { name, state } => {
                let entry = endpoint_entry(&self.base, name, state);
                self.endpoint_changes
                    .send(endpoint_list(2, false, &[entry]))
                    .expect("discovery stub has stopped");
            }
            Step::Peer { name, action } => {
                let router_address = format!("{}:{}", self.base, self.api.port());
                let peer = self.peers.entry(name.clone()).or_insert_with(ScriptPeer::client);
                peer.perform(action, &router_address, &titled_step.title);
            }
            Step::ExpectCounters(counters) => self.expected_counters.clone_from(counters),
        }
    }

    /// Stops the router. Checks that no peer has received unexpected bytes, such as a retry, a second answer
    /// or a last chunk, and that the log has the expected counters.
    fn finish(self) {
        let log = self.router.terminate();
        for (name, mut peer) in self.peers {
            peer.assert_finished(&name);
        }
        for counter in self.expected_counters {
            let (name, value) = counter.split_once(' ').expect("expected a counter and its value");
            assert!(
                log.contains(&format!("\"{name}\":{value},")),
                "counter {counter} not found in log\n{log}"
            );
        }
    }
}

/// Starts the endpoints of a script that listen, and discovery if it is a peer in the script.
fn start_listening_peers(base: &str, setup: &Setup<'_>) -> BTreeMap<String, ScriptPeer> {
    let names = setup.names.iter().filter(|name| !name.starts_with('!'));
    let start = |name: &&str| {
        let port = if *name == "d" { DISCOVERY_PORT } else { stub_port(name) };
        ((*name).to_owned(), ScriptPeer::listening(&format!("{base}:{port}")))
    };
    names.map(start).collect()
}

/// Starts the router and waits until it accepts requests.
fn start_router(base: &str, setup: &Setup<'_>) -> RouterProcess {
    let path = setup.api.write_configuration(base, &setup.names);
    let mut router = match setup.api {
        Api::Platform | Api::PlatformWithHealthChecks => {
            RouterProcess::start(base, &[], &[("LB_CONFIG", &path)])
        }
        Api::Chat => RouterProcess::start(base, &["--chat", path_argument(&path)], &[]),
    };
    router.wait_for_log(match setup.api {
        Api::Chat => "listening api=\"chat\"",
        _ if setup.has_scripted_discovery() => "listening api=\"platform\"",
        _ => "ready endpoint_list=\"discovery\"",
    });
    router
}
