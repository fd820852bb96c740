//! The router as a child process, with files and loopback addresses of its own.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use super::config_files::{configuration, endpoint_entry, folder};
use super::discovery_stub::{DiscoveryStub, Watch};

/// Far above any wait that is meant: only a test that fails comes to its end.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// How the router is expected to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpectedExit {
    /// With exit code 0.
    Success,
    /// With an error.
    Failure,
}

/// A running router, killed when it is dropped.
pub(crate) struct RouterProcess {
    child: Child,
    log: Receiver<String>,
    seen_lines: Vec<String>,
    folder: PathBuf,
    started_at: Instant,
}

impl RouterProcess {
    /// Starts the router with these arguments and environment variables; the test's folder is removed at its exit.
    pub(crate) fn start(base: &str, arguments: &[&str], variables: &[(&str, &Path)]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_inference-router"));
        command.args(arguments).env_remove("LB_CONFIG").envs(variables.iter().copied());
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        RouterProcess { child, log, seen_lines: Vec::new(), folder: folder(base), started_at: Instant::now() }
    }

    /// Waits for a line of the log that contains this text.
    pub(crate) fn wait_for_log(&mut self, part: &str) {
        let deadline = Instant::now() + PATIENCE;
        while !self.seen_lines.iter().any(|line| line.contains(part)) {
            let line = self.log.recv_timeout(deadline.saturating_duration_since(Instant::now()));
            self.seen_lines.push(line.unwrap_or_else(|_| panic!("no \"{part}\" in {:#?}", self.seen_lines)));
        }
    }

    /// Whether no such line has come in the log yet; fails when none has come for far too long.
    pub(crate) fn has_not_logged(&mut self, part: &str) -> bool {
        self.seen_lines.extend(self.log.try_iter());
        let logged = self.seen_lines.iter().any(|line| line.contains(part));
        assert!(logged || self.started_at.elapsed() < PATIENCE, "no \"{part}\" in {:#?}", self.seen_lines);
        !logged
    }

    /// Sends it a signal by its name, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let killed = Command::new("kill").args([&format!("-{name}"), &pid]).status().expect("kill runs");
        assert!(killed.success());
    }

    /// Whether it has not exited yet.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child of this process").is_none()
    }

    /// Sends SIGTERM, and returns its log once it has exited with success.
    pub(crate) fn terminate(mut self) -> String {
        self.signal("TERM");
        self.wait_for_exit(ExpectedExit::Success)
    }

    /// Its log once it has exited.
    pub(crate) fn wait_for_exit(&mut self, expected: ExpectedExit) -> String {
        let status = self.child.wait().expect("it ends");
        self.seen_lines.extend(self.log.iter());
        let expects_success = expected == ExpectedExit::Success;
        assert_eq!(status.success(), expects_success, "{status}: {:#?}", self.seen_lines);
        let _ = std::fs::remove_dir_all(&self.folder);
        self.seen_lines.join("\n")
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
    }
}

/// A running router that has received its first endpoint list from the stub of discovery.
pub(crate) struct RunningRouter {
    /// The router itself.
    pub(crate) process: RouterProcess,
    /// Its discovery.
    pub(crate) discovery: DiscoveryStub,
    /// Its watch on the endpoint list.
    pub(crate) watch: Watch,
}

/// Starts the router on a private set of addresses, with a snapshot of these endpoints and with parts of its
/// configuration replaced.
pub(crate) fn start_router(base: &str, endpoints: &[&str], replacements: &[(&str, &str)]) -> RunningRouter {
    start_router_with_variables(base, endpoints, replacements, &[])
}

/// The same with more environment variables.
pub(crate) fn start_router_with_variables(
    base: &str, endpoints: &[&str], replacements: &[(&str, &str)], variables: &[(&str, &Path)],
) -> RunningRouter {
    let mut discovery = DiscoveryStub::start(base);
    let path = configuration(base, replacements);
    let usual: [(&str, &Path); 2] = [("LB_CONFIG", &path), ("RUST_LOG", "debug".as_ref())];
    let mut process = RouterProcess::start(base, &[], &[&usual, variables].concat());
    let entries: Vec<_> = endpoints.iter().map(|name| endpoint_entry(base, name, "Ready")).collect();
    discovery.serve_snapshot(&entries);
    let watch = discovery.open_watch();
    process.wait_for_log("ready endpoint_list=\"discovery\"");
    RunningRouter { process, discovery, watch }
}
