//! Replicas of a run: real router processes, each with its discovery stub, which can be restarted, killed,
//! paused and reconfigured.

use std::cell::{Cell, RefCell};
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::common::config_files::{loopback_address, platform_config_with_replacements, write_test_file};
use super::common::faults::Faults;
use super::discovery::{DiscoveryStub, ListKind, list_line};
use super::run_state::{Lifecycle, ListedEndpoint, RunState};

/// Time from SIGTERM to SIGKILL: the longest timeout of a client (4 s; it counts as 3 s at least) plus 0.7 s.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(4_700);
/// Time within which a started process has to report that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two queries whether a process is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two checks whether a terminating process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The port of a replica's first discovery stub; each reconfiguration moves discovery to the next port.
const FIRST_DISCOVERY_PORT: u32 = 8_500;
/// The port at which a replica serves its clients.
const CLIENT_PORT: u32 = 8_081;

/// One replica, whose process may be started many times.
pub(crate) struct ReplicaProcess {
    state: RunState,
    number: usize,
    replica_count: usize,
    /// The address of the replica and its discovery stubs.
    base: String,
    faults: Faults,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    discovery: RefCell<Option<Rc<DiscoveryStub>>>,
    discovery_port: Cell<u32>,
    accepts_clients: Cell<bool>,
    terminating_since: Cell<Option<Instant>>,
    kill_count: Cell<u64>,
    process_fault_active: Cell<bool>,
}

impl ReplicaProcess {
    /// A replica, not started yet, among `replica_count` ones.
    pub(crate) fn new(state: &RunState, number: usize, replica_count: usize) -> Rc<Self> {
        let base = loopback_address();
        let faults = Faults::new(&base, &[]);
        let log = write_test_file(&base, "log", "");
        Rc::new(ReplicaProcess {
            state: state.clone(),
            number,
            replica_count,
            base,
            faults,
            log,
            child: RefCell::default(),
            discovery: RefCell::default(),
            discovery_port: Cell::new(FIRST_DISCOVERY_PORT),
            accepts_clients: Cell::new(false),
            terminating_since: Cell::new(None),
            kill_count: Cell::new(0),
            process_fault_active: Cell::new(false),
        })
    }

    /// The replica's position in the run, from 0.
    pub(crate) fn number(&self) -> usize {
        self.number
    }

    /// Where clients connect.
    pub(crate) fn client_address(&self) -> String {
        format!("{}:{CLIENT_PORT}", self.base)
    }

    /// Whether clients may open connections to it.
    pub(crate) fn accepts_clients(&self) -> bool {
        self.accepts_clients.get()
    }

    /// How often it was killed: the requests that were open then are lost with it.
    pub(crate) fn kill_count(&self) -> u64 {
        self.kill_count.get()
    }

    /// The time since its last SIGTERM, unless it has been started again since.
    pub(crate) fn terminating_for(&self) -> Option<Duration> {
        self.terminating_since.get().map(|since| since.elapsed())
    }

    /// Whether a fault of the process, such as a restart, is under way.
    pub(crate) fn has_process_fault(&self) -> bool {
        self.process_fault_active.get()
    }

    /// Marks the begin of a process fault; false if another one is under way.
    pub(crate) fn try_begin_process_fault(&self) -> bool {
        !self.process_fault_active.replace(true)
    }

    /// Marks the end of a process fault.
    pub(crate) fn end_process_fault(&self) {
        self.process_fault_active.set(false);
    }

    fn discovery_address(&self) -> String {
        format!("{}:{}", self.base, self.discovery_port.get())
    }

    /// The text of a configuration with the present discovery address and endpoint list.
    fn configuration_text(&self) -> String {
        let path = platform_config_with_replacements(
            &self.base,
            &[
                ("\"balancers\": 2", &format!("\"balancers\": {}", self.replica_count)),
                ("\"drainGrace\": 1000.0", "\"drainGrace\": 500.0"),
                ("\"maxAttempts\": 4", "\"maxAttempts\": 6"),
                (&format!("{}:{FIRST_DISCOVERY_PORT}", self.base), &self.discovery_address()),
            ],
        );
        let text = std::fs::read_to_string(path).expect("the file was just written");
        text.replace("\"settings\"", &format!("\"known\":{},\"settings\"", self.known_endpoints()))
    }

    /// The endpoint list as it is now; it is a little out of date when the process reads it.
    fn known_endpoints(&self) -> String {
        let record = self.state.record.borrow();
        let listed = record.endpoints.values().map(|versioned| &versioned.endpoint);
        let present = listed.filter(|endpoint| endpoint.lifecycle != Lifecycle::Removed);
        let endpoints: Vec<ListedEndpoint> = present.cloned().collect();
        list_line(record.list_version, ListKind::Snapshot, &endpoints)
    }

    /// Records what a new process knows: the contents of its configuration and nothing else.
    fn record_known_endpoints(&self) {
        let mut record = self.state.record.borrow_mut();
        let listed = record.endpoints.values().map(|versioned| &versioned.endpoint);
        let unavailable = listed.filter(|endpoint| endpoint.lifecycle != Lifecycle::Ready);
        let unavailable_since = unavailable.map(|endpoint| (endpoint.id.clone(), Instant::now())).collect();
        record.unavailable_since.insert(self.number, unavailable_since);
    }

    /// Starts the process, and its discovery stub if it has none.
    pub(crate) fn start(self: &Rc<Self>) {
        let text = self.configuration_text();
        self.record_known_endpoints();
        let path = write_test_file(&self.base, "config.json", &text);
        let log = OpenOptions::new().append(true).open(&self.log).expect("the log can be opened");
        let mut command = Command::new(env!("CARGO_BIN_EXE_inference-router"));
        command.env("LB_CONFIG", path).env("RUST_LOG", "debug").envs(self.faults.variables());
        command.stdout(Stdio::null()).stderr(log);
        *self.child.borrow_mut() = Some(command.spawn().expect("the program starts"));
        self.terminating_since.set(None);
        let replica = self.clone();
        spawn_local(async move {
            if replica.discovery.borrow().is_none() {
                replica.start_discovery().await;
            }
        });
    }

    async fn start_discovery(&self) {
        let stub = DiscoveryStub::start(&self.state, self.number, &self.discovery_address()).await;
        *self.discovery.borrow_mut() = Some(stub);
    }

    /// Waits until the process reports that it is ready; clients may connect from then on.
    pub(crate) async fn wait_until_ready(&self) {
        let started = Instant::now();
        while !self.is_ready().await {
            assert!(
                started.elapsed() < READY_TIMEOUT,
                "replica {} is not ready: {}",
                self.number,
                self.log_text()
            );
            sleep(READY_POLL_INTERVAL).await;
        }
        self.accepts_clients.set(true);
    }

    async fn is_ready(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.client_address()).await else { return false };
        let request = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
        let mut response = Vec::new();
        let _ = socket.write_all(request).await;
        let _ = socket.read_to_end(&mut response).await;
        response.starts_with(b"HTTP/1.1 200")
    }

    /// Sends a signal, if the process was started; fails if the process has exited by itself.
    fn signal(&self, name: &str) {
        let Some(pid) = self.child.borrow().as_ref().map(Child::id) else { return };
        let status = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
        assert!(
            status.expect("kill runs").success(),
            "replica {} has exited by itself: {}",
            self.number,
            self.log_text()
        );
    }

    /// Terminates the process gracefully and starts it again.
    pub(crate) async fn restart(self: &Rc<Self>) {
        self.accepts_clients.set(false);
        self.terminate().await;
        self.start();
        self.wait_until_ready().await;
    }

    /// Terminates the process; kills it if it takes longer than [`TERMINATION_TIMEOUT`].
    async fn terminate(&self) {
        self.signal("TERM");
        let started = Instant::now();
        self.terminating_since.set(Some(started));
        loop {
            if let Some(status) = self.exit_status() {
                assert!(status.success(), "replica {}: {status}: {}", self.number, self.log_text());
                break;
            }
            if started.elapsed() >= TERMINATION_TIMEOUT {
                self.signal("KILL");
                self.reap();
                break;
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
        *self.child.borrow_mut() = None;
    }

    fn exit_status(&self) -> Option<ExitStatus> {
        let mut child = self.child.borrow_mut();
        child.as_mut()?.try_wait().expect("the process is a child of this one")
    }

    /// Waits for a process that has been killed.
    fn reap(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.wait();
        }
    }

    /// Kills the process, and starts it again after a while.
    pub(crate) async fn kill(self: &Rc<Self>, downtime: Duration) {
        self.accepts_clients.set(false);
        self.kill_count.set(self.kill_count.get() + 1);
        self.signal("KILL");
        self.reap();
        sleep(downtime).await;
        self.start();
        self.wait_until_ready().await;
    }

    /// Stops the process for a while, as an overloaded machine may do.
    pub(crate) async fn pause(&self, duration: Duration) {
        self.signal("STOP");
        sleep(duration).await;
        self.signal("CONT");
    }

    /// Reloads a configuration that names another discovery address. Its file is only half written when
    /// SIGHUP comes.
    pub(crate) async fn reconfigure(self: &Rc<Self>) {
        self.discovery_port.set(self.discovery_port.get() + 1);
        let old_discovery = self.discovery.borrow_mut().take();
        self.start_discovery().await;
        let text = self.configuration_text();
        write_test_file(&self.base, "config.json", &text[..text.len() / 2]);
        self.signal("HUP");
        sleep(self.state.draw_milliseconds(0..300)).await;
        write_test_file(&self.base, "config.json", &text);
        if let Some(old_discovery) = old_discovery {
            old_discovery.close().await;
        }
    }

    /// Injects faults into the system calls of the process for a while; each is a line of the control file.
    pub(crate) async fn inject_system_call_faults(&self, faults: &[String], duration: Duration) {
        self.faults.set(faults);
        sleep(duration).await;
        self.faults.set(&[]);
    }

    /// The replica's discovery stub; none in the moment at which it is replaced.
    pub(crate) fn discovery(&self) -> Option<Rc<DiscoveryStub>> {
        self.discovery.borrow().clone()
    }

    /// Whether the process watches the endpoint list where its configuration says.
    pub(crate) fn watches_endpoint_list(&self) -> bool {
        self.discovery.borrow().as_ref().is_some_and(|stub| stub.is_watched())
    }

    fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Terminates the process for good and returns its log. The files stay if `SOAK_KEEP` is set.
    pub(crate) async fn finish(self: Rc<Self>) -> String {
        self.accepts_clients.set(false);
        let is_running = self.child.borrow().is_some();
        if is_running {
            self.terminate().await;
        }
        let log = self.log_text();
        if std::env::var_os("SOAK_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(self.log.parent().expect("the log is in a directory"));
        }
        log
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
