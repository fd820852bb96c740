//! Runs both APIs in one process at 40 requests per second. Each request must get exactly one final answer,
//! and no `route-save` request may reach an endpoint twice.

mod common;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::config_files::{
    chat_config, endpoint_entry, loopback_address, path_argument, platform_config, stub_port,
};
use common::discovery_stub::serve_endpoint_list;
use common::router_process::RouterProcess;

/// Total number of requests, half of them to each API.
const REQUESTS: u32 = 120;
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// `route-save` requests, one per API, whose connection the endpoint closes before the first event.
const CLOSED_BEFORE_FIRST_EVENT: [u32; 2] = [21, 40];
/// `route-save` requests, one per API, whose connection the endpoint closes after the first event.
const CLOSED_AFTER_FIRST_EVENT: [u32; 2] = [61, 80];

const RELEASED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
const PREFILLED: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
const FIRST_EVENT: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
    9\r\ndata: {}\n\r\n";
const COMPLETE_STREAM: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
    18\r\ndata: {}\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// How often each request arrived at an endpoint that answers it, by request number.
type ArrivalCounts = Arc<Mutex<HashMap<String, u32>>>;

/// A message read from a connection.
struct Message {
    head: String,
    body: String,
}

impl Message {
    /// Reads a message. Returns `None` if the connection ends before the message is complete.
    fn read(connection: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if connection.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let body = if let Some(length) = header(&head, "content-length: ") {
            let mut body = vec![0; length.parse().ok()?];
            connection.read_exact(&mut body).ok()?;
            body
        } else if header(&head, "transfer-encoding: ").is_some() {
            read_chunks(connection)?
        } else {
            Vec::new()
        };
        Some(Message { head, body: String::from_utf8_lossy(&body).into_owned() })
    }

    fn status(&self) -> u32 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Returns the request number contained in the prompt.
    fn request_number(&self) -> &str {
        self.body.split("no ").nth(1).and_then(|text| text.split(' ').next()).unwrap_or_default()
    }
}

/// Returns the value of a header. `prefix` is the lower-case name followed by a colon and a space.
fn header(head: &str, prefix: &str) -> Option<String> {
    head.lines().find_map(|line| line.to_lowercase().strip_prefix(prefix).map(str::to_owned))
}

fn read_chunks(connection: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut size = String::new();
        connection.read_line(&mut size).ok().filter(|&length| length > 0)?;
        let mut chunk = vec![0; usize::from_str_radix(size.trim(), 16).ok()? + 2];
        connection.read_exact(&mut chunk).ok()?;
        body.extend_from_slice(&chunk[..chunk.len() - 2]);
        if chunk.len() == 2 {
            return Some(body);
        }
    }
}

/// Starts an endpoint stub that counts each request that arrives to be answered and closes the connections of
/// some requests.
fn start_endpoint_stub(base: &str, name: &'static str, arrivals: ArrivalCounts) {
    let listener =
        TcpListener::bind(format!("{base}:{}", stub_port(name))).expect("failed to bind the endpoint stub");
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let arrivals = arrivals.clone();
            std::thread::spawn(move || serve_endpoint_connection(socket, name, &arrivals));
        }
    });
}

fn serve_endpoint_connection(socket: TcpStream, name: &str, arrivals: &ArrivalCounts) {
    let _ = socket.set_nodelay(true);
    let mut output = socket.try_clone().expect("failed to clone the socket");
    let mut input = BufReader::new(socket);
    while let Some(message) = Message::read(&mut input) {
        if message.head.starts_with("DELETE") {
            let _ = output.write_all(RELEASED);
            continue;
        }
        if name.starts_with('r') {
            let _ = output.write_all(PREFILLED);
            continue;
        }
        let number = message.request_number();
        *arrivals.lock().expect("failed to lock the arrival counts").entry(number.to_owned()).or_default() +=
            1;
        match number.parse::<u32>().unwrap_or_default() {
            number if CLOSED_BEFORE_FIRST_EVENT.contains(&number) => return,
            number if CLOSED_AFTER_FIRST_EVENT.contains(&number) => {
                let _ = output.write_all(FIRST_EVENT);
                return;
            }
            _ => {
                let _ = output.write_all(COMPLETE_STREAM);
            }
        }
    }
}

/// Result of a request as seen by its client.
#[derive(Debug, PartialEq)]
enum ClientResult {
    Complete,
    ConnectionLost,
    Status(u32),
}

/// Returns whether a request is not idempotent. This applies to two of every four requests, one per API.
fn is_route_save(number: u32) -> bool {
    number % 4 < 2
}

/// Returns the port of the API and the text of a request.
fn request(number: u32) -> (u32, String) {
    let to_chat_api = number.is_multiple_of(2);
    let model = if is_route_save(number) { "route-save" } else { "climb-assist" };
    let class = if is_route_save(number) { "route-save" } else { "climb-query" };
    let body = format!(
        r#"{{"model":"{model}","stream":true,"messages":[{{"role":"user","content":"no {number} "}}]}}"#
    );
    let platform_headers = format!(
        "Request-Id: m{number}\r\nRequest-Class: {class}\r\nRequest-Timeout-Ms: 60000\r\n\
         Request-Info: prompt_len=20000,max_out=10\r\n"
    );
    let headers = if to_chat_api { "" } else { &platform_headers };
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (if to_chat_api { 8_090 } else { 8_081 }, text)
}

fn send_request(base: &str, number: u32) -> ClientResult {
    let (port, text) = request(number);
    let socket = TcpStream::connect(format!("{base}:{port}")).expect("failed to connect to the router");
    let mut output = socket.try_clone().expect("failed to clone the socket");
    output.write_all(text.as_bytes()).expect("failed to send the request");
    let mut input = BufReader::new(socket);
    let Some(answer) = Message::read(&mut input) else { return ClientResult::ConnectionLost };
    // Exactly one final answer: nothing may follow on this connection.
    let _ = output.shutdown(Shutdown::Write);
    let mut trailing = Vec::new();
    let _ = input.read_to_end(&mut trailing);
    assert!(
        trailing.is_empty(),
        "unexpected data after the answer to request {number}: {}",
        String::from_utf8_lossy(&trailing)
    );
    if answer.status() == 200 && answer.body.ends_with("[DONE]\n\n") {
        return ClientResult::Complete;
    }
    ClientResult::Status(answer.status())
}

/// Sends all requests at the configured rate and returns their results.
fn send_requests(base: &str) -> Vec<(u32, ClientResult)> {
    let start = Instant::now();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let base = base.to_owned();
            std::thread::spawn(move || {
                // Sets the request rate only; no assertion depends on it.
                let send_at = start + REQUEST_INTERVAL * number;
                std::thread::sleep(send_at.saturating_duration_since(Instant::now()));
                (number, send_request(&base, number))
            })
        })
        .collect();
    clients.into_iter().map(|client| client.join().expect("the client thread panicked")).collect()
}

fn assert_result(number: u32, result: &ClientResult, arrivals: u32) {
    assert!(
        !is_route_save(number) || arrivals <= 1,
        "route-save {number} reached an endpoint {arrivals} times"
    );
    let closed_before = CLOSED_BEFORE_FIRST_EVENT.contains(&number);
    let closed_after = CLOSED_AFTER_FIRST_EVENT.contains(&number);
    match (arrivals, closed_before, closed_after) {
        // Never sent to an endpoint: rejected as safe to retry.
        (0, ..) => assert_eq!(*result, ClientResult::Status(429), "request {number}"),
        (_, true, _) => assert_eq!(*result, ClientResult::Status(502), "request {number}"),
        // The close may overtake the event and then counts as a close before it.
        (_, _, true) => {
            let allowed = [ClientResult::ConnectionLost, ClientResult::Status(502)];
            assert!(allowed.contains(result), "request {number}");
        }
        _ => assert_eq!(*result, ClientResult::Complete, "request {number}"),
    }
}

/// Checks that the API's final counters in the log account for each of its requests with exactly one final
/// answer.
fn assert_counters(log: &str, api: &str) {
    let prefix = format!("final counters api=\"{api}\" counters=");
    let line = log.lines().find_map(|line| line.split_once(&prefix)).expect("no final counters in the log").1;
    let counters: HashMap<String, u32> =
        serde_json::from_str(line).expect("failed to parse the counters as JSON");
    let names = ["served", "broken", "refused", "failed", "overdue", "left"];
    let final_answers: u32 = names.iter().map(|name| counters[*name]).sum();
    assert_eq!((counters["taken"], final_answers), (REQUESTS / 2, REQUESTS / 2), "{line}");
}

#[test]
fn both_apis_at_once_give_one_answer_each_and_repeat_no_route_save() {
    let base = loopback_address();
    let arrivals = ArrivalCounts::default();
    for name in ["r1", "w1", "w2", "s1", "s2"] {
        start_endpoint_stub(&base, name, arrivals.clone());
    }
    let entries = ["r1", "w1", "w2"].map(|name| endpoint_entry(&base, name, "Ready"));
    let _changes = serve_endpoint_list(&base, &entries);
    let platform = platform_config(&base);
    let chat = chat_config(&base, &["s1", "s2"], "");
    let arguments = ["--chat", path_argument(&chat)];
    let mut router = RouterProcess::start(&base, &arguments, &[("LB_CONFIG", &platform)]);
    router.wait_for_log("listening api=\"chat\"");
    router.wait_for_log("ready endpoint_list=\"discovery\"");
    let results = send_requests(&base);
    let log = router.terminate();
    let arrivals = arrivals.lock().expect("failed to lock the arrival counts");
    for (number, result) in &results {
        assert_result(*number, result, arrivals.get(&number.to_string()).copied().unwrap_or(0));
    }
    // Connections are reused after a short idle time.
    assert!(!log.contains("\"reuses\":0,"), "{log}");
    let complete = results.iter().filter(|(_, result)| *result == ClientResult::Complete).count();
    assert!(complete as u32 > REQUESTS / 2, "only {complete} requests were completed:\n{log}");
    for api in ["platform", "chat"] {
        assert_counters(&log, api);
    }
}
