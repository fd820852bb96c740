//! Stand-ins that the cases share: a discovery agent, instances (readers and writers), clients, and the platform that
//! starts one conductor with the `run` command of the deploy file. Standard library only; every address is loopback.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns whether the disruption is to be played: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case without a verdict.
pub fn give_up(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(NOT_RUN)
}

/// `record.txt`: what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file =
            File::create(path).unwrap_or_else(|error| give_up(&format!("{}: {error}", path.display())));
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:7} {}", self.start.elapsed().as_millis(), text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Writes the case's verdict and returns its exit code.
pub fn verdict(record: &Record, broken: &[String]) -> i32 {
    for line in broken.iter().take(10) {
        record.say(format!("BROKEN {line}"));
    }
    for line in broken.iter().skip(10) {
        record.line(format!("BROKEN {line}"));
    }
    record.say(if broken.is_empty() {
        "verdict: the rule held".into()
    } else {
        format!("verdict: the rule was broken, {} times", broken.len())
    });
    if broken.is_empty() {
        HELD
    } else {
        BROKEN
    }
}

/// The head of a request or a response.
pub struct Head {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }
}

/// A connection that carries HTTP/1.1 messages.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; `false` at the end of the stream.
    fn more(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Reads a head; `None` if the other side closed before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at;
            }
            if !self.more()? {
                let cut = io::Error::new(io::ErrorKind::UnexpectedEof, "the head broke off");
                return if self.buffer.is_empty() { Ok(None) } else { Err(cut) };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { first_line, headers }))
    }

    pub fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.more()? {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the body broke off"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a chunk of a chunked body; empty for the last one.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                break at;
            }
            if !self.more()? {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the stream broke off"));
            }
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 2);
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "the chunk has no size"))?;
        let data = self.bytes(size)?;
        self.bytes(2)?;
        Ok(data)
    }

    /// Reads a body of known length, or a chunked one.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        self.bytes(head.get("content-length").parse().unwrap_or(0))
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn send_chunk(&mut self, text: &str) -> io::Result<()> {
        self.send(&format!("{:x}\r\n{text}\r\n", text.len()))
    }

    /// Waits up to `time` for the other side to close. Returns whether it did.
    pub fn closed_within(&mut self, time: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(time.max(ms(1))));
        let mut byte = [0];
        let closed = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        };
        let _ = self.stream.set_read_timeout(None);
        closed
    }
}

/// Something that happened to a request at the instances, in milliseconds since the start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The last byte of an attempt came to a running instance.
    Begun,
    /// The attempt was answered, or its connection closed.
    Ended,
    /// A reader has read the prompt: its state is held.
    Held,
    /// A writer has fetched the state.
    Taken,
    /// A release came.
    Released,
    /// A stream is spoilt from here on.
    Spoilt,
    /// The conductor closed a stream before its end.
    Closed,
}

/// What the instances know together.
pub struct Fleet {
    pub record: Record,
    /// The requests whose state is held by some reader.
    held: Mutex<HashMap<String, ()>>,
    /// The connection of the next request that a writer runs is reset; the writer goes on running it.
    pub reset_next: AtomicBool,
    pub events: Mutex<BTreeMap<String, Vec<(u64, Event)>>>,
}

impl Fleet {
    pub fn new(record: &Record) -> Arc<Self> {
        Arc::new(Fleet {
            record: record.clone(),
            held: Mutex::default(),
            reset_next: AtomicBool::new(false),
            events: Mutex::default(),
        })
    }

    pub fn note(&self, instance: &str, request: &str, event: Event) {
        self.record.line(format!("instance {instance} request {request} {event:?}"));
        self.events.lock().unwrap().entry(request.to_owned()).or_default().push((self.record.now(), event));
    }
}

/// How an instance behaves. The defaults are those of a sound one.
pub struct Conduct {
    /// Milliseconds to read a prompt.
    pub read_ms: AtomicU64,
    pub events: AtomicU64,
    pub event_gap_ms: AtomicU64,
    /// Pause before the event in the middle of a stream.
    pub pause_ms: AtomicU64,
    /// Takes requests and answers none.
    pub hangs: AtomicBool,
    /// After its second event, a stream goes on in one chunk that is said to have 3 GB.
    pub spoilt: AtomicBool,
    /// The text of the event in the middle of a stream has the character U+007F.
    pub writes_delete: AtomicBool,
}

impl Default for Conduct {
    fn default() -> Self {
        Conduct {
            read_ms: AtomicU64::new(40),
            events: AtomicU64::new(10),
            event_gap_ms: AtomicU64::new(30),
            pause_ms: AtomicU64::new(0),
            hangs: AtomicBool::new(false),
            spoilt: AtomicBool::new(false),
            writes_delete: AtomicBool::new(false),
        }
    }
}

/// A reader (`prefill`) or a writer (`decode`).
pub struct Instance {
    pub id: String,
    pub kind: &'static str,
    pub zone: &'static str,
    pub cell: u32,
    pub address: SocketAddr,
    pub conduct: Conduct,
    fleet: Arc<Fleet>,
}

impl Instance {
    pub fn start(
        fleet: &Arc<Fleet>, id: &str, kind: &'static str, zone: &'static str, cell: u32,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
        let instance = Arc::new(Instance {
            id: id.to_owned(),
            kind,
            zone,
            cell,
            address: listener.local_addr().unwrap(),
            conduct: Conduct::default(),
            fleet: fleet.clone(),
        });
        let serving = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(Wire::new(stream)));
            }
        });
        instance
    }

    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":{},"state":"{state}","weight":1.0,"started_ms":0}}"#,
            self.id, self.address, self.zone, self.kind, self.cell
        )
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.head() {
            let Ok(_body) = wire.body(&head) else { return };
            let answered = if head.word(0) == "DELETE" {
                let request = head.word(1).rsplit('/').next().unwrap_or("").to_owned();
                if self.conduct.hangs.load(Ordering::Relaxed) {
                    wire.closed_within(ms(600_000));
                    return;
                }
                self.fleet.held.lock().unwrap().remove(&request);
                self.fleet.note(&self.id, &request, Event::Released);
                wire.send("HTTP/1.1 204 No Content\r\n\r\n")
            } else if head.word(1).starts_with("/-/") {
                if self.conduct.hangs.load(Ordering::Relaxed) {
                    wire.closed_within(ms(600_000));
                    return;
                }
                let report = r#"{"inflight":1,"queue":0,"x0":0.01,"x1":0.0}"#;
                wire.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len()))
            } else {
                let request = head.get("request-id").to_owned();
                self.fleet.note(&self.id, &request, Event::Begun);
                if self.conduct.hangs.load(Ordering::Relaxed) {
                    wire.closed_within(ms(600_000));
                    self.fleet.note(&self.id, &request, Event::Ended);
                    return;
                }
                let answered = if self.kind == "prefill" {
                    self.read(&mut wire, &request)
                } else {
                    self.write(&mut wire, &request)
                };
                self.fleet.note(&self.id, &request, Event::Ended);
                answered
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn read(&self, wire: &mut Wire, request: &str) -> io::Result<()> {
        if wire.closed_within(ms(self.conduct.read_ms.load(Ordering::Relaxed))) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.fleet.held.lock().unwrap().insert(request.to_owned(), ());
        self.fleet.note(&self.id, request, Event::Held);
        wire.send("HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}")
    }

    fn write(&self, wire: &mut Wire, request: &str) -> io::Result<()> {
        if self.fleet.held.lock().unwrap().remove(request).is_none() {
            return wire.send("HTTP/1.1 410 Gone\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        }
        self.fleet.note(&self.id, request, Event::Taken);
        if self.fleet.reset_next.swap(false, Ordering::Relaxed) {
            self.fleet.record.line(format!("instance {} request {request} connection is reset", self.id));
            reset(&wire.stream);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        wire.send(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let events = self.conduct.events.load(Ordering::Relaxed);
        for number in 0..events {
            if number == 2 && self.conduct.spoilt.load(Ordering::Relaxed) {
                self.fleet.note(&self.id, request, Event::Spoilt);
                wire.send("b2d05e00\r\n")?;
                loop {
                    wire.send(&format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"noise \"}},\"finish_reason\":null}}]}}\n\n"))?;
                    if wire.closed_within(ms(self.conduct.event_gap_ms.load(Ordering::Relaxed))) {
                        self.fleet.note(&self.id, request, Event::Closed);
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                }
            }
            if number == events / 2 {
                let pause = self.conduct.pause_ms.load(Ordering::Relaxed);
                if pause > 0 {
                    self.fleet
                        .record
                        .line(format!("instance {} request {request} pauses for {pause} ms", self.id));
                    if wire.closed_within(ms(pause)) {
                        self.fleet.note(&self.id, request, Event::Closed);
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                }
            }
            let has_delete = number == events / 2 && self.conduct.writes_delete.load(Ordering::Relaxed);
            let content = format!("{request}-{number}{} ", if has_delete { "\u{7f}" } else { "" });
            wire.send_chunk(&format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":null}}]}}\n\n"
            ))?;
            if wire.closed_within(ms(self.conduct.event_gap_ms.load(Ordering::Relaxed))) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        wire.send_chunk("data: [DONE]\n\n")?;
        wire.send("0\r\n\r\n")
    }
}

/// A small deployment: in each of three data centres one rack of two readers and two writers.
pub fn small_fleet(record: &Record) -> (Arc<Fleet>, Vec<Arc<Instance>>) {
    let fleet = Fleet::new(record);
    let mut instances = Vec::new();
    for (cell, zone) in ["salt-lake", "rajarhat", "howrah"].into_iter().enumerate() {
        for number in 0..2 {
            let name = |role: char| format!("s-{role}{cell}{number}");
            instances.push(Instance::start(&fleet, &name('r'), "prefill", zone, cell as u32));
            instances.push(Instance::start(&fleet, &name('w'), "decode", zone, cell as u32));
        }
    }
    (fleet, instances)
}

/// The discovery agent: answers at once with the list that it has.
pub struct Discovery {
    pub address: SocketAddr,
    list: Mutex<String>,
}

impl Discovery {
    pub fn start(instances: &[Arc<Instance>]) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
        let entries: Vec<_> = instances.iter().map(|instance| instance.entry("Ready")).collect();
        let list = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, entries.join(","));
        let discovery =
            Arc::new(Discovery { address: listener.local_addr().unwrap(), list: Mutex::new(list) });
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(Wire::new(stream)));
            }
        });
        discovery
    }

    pub fn list(&self) -> String {
        self.list.lock().unwrap().clone()
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.head() {
            let list = self.list();
            if !head.word(1).contains("follow=1") {
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                if wire.send(&answer).is_err() {
                    return;
                }
                continue;
            }
            let mut sent = wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            sent = sent.and_then(|()| wire.send_chunk(&format!("{list}\n")));
            while sent.is_ok() && !wire.closed_within(ms(2_000)) {
                sent = wire.send_chunk("\n");
            }
            return;
        }
    }
}

/// Settings of a small deployment: those of the example on the wire page, which are those of `parts-assist`.
pub const SETTINGS: &str = r#"{"accounts":[],"balancers":3,
 "blend":{"whole":0.65,"worstClass":0.0,"worstTenant":0.0,"worstWindow":0.35},"clients":{"marksRetry":true},
 "domainType":"twostage","failureDomains":["salt-lake","rajarhat","howrah"],
 "familyInfo":{"ahead":false,"aimUsPer1000PromptTokens":[40000.0],"farPrice":0.03,"localRead":false,
  "memoryTokens":[217071,176827],"pinLimit":1000.0,"reportX0":"share of memory that is held",
  "reportX1":"thousands of prompt tokens waiting to be read or fetched","resume":false,"roleByKind":["read","write"],
  "tokenAim":[70.0]},
 "invariants":{"answerSlack":8.0,"askWithin":10000.0,"drainGrace":500.0,"fallMultiple":3.0,"overloadFor":1000.0,
  "rampTime":13000.0,"startCapacity":0.26},
 "kinds":["prefill","decode"],
 "lanes":[{"deadline":7500.0,"group":"all","lateWorth":0.3,"name":"dealer-query","objective":1500.0,
  "semantics":"read_like","stream":true,"window":5000.0,"worth":1.0}],
 "layers":["model-fleet"],
 "limits":{"cancelling":true,"connectTimeout":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"idleClose":15000.0,
  "maxAttempts":6,"maxRetryAfter":500.0,"mayDuplicate":false,"mayProbe":true,"mayTell":false,"mostHeld":20000,
  "multiplex":32,"retryAfter":true},
 "locality":"rajarhat","me":0,"membershipMode":"push","overShareWorth":0.1,
 "prices":{"connection":0.0,"crossZone":0.015,"handshake":0.0,"lateFail":0.11,"membershipMode":0.0,"moves":0.0,
  "origin":0.0,"peer":0.0,"probe":0.003,"waste":0.05},
 "report":{"columns":["active","waiting","x0","x1"],"source":"piggyback"},"step":2.0,"tier":0,"weights":"nominal",
 "worthBy":"work"}"#;

/// Limits of the conductor's machine.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// A conductor, started with the `run` command of the deploy file. Killed on drop.
pub struct Conductor {
    child: Child,
    pub address: SocketAddr,
    pub folder: PathBuf,
}

impl Conductor {
    /// Writes the configuration and starts the conductor. Its log goes to `log`, or to a file in the folder.
    pub fn start(discovery: &Discovery, limits: Limits, settings: &str, log: Option<Stdio>) -> Self {
        let root = std::env::current_dir().unwrap();
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .unwrap_or_else(|error| give_up(&format!("deploy/balancer.toml: {error}")));
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.split('"').next())
            .unwrap_or_else(|| give_up("the deploy file has no run command"))
            .to_owned();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(&error.to_string()));
        let address = TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).unwrap();
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{settings}}}"#,
            discovery.address,
            limits.memory_mb,
            limits.sockets,
            discovery.list()
        );
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config).unwrap();
        let log = log.unwrap_or_else(|| File::create(folder.join("conductor.log")).unwrap().into());
        let mut command = Command::new("/bin/sh");
        // SAFETY: prctl may be called between fork and exec. PR_SET_PDEATHSIG, SIGKILL: ends with this process.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .args(["-c", &run])
            .current_dir(&root)
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.address.to_string())
            .env("LB_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| give_up(&format!("{run}: {error}")));
        let conductor = Conductor { child, address, folder };
        let give_up_at = Instant::now() + ms(10_000);
        while !conductor.is_ready() {
            if Instant::now() > give_up_at {
                drop(conductor);
                give_up("the conductor does not become ready");
            }
            thread::sleep(ms(50));
        }
        conductor
    }

    fn is_ready(&self) -> bool {
        get(self.address, "/-/ready").is_some_and(|(status, _)| status == "200")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns how the process ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns the anonymous resident memory in KiB: what the process holds without the pages of its program file.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Conductor {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends a GET on a connection of its own. Returns the status and the body.
pub fn get(address: SocketAddr, path: &str) -> Option<(String, String)> {
    let stream = TcpStream::connect_timeout(&address, ms(500)).ok()?;
    stream.set_read_timeout(Some(ms(2_000))).ok()?;
    let mut wire = Wire::new(stream);
    wire.send(&format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")).ok()?;
    let head = wire.head().ok()??;
    let body = wire.body(&head).ok()?;
    Some((head.word(1).to_owned(), String::from_utf8_lossy(&body).into_owned()))
}

/// A request of a usual client.
pub fn request_text(id: &str, class: &str, timeout_ms: u64, tokens: usize, max_out: u64) -> String {
    let content = "part ".repeat(tokens * 4 / 5);
    let body = format!(
        r#"{{"model":"chat","stream":true,"max_tokens":{max_out},"messages":[{{"role":"user","content":"{content}"}}]}}"#
    );
    let head = request_head(id, class, timeout_ms, tokens, max_out, body.len());
    format!("{head}{body}")
}

/// The head of a request whose body has `length` bytes.
pub fn request_head(
    id: &str, class: &str, timeout_ms: u64, tokens: usize, max_out: u64, length: usize,
) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Affinity-Key: s{id}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n\
         Request-Info: prompt_len={tokens},max_out={max_out}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// What a client got for a request.
#[derive(Debug)]
pub enum Answer {
    /// The whole stream of an instance.
    Served { first_ms: u64, events: usize },
    /// 429 or 503.
    Refused { after_ms: u64 },
    /// Any other status.
    Failed { status: String, after_ms: u64 },
    /// The stream began and ended without its last chunk.
    Broken { after_ms: u64, events: usize },
    /// The connection ended with no answer.
    Closed { after_ms: u64, why: String },
    /// No answer in the time that the rule allows.
    Nothing { after_ms: u64 },
}

/// Sends a request on a new connection and waits for its answer until `wait_ms` after its last byte.
pub fn ask(address: SocketAddr, text: &str, wait_ms: u64) -> Answer {
    let connected = TcpStream::connect_timeout(&address, ms(wait_ms));
    let sent_at = Instant::now();
    let after = |sent_at: Instant| sent_at.elapsed().as_millis() as u64;
    let closed = |sent_at: Instant, error: io::Error| match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Answer::Nothing { after_ms: after(sent_at) },
        _ => Answer::Closed { after_ms: after(sent_at), why: error.to_string() },
    };
    let mut wire = match connected {
        Ok(stream) => Wire::new(stream),
        Err(error) => return closed(sent_at, error),
    };
    if let Err(error) = wire.send(text) {
        return closed(sent_at, error);
    }
    let sent_at = Instant::now();
    let _ = wire.stream.set_read_timeout(Some(ms(wait_ms)));
    let head = match wire.head() {
        Ok(Some(head)) => head,
        Ok(None) => return Answer::Closed { after_ms: after(sent_at), why: "closed".into() },
        Err(error) => return closed(sent_at, error),
    };
    match head.word(1) {
        "200" => {}
        "429" | "503" => return Answer::Refused { after_ms: after(sent_at) },
        status => return Answer::Failed { status: status.to_owned(), after_ms: after(sent_at) },
    }
    let (mut events, mut first_ms) = (0, 0);
    let _ = wire.stream.set_read_timeout(Some(ms(20_000)));
    loop {
        match wire.chunk() {
            Ok(chunk) if chunk.is_empty() => return Answer::Served { first_ms, events },
            Ok(chunk) => {
                if events == 0 {
                    first_ms = after(sent_at);
                }
                events += String::from_utf8_lossy(&chunk).matches("data: ").count();
            }
            Err(_) => return Answer::Broken { after_ms: after(sent_at), events },
        }
    }
}

/// The time of a usual client's try: half of the class's give-up time of 7.5 s.
pub const TRY_MS: u64 = 3_750;
/// Up to half a second after its time a final answer only earns nothing; every limit is 50 ms longer.
pub const GRACE_MS: u64 = 550;

/// Usual clients beside the disruption, each with one request on a new connection.
pub struct Traffic {
    clients: Vec<thread::JoinHandle<()>>,
    answers: Arc<Mutex<Vec<(String, Answer)>>>,
}

impl Traffic {
    pub fn new() -> Self {
        Traffic { clients: Vec::new(), answers: Arc::default() }
    }

    /// Sends one request. A client whose connection ends with no answer sends the request once more on a new one.
    pub fn send(&mut self, record: &Record, address: SocketAddr) {
        let id = format!("{:016x}", 0x9b1f_03aa_0000_0000_u64 + self.clients.len() as u64);
        let (record, answers) = (record.clone(), self.answers.clone());
        self.clients.push(thread::spawn(move || {
            let text = request_text(&id, "dealer-query", TRY_MS, 400, 200);
            record.line(format!("client sends request {id}"));
            let mut answer = ask(address, &text, TRY_MS + GRACE_MS);
            if matches!(answer, Answer::Closed { .. }) {
                record.line(format!("client got {answer:?} for request {id} and sends it once more"));
                answer = ask(address, &text, TRY_MS + GRACE_MS);
            }
            record.line(format!("client got {answer:?} for request {id}"));
            answers.lock().unwrap().push((id, answer));
        }));
    }

    /// Waits for all clients. Returns what was lost: requests without a final answer.
    pub fn lost(self, record: &Record) -> Vec<String> {
        for client in self.clients {
            let _ = client.join();
        }
        let answers = self.answers.lock().unwrap();
        let mut counts = BTreeMap::<String, usize>::new();
        let mut lost = Vec::new();
        for (id, answer) in answers.iter() {
            let name = format!("{answer:?}").split(' ').next().unwrap_or("").to_owned();
            *counts.entry(name).or_default() += 1;
            if matches!(answer, Answer::Nothing { .. } | Answer::Closed { .. } | Answer::Broken { .. }) {
                lost.push(format!("request {id} was lost: {answer:?}"));
            }
        }
        record.say(format!("usual clients: {counts:?}"));
        lost
    }
}

extern "C" {
    fn prctl(option: i32, signal: u64, unused3: u64, unused4: u64, unused5: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    let linger = [1_i32, 0];
    // SAFETY: the option value is a `struct linger`. SOL_SOCKET, SO_LINGER.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}
