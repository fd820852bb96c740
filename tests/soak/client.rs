//! Clients of a run. Most behave; some leave early, write slowly, read slowly, stop in the middle or only stand there.

use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::message;
use super::replica::ReplicaProcess;
use super::run_state::{Answer, Effect, RequestLog, RunState};

/// Behind a client's deadline, for its answer to come all the same.
const BEYOND: Duration = Duration::from_secs(2);
/// A bad client is owed an error or a close within 3 s.
const OWED: Duration = Duration::from_millis(3_400);
const BODY: &str = r#"{"model":"chat","stream":true}"#;

struct Connection {
    socket: TcpStream,
    unread: Vec<u8>,
    used: u64,
    router: Rc<ReplicaProcess>,
    kills: u64,
}

/// Sends one request after another until the load ends.
pub async fn run(world: RunState, routers: Vec<Rc<ReplicaProcess>>, number: usize, until: Instant) {
    let mut connection = None;
    let mut sent = 0u64;
    while Instant::now() < until {
        sleep(Duration::from_millis(world.draw(20..700))).await;
        if world.chance(60) {
            stands_there(&world, &routers).await;
            continue;
        }
        if connection.is_none() || world.chance(100) {
            connection = open(&world, &routers).await;
        }
        let Some(open) = connection.as_mut() else { continue };
        sent += 1;
        let id = format!("c{number}-{sent}");
        if !ask(&world, open, &id).await {
            connection = None;
        }
    }
}

async fn open(world: &RunState, routers: &[Rc<ReplicaProcess>]) -> Option<Connection> {
    let ready: Vec<_> = routers.iter().filter(|router| router.ready.get()).collect();
    let router = ready.get(world.draw(0..ready.len().max(1) as u64) as usize)?;
    let socket = TcpStream::connect(router.listens()).await.ok()?;
    let _ = socket.set_nodelay(true);
    let (router, kills) = (Rc::clone(router), router.kills.get());
    Some(Connection { socket, unread: Vec::new(), used: 0, router, kills })
}

/// Connects, and says nothing or half of a head; it is owed a close.
async fn stands_there(world: &RunState, routers: &[Rc<ReplicaProcess>]) {
    let Some(mut connection) = open(world, routers).await else { return };
    if world.chance(500) {
        let _ = connection.socket.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: a").await;
    }
    let closed = timeout(OWED, message::closed(&mut connection.socket)).await.is_ok();
    let router = &connection.router;
    if !closed && router.kills.get() == connection.kills && !router.busy.get() {
        world.trouble("BREAK: a client that says no more was not closed");
    }
}

/// Sends a request and takes its answer; whether the connection goes on.
async fn ask(world: &RunState, connection: &mut Connection, id: &str) -> bool {
    let effect = if world.chance(300) { Effect::Unsafe } else { Effect::Safe };
    let timeout_ms = world.draw(1_500..4_000);
    let request = RequestLog {
        router: connection.router.number,
        effect,
        fresh: connection.used == 0,
        sent: None,
        timeout_ms,
        left: None,
        answer: None,
        excused: false,
        attempts: Vec::new(),
        released: Vec::new(),
    };
    connection.used += 1;
    world.data.borrow_mut().requests.insert(id.to_owned(), request);
    if write(world, connection, id, effect, timeout_ms).await.is_err() {
        return note(world, connection, id, Answer::Closed);
    }
    let sent = Instant::now();
    world.request(id, |request| request.sent = Some(sent));
    let until = sent + Duration::from_millis(timeout_ms) + BEYOND;
    let leaves = world.chance(100).then(|| sent + Duration::from_millis(world.draw(0..900)));
    let slow = world.chance(50);
    let reads = read_answer(connection, until, slow.then(|| Duration::from_millis(world.draw(100..900))));
    let answer = match leaves {
        None => reads.await,
        Some(at) => match timeout_at(at, reads).await {
            Ok(answer) => answer,
            Err(_) => {
                world.request(id, |request| request.left = Some(Instant::now()));
                return false;
            }
        },
    };
    note(world, connection, id, answer)
}

/// Notes the answer of a request; whether the connection goes on.
fn note(world: &RunState, connection: &Connection, id: &str, answer: Answer) -> bool {
    let killed = connection.router.kills.get() != connection.kills;
    // The process was ended for good while the request was under way, as it is with one that takes too long.
    let ended = connection.router.ending.get().is_some_and(|since| since.elapsed() > Duration::from_secs(4));
    world.request(id, |request| {
        request.answer = Some((Instant::now(), answer));
        request.excused |= killed || ended;
    });
    matches!(answer, Answer::Served | Answer::Refused | Answer::Failed)
}

async fn write(
    world: &RunState, connection: &mut Connection, id: &str, effect: Effect, timeout_ms: u64,
) -> io::Result<()> {
    let class = if effect == Effect::Safe { "climb-query" } else { "route-save" };
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
         Request-Timeout-Ms: {timeout_ms}\r\nRequest-Info: prefix=p{},prefix_len=100,prompt_len=400,max_out=60\r\n\
         Content-Length: {}\r\n\r\n{BODY}",
        world.draw(0..5),
        BODY.len()
    );
    if !world.chance(100) {
        return connection.socket.write_all(text.as_bytes()).await;
    }
    for piece in text.as_bytes().chunks(60) {
        connection.socket.write_all(piece).await?;
        sleep(Duration::from_millis(world.draw(1..120))).await;
    }
    Ok(())
}

async fn read_answer(connection: &mut Connection, until: Instant, pause: Option<Duration>) -> Answer {
    let Connection { socket, unread, .. } = connection;
    let head = match timeout_at(until, message::read(socket, unread)).await {
        Err(_) => return Answer::Missing,
        Ok(Err(_) | Ok(None)) => return Answer::Closed,
        Ok(Ok(Some(head))) => head,
    };
    match head.head.split(' ').nth(1) {
        Some("200") => read_stream(socket, unread, pause).await,
        Some("429" | "503") => Answer::Refused,
        _ => Answer::Failed,
    }
}

/// Reads a stream to its end. It is whole if it has all the events that its server numbered, once each and in order.
async fn read_stream(socket: &mut TcpStream, unread: &mut Vec<u8>, pause: Option<Duration>) -> Answer {
    loop {
        if unread.ends_with(b"0\r\n\r\n") {
            break;
        }
        match socket.read_buf(unread).await {
            Ok(1..) => {}
            _ => return Answer::Broken,
        }
        if let Some(pause) = pause {
            sleep(pause).await;
        }
    }
    let text = String::from_utf8_lossy(&std::mem::take(unread)).into_owned();
    let events: Vec<u64> = text
        .split("data: {\"n\":")
        .skip(1)
        .filter_map(|event| event.split(',').next()?.parse().ok())
        .collect();
    let of = text.split("\"of\":").nth(1).and_then(|rest| rest.split('}').next()?.parse::<u64>().ok());
    let distinct: BTreeSet<_> = events.iter().collect();
    let whole = of == Some(events.len() as u64) && distinct.len() == events.len() && events.is_sorted();
    if whole && text.contains("[DONE]") { Answer::Served } else { Answer::Broken }
}
