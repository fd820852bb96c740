//! Routers of a run: real processes with their agents, which are stopped, killed, held up and told to read their
//! configurations anew.

use std::cell::{Cell, RefCell};
use std::fs::OpenOptions;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::common::faults::Faults;
use super::common::peers::configuration;
use super::common::program::{address, file};
use super::discovery::{DiscoveryStub, line};
use super::run_state::RunState;

/// From SIGTERM to SIGKILL: the longest deadline, which counts as 3 s at least, and 0.7 s.
const TERM_TO_KILL: Duration = Duration::from_millis(4_700);
/// For a router to become ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
const FIRST_PORT: u32 = 8_500;

/// One router, which may be started many times.
pub struct ReplicaProcess {
    world: RunState,
    pub number: usize,
    base: String,
    faults: Faults,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    agent: RefCell<Option<Rc<DiscoveryStub>>>,
    port: Cell<u32>,
    /// Whether clients may be sent to it.
    pub ready: Cell<bool>,
    /// Since when it is ending.
    pub ending: Cell<Option<Instant>>,
    /// How often it was killed: what was open then is lost with it.
    pub kills: Cell<u64>,
    /// A change of its life is under way.
    pub busy: Cell<bool>,
    fleet: usize,
}

impl ReplicaProcess {
    /// A router of a fleet of so many, not started yet.
    pub fn new(world: &RunState, number: usize, fleet: usize) -> Rc<Self> {
        let base = address();
        let faults = Faults::new(&base, &[]);
        let log = file(&base, "log", "");
        Rc::new(ReplicaProcess {
            world: world.clone(),
            number,
            base,
            faults,
            log,
            child: RefCell::default(),
            agent: RefCell::default(),
            port: Cell::new(FIRST_PORT),
            ready: Cell::new(false),
            ending: Cell::new(None),
            kills: Cell::new(0),
            busy: Cell::new(false),
            fleet,
        })
    }

    /// Where clients connect.
    pub fn listens(&self) -> String {
        format!("{}:8081", self.base)
    }

    fn discovery(&self) -> String {
        format!("{}:{}", self.base, self.port.get())
    }

    fn configured(&self) -> String {
        let path = configuration(
            &self.base,
            &[
                ("\"balancers\": 2", &format!("\"balancers\": {}", self.fleet)),
                ("\"drainGrace\": 1000.0", "\"drainGrace\": 500.0"),
                ("\"maxAttempts\": 4", "\"maxAttempts\": 6"),
                (&format!("{}:8500", self.base), &self.discovery()),
            ],
        );
        let text = std::fs::read_to_string(path).expect("the file just written");
        text.replace("\"settings\"", &format!("\"known\":{},\"settings\"", self.known()))
    }

    /// What a new process is told by its configuration, and nothing else.
    fn note_known(&self) {
        let mut data = self.world.data.borrow_mut();
        data.told.retain(|(router, _), _| *router != self.number);
        let wants_nothing: Vec<_> = data
            .list
            .values()
            .filter(|(_, entry)| entry.state != "Ready")
            .map(|(_, e)| e.id.clone())
            .collect();
        for id in wants_nothing {
            data.told.insert((self.number, id), Instant::now());
        }
    }

    /// The list as it stands, which is a little old when the process reads it.
    fn known(&self) -> String {
        let data = self.world.data.borrow();
        let entries =
            data.list.values().map(|(_, entry)| entry.clone()).filter(|entry| entry.state != "Gone");
        line(data.version, true, &entries.collect::<Vec<_>>())
    }

    /// Starts the process, and its agent if it has none.
    pub fn start(self: &Rc<Self>) {
        let text = self.configured();
        self.note_known();
        let path = file(&self.base, "config.json", &text);
        let log = OpenOptions::new().append(true).open(&self.log).expect("the log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_inference-router"));
        command.env("LB_CONFIG", path).env("RUST_LOG", "debug").envs(self.faults.variables());
        command.stdout(Stdio::null()).stderr(log);
        *self.child.borrow_mut() = Some(command.spawn().expect("the program starts"));
        self.ending.set(None);
        let router = self.clone();
        spawn_local(async move {
            if router.agent.borrow().is_none() {
                let agent = DiscoveryStub::start(&router.world, router.number, &router.discovery()).await;
                *router.agent.borrow_mut() = Some(agent);
            }
        });
    }

    /// Waits until it says that it is ready; clients come from then on.
    pub async fn becomes_ready(&self) {
        let begun = Instant::now();
        while !self.says_ready().await {
            assert!(
                begun.elapsed() < READY_WITHIN,
                "router {} is not ready: {}",
                self.number,
                self.log_text()
            );
            sleep(Duration::from_millis(20)).await;
        }
        self.ready.set(true);
    }

    async fn says_ready(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.listens()).await else { return false };
        let asked = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
        let mut answer = Vec::new();
        let _ = socket.write_all(asked).await;
        let _ = socket.read_to_end(&mut answer).await;
        answer.starts_with(b"HTTP/1.1 200")
    }

    fn signal(&self, name: &str) {
        let Some(pid) = self.child.borrow().as_ref().map(Child::id) else { return };
        let sent = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
        assert!(
            sent.expect("kill runs").success(),
            "router {} has ended by itself: {}",
            self.number,
            self.log_text()
        );
    }

    /// Ends it in good order and starts it again.
    pub async fn restart(self: &Rc<Self>) {
        self.ready.set(false);
        self.terminate().await;
        self.start();
        self.becomes_ready().await;
    }

    async fn terminate(&self) {
        self.signal("TERM");
        let begun = Instant::now();
        self.ending.set(Some(begun));
        loop {
            let ended = self.child.borrow_mut().as_mut().and_then(|child| child.try_wait().expect("a child"));
            match ended {
                Some(status) => {
                    assert!(status.success(), "router {}: {status}: {}", self.number, self.log_text());
                    break;
                }
                None if begun.elapsed() >= TERM_TO_KILL => {
                    self.signal("KILL");
                    let _ = self.child.borrow_mut().as_mut().map(Child::wait);
                    break;
                }
                None => sleep(Duration::from_millis(10)).await,
            }
        }
        *self.child.borrow_mut() = None;
    }

    /// Kills it, and starts it again after a while.
    pub async fn kill(self: &Rc<Self>, after: Duration) {
        self.ready.set(false);
        self.kills.set(self.kills.get() + 1);
        self.signal("KILL");
        let _ = self.child.borrow_mut().take().map(|mut child| child.wait());
        sleep(after).await;
        self.start();
        self.becomes_ready().await;
    }

    /// Holds the whole process up.
    pub async fn hold_up(&self, time: Duration) {
        self.signal("STOP");
        sleep(time).await;
        self.signal("CONT");
    }

    /// Gives it a configuration with another discovery address, half written when the signal comes.
    pub async fn reconfigure(self: &Rc<Self>) {
        self.port.set(self.port.get() + 1);
        let old = self.agent.borrow_mut().take();
        let agent = DiscoveryStub::start(&self.world, self.number, &self.discovery()).await;
        *self.agent.borrow_mut() = Some(agent);
        let text = self.configured();
        file(&self.base, "config.json", &text[..text.len() / 2]);
        self.signal("HUP");
        sleep(Duration::from_millis(self.world.draw(0..300))).await;
        file(&self.base, "config.json", &text);
        if let Some(old) = old {
            old.close().await;
        }
    }

    /// Lets its system calls fail for a while.
    pub async fn faults(&self, faults: &[String], time: Duration) {
        self.faults.set(faults);
        sleep(time).await;
        self.faults.set(&[]);
    }

    /// What its agent does.
    pub fn with_agent(&self, act: impl FnOnce(&DiscoveryStub)) {
        let agent = self.agent.borrow().clone();
        if let Some(agent) = agent {
            act(&agent);
        }
    }

    /// Whether it follows the list where its configuration says.
    pub fn follows(&self) -> bool {
        self.agent.borrow().as_ref().is_some_and(|agent| agent.is_followed())
    }

    fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Ends it for good, and gives its log.
    pub async fn end(self: Rc<Self>) -> String {
        self.ready.set(false);
        if self.child.borrow().is_some() {
            self.terminate().await;
        }
        let log = self.log_text();
        if std::env::var_os("SOAK_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(self.log.parent().expect("a folder"));
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
