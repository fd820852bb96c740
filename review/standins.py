"""Stand-ins for the platform, the instances and the clients, and the start of the real routers.

All of it follows the PROTOCOL, DEPLOY and WIRE pages. Only Python's standard library is used, and only loopback
addresses. Every stand-in runs in the process of the test; the routers are separate processes, started with the
`run` command of the deploy file.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ["salt-lake", "rajarhat", "howrah"]


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append((self.now(), text))

    def write(self, verdict):
        lines = [f"{at:9.3f} {text}" for at, text in self.lines]
        self.path.write_text("\n".join(lines + verdict) + "\n")


def settings(replicas, number, **changes):
    """The settings of the WIRE page's example, for one of `replicas` conductors."""
    result = {
        "accounts": [], "balancers": replicas,
        "blend": {"whole": 0.65, "worstClass": 0.0, "worstTenant": 0.0, "worstWindow": 0.35},
        "clients": {"marksRetry": True}, "domainType": "twostage", "failureDomains": ZONES,
        "familyInfo": {
            "ahead": False, "aimUsPer1000PromptTokens": [40000.0], "farPrice": 0.03, "localRead": False,
            "memoryTokens": [217071, 176827], "pinLimit": 1000.0,
            "reportX0": "share of memory that is held",
            "reportX1": "thousands of prompt tokens waiting to be read or fetched", "resume": False,
            "roleByKind": ["read", "write"], "tokenAim": [70.0]},
        "invariants": {"answerSlack": 8.0, "askWithin": 10000.0, "drainGrace": 500.0, "fallMultiple": 3.0,
                       "overloadFor": 1000.0, "rampTime": 13000.0, "startCapacity": 0.26},
        "kinds": ["prefill", "decode"],
        "lanes": [{"deadline": 7500.0, "group": "all", "lateWorth": 0.3, "name": "dealer-query",
                   "objective": 1500.0, "semantics": "read_like", "stream": True, "window": 5000.0,
                   "worth": 1.0}],
        "layers": ["model-fleet"],
        "limits": {"cancelling": True, "connectTimeout": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000,
                   "idleClose": 15000.0, "maxAttempts": 6, "maxRetryAfter": 500.0, "mayDuplicate": False,
                   "mayProbe": True, "mayTell": False, "mostHeld": 20000, "multiplex": 32,
                   "retryAfter": True},
        "locality": ZONES[number % len(ZONES)], "me": number, "membershipMode": "push",
        "overShareWorth": 0.1,
        "prices": {"connection": 0.0, "crossZone": 0.015, "handshake": 0.0, "lateFail": 0.11,
                   "membershipMode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.003,
                   "waste": 0.05},
        "report": {"columns": ["active", "waiting", "x0", "x1"], "source": "piggyback"},
        "step": 2.0, "tier": 0, "weights": "nominal", "worthBy": "work"}
    result.update(changes)
    return result


class HttpRequest:
    def __init__(self, head, body, at):
        first, *fields = head.split("\r\n")
        self.method, self.path, _ = first.split(" ", 2)
        self.headers = {}
        for field in fields:
            name, _, value = field.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        self.body = body
        self.at = at

    @property
    def id(self):
        return self.headers.get("request-id", "")


def take_request(buffer, at):
    """Takes the first complete request from the buffer, or returns None."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    head = bytes(buffer[:end]).decode("latin-1")
    request = HttpRequest(head, b"", at)
    length = int(request.headers.get("content-length", "0"))
    if request.headers.get("transfer-encoding", "").lower() == "chunked":
        raise ValueError("the stand-ins take no chunked requests")
    if len(buffer) < end + 4 + length:
        return None
    request.body = bytes(buffer[end + 4:end + 4 + length])
    del buffer[:end + 4 + length]
    return request


class ServerConnection(asyncio.Protocol):
    """A connection to an instance or to discovery. It carries one request at a time."""

    def __init__(self, server):
        self.server = server
        self.buffer = bytearray()
        self.silent = False
        self.closed = asyncio.Event()
        self.task = None

    def connection_made(self, transport):
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.connections.add(self)

    def data_received(self, data):
        if self.silent:
            return
        self.buffer += data
        self.serve_next()

    def eof_received(self):
        # The other side ends its sending, which gives up the attempt.
        return False

    def connection_lost(self, error):
        self.closed.set()
        self.server.connections.discard(self)

    def serve_next(self):
        if self.task is None and not self.silent:
            request = take_request(self.buffer, time.monotonic())
            if request is not None:
                self.task = asyncio.get_running_loop().create_task(self.serve(request))

    async def serve(self, request):
        await self.server.answer(self, request)
        self.task = None
        if not self.closed.is_set():
            self.serve_next()

    def send(self, data):
        if not self.silent and not self.closed.is_set():
            self.transport.write(data if isinstance(data, bytes) else data.encode())

    async def wait(self, seconds):
        """Waits. Returns whether the connection was still open all the time."""
        try:
            await asyncio.wait_for(self.closed.wait(), seconds)
            return False
        except asyncio.TimeoutError:
            return True


class Server:
    def __init__(self, record):
        self.record = record
        self.connections = set()

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        return self


class Fleet:
    """The instances, and the read states that they hold."""

    def __init__(self, record):
        self.record = record
        self.instances = []
        self.states = {}
        self.holds = []
        self.attempts = []
        self.known_ids = set()
        self.faults = []

    async def add(self, kind, number, **times):
        zone = ZONES[number % len(ZONES)]
        instance = Instance(self, f"{kind[0]}-{number}", kind, zone, number % len(ZONES), **times)
        self.instances.append(await instance.listen())
        return instance

    def hold(self, id, reader):
        """The state of a request begins to wait."""
        self.holds.append(Hold(id, reader, self.record.now()))

    def end_hold(self, id, by):
        """An attempt of the request arrives, or its state is let go."""
        for hold in self.holds:
            if hold.id == id:
                hold.end(self.record.now(), by)

    def entries(self):
        return [{"id": instance.name, "addr": instance.address, "zone": instance.zone, "kind": instance.kind,
                 "cell": instance.cell, "state": "Ready", "weight": 1.0, "started_ms": 0}
                for instance in self.instances]


class Hold:
    """A read state that waits at its reader with no attempt of its request out."""

    def __init__(self, id, reader, since):
        self.id, self.reader, self.since = id, reader, since
        self.until = None
        self.ended_by = "the end of the run"

    def end(self, at, by):
        if self.until is None:
            self.until = at
            self.ended_by = by


class Attempt:
    def __init__(self, request, instance):
        self.id = request.id
        self.instance = instance.name
        self.role = instance.kind
        self.at = request.at
        self.timeout_ms = int(request.headers.get("request-timeout-ms", "0"))
        self.end = None
        self.outcome = None


class Instance(Server):
    """A reader (kind prefill) or a writer (kind decode)."""

    def __init__(self, fleet, name, kind, zone, cell, read=0.05, first_token=0.05, tokens=5, pace=0.02):
        super().__init__(fleet.record)
        self.fleet = fleet
        self.name, self.kind, self.zone, self.cell = name, kind, zone, cell
        self.read, self.first_token, self.tokens, self.pace = read, first_token, tokens, pace
        self.inflight = 0

    def report(self):
        return json.dumps({"inflight": self.inflight, "queue": 0, "x0": 0.05, "x1": 0.0})

    async def answer(self, connection, request):
        if request.path == "/-/load" and request.method == "GET":
            body = self.report()
            connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}")
        elif request.path.startswith("/kv/leases/") and request.method == "DELETE":
            self.release(request.path.rsplit("/", 1)[1])
            connection.send("HTTP/1.1 204 No Content\r\n\r\n")
        elif request.path == "/v1/chat/completions" and request.method == "POST":
            await self.attempt(connection, request)
        else:
            connection.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")

    def release(self, id):
        held = self.fleet.states.pop(id, None)
        self.fleet.end_hold(id, f"a DELETE came to {self.name}")
        self.record.add(f"{self.name} got DELETE {id}: " + (f"state at {held} let go" if held else "nothing held"))

    async def attempt(self, connection, request):
        attempt = Attempt(request, self)
        self.fleet.attempts.append(attempt)
        self.fleet.end_hold(request.id, f"an attempt came to {self.name}")
        self.record.add(f"{self.name} attempt of {request.id} begins, timeout {attempt.timeout_ms} ms")
        if request.id not in self.fleet.known_ids:
            self.fleet.faults.append(f"{self.name} got {request.id!r}, which no client sent")
            connection.send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            return
        self.inflight += 1
        try:
            attempt.outcome = await (self.prefill if self.kind == "prefill" else self.decode)(connection, request)
        finally:
            self.inflight -= 1
            attempt.end = time.monotonic()
            self.record.add(f"{self.name} attempt of {request.id} ends: {attempt.outcome}")

    async def prefill(self, connection, request):
        # A read goes on when its sender has gone; the state that a given-up read left goes by itself.
        if not await connection.wait(self.read):
            return "given up"
        self.fleet.states[request.id] = self.name
        self.fleet.hold(request.id, self.name)
        body = '{"cached_tokens":0}'
        connection.send(f"HTTP/1.1 202 Accepted\r\nServer-Load: {self.report()}\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n{body}")
        return "read"

    async def decode(self, connection, request):
        if request.id not in self.fleet.states:
            connection.send("HTTP/1.1 410 Gone\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            return "no state"
        if not await connection.wait(self.first_token):
            return "given up"
        if self.fleet.states.pop(request.id, None) is None:
            connection.send("HTTP/1.1 410 Gone\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            return "no state"
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(self.tokens):
            finish = '"stop"' if number == self.tokens - 1 else "null"
            event = (f'data: {{"choices":[{{"index":0,"delta":{{"content":"{request.id}.{number}"}},'
                     f'"finish_reason":{finish}}}]}}\n\n')
            connection.send(f"{len(event):x}\r\n{event}\r\n")
            if not await connection.wait(self.pace):
                return "given up"
        tail = f"data: [DONE]\n\n: Server-Load: {self.report()}\n\n"
        connection.send(f"{len(tail):x}\r\n{tail}\r\n0\r\n\r\n")
        return "served"


class Discovery(Server):
    """The agent of one conductor."""

    def __init__(self, record, fleet):
        super().__init__(record)
        self.fleet = fleet

    def list(self):
        return json.dumps({"version": 41, "full": True, "servers": self.fleet.entries()})

    async def answer(self, connection, request):
        if "follow=1" in request.path:
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self.list() + "\n"
            connection.send(f"{len(line):x}\r\n{line}\r\n")
            while await connection.wait(2.0):
                connection.send("1\r\n\n\r\n")
        else:
            body = self.list()
            connection.send(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}")


class Router:
    """One real conductor, started with the `run` command of the deploy file."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.process = None

    async def start(self, number, replicas, discovery, fleet, directory, limits, **changes):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
                  "seed": os.urandom(8).hex(), "limits": limits,
                  "known": {"version": 41, "full": True, "servers": fleet.entries()},
                  "settings": settings(replicas, number, **changes)}
        self.config_path = pathlib.Path(directory) / f"{self.name}.json"
        self.config_path.write_text(json.dumps(config))
        self.log_path = pathlib.Path(directory) / f"{self.name}.log"
        environment = dict(os.environ, LB_NAME=self.name, LB_LISTEN=config["listen"],
                           LB_DISCOVERY=discovery.address, LB_CONFIG=str(self.config_path), TMPDIR=directory)
        self.log = open(self.log_path, "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, start_new_session=True)
        self.record.add(f"router {self.name} started, process {self.process.pid}")
        return self

    async def wait_ready(self, seconds=30):
        until = time.monotonic() + seconds
        while time.monotonic() < until and not self.crashed():
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                answer = await reader.read()
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    self.record.add(f"router {self.name} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"router {self.name} does not start: {self.log_path.read_text()[-500:]!r}")

    def crashed(self):
        return self.process is not None and self.process.returncode is not None

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            os.killpg(self.process.pid, signal.SIGKILL)

    async def end(self):
        if self.process is not None:
            await self.process.wait()
            self.log.close()


def post(id, timeout_ms, chunked=False, prompt_tokens=800):
    """A request of a client, with a Content-Length or in chunks."""
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": 200,
                       "messages": [{"role": "user", "content": "q" * (prompt_tokens * 4)}]})
    head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {id}\r\n"
            f"Request-Class: dealer-query\r\nAffinity-Key: s{id}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
            f"Request-Info: prompt_len={prompt_tokens},max_out=200\r\nContent-Type: application/json\r\n")
    if chunked:
        return f"{head}Transfer-Encoding: chunked\r\n\r\n{len(body):x}\r\n{body}\r\n0\r\n\r\n".encode()
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


class Answer:
    def __init__(self):
        self.status = None
        self.first_at = None
        self.end_at = None
        self.whole = False
        self.body = b""


async def ask(reader, writer, data, patience):
    """Sends a request and reads its answer to the end, for `patience` seconds at most."""
    answer = Answer()
    answer.sent_at = time.monotonic()
    writer.write(data)
    await writer.drain()
    try:
        async with asyncio.timeout(patience):
            head = await reader.readuntil(b"\r\n\r\n")
            answer.first_at = time.monotonic()
            answer.status = int(head.split(b" ", 2)[1])
            fields = head.lower()
            answer.keeps = b"connection: close" not in fields
            if b"transfer-encoding: chunked" in fields:
                while True:
                    size = int((await reader.readline()).strip() or b"-1", 16)
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                    if size == 0:
                        break
            else:
                length = int(fields.split(b"content-length:")[1].split(b"\r\n")[0])
                answer.body = await reader.readexactly(length)
            answer.whole = True
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        pass
    answer.end_at = time.monotonic()
    return answer


async def with_deployment(record, body, *, replicas=3, readers=4, writers=6, limits=None, reader_times=None,
                          writer_times=None, **changes):
    """Starts a small deployment, runs `body(routers, fleet)`, and ends all that was started."""
    limits = limits or {"cores": 1.0, "memory_mb": 80, "sockets": 1024}
    fleet = Fleet(record)
    for number in range(readers):
        await fleet.add("prefill", number, **(reader_times or {}))
    for number in range(writers):
        await fleet.add("decode", number, **(writer_times or {}))
    routers = []
    with tempfile.TemporaryDirectory() as directory:
        try:
            for number in range(replicas):
                discovery = await Discovery(record, fleet).listen()
                router = Router(record, f"n{number}")
                routers.append(router)
                await router.start(number, replicas, discovery, fleet, directory, limits, **changes)
            for router in routers:
                await router.wait_ready()
            return await body(routers, fleet)
        finally:
            for router in routers:
                if router.crashed():
                    record.add(f"router {router.name} had ended with {router.process.returncode}")
            # All at once and before anything that can be interrupted.
            for router in routers:
                router.kill()
            for router in routers:
                await router.end()


class UsualClient:
    """A client of the usual kind: asks for one answer after another on a kept connection."""

    def __init__(self, record, fleet, router, name, timeout_ms=6000, pause=0.1):
        self.record, self.fleet, self.router = record, fleet, router
        self.name, self.timeout_ms, self.pause = name, timeout_ms, pause
        self.results = []

    async def run(self, until):
        streams = None
        number = 0
        while time.monotonic() < until and not self.router.crashed():
            id = f"{self.name}-{number}"
            number += 1
            self.fleet.known_ids.add(id)
            try:
                if streams is None:
                    streams = await asyncio.open_connection("127.0.0.1", self.router.port)
                answer = await ask(*streams, post(id, self.timeout_ms), self.timeout_ms / 1000 + 3)
            except OSError as error:
                self.record.add(f"client {self.name} cannot send {id}: {error}")
                streams = None
                await asyncio.sleep(self.pause)
                continue
            self.results.append((id, answer))
            kind = "whole" if answer.whole else "not whole" if answer.status else "no answer"
            self.record.add(f"client {self.name} asked {id}: status {answer.status}, {kind}, after "
                            f"{answer.end_at - answer.sent_at:.3f} s")
            if not answer.whole or not answer.keeps:
                streams[1].close()
                streams = None
            await asyncio.sleep(self.pause)
        if streams is not None:
            streams[1].close()


def check_service(usual, least):
    """Fails the run unless the usual clients got enough answers for it to mean anything."""
    served = sum(answer.status == 200 and answer.whole for client in usual for _, answer in client.results)
    if served < least:
        raise RuntimeError(f"usual clients got only {served} answers")


def trouble():
    """Returns whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, seconds=110):
    """Runs `case(record)`, which returns the list of breaks, and exits with the verdict."""
    folder = pathlib.Path(os.environ["CASE_FOLDER"])
    record = Record(folder / "record.txt")
    record.add("with the disruption" if trouble() else "TROUBLE=0: without the disruption")

    async def play():
        # An interrupted run ends its routers as well.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record), seconds)

    try:
        breaks = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        record.write([f"could not run: {type(error).__name__}: {error}"])
        print(f"could not run: {type(error).__name__}: {error}")
        raise SystemExit(2)
    verdict = [f"BROKEN: {text}" for text in breaks] or ["the rule was kept"]
    record.write(verdict)
    print("\n".join(verdict))
    raise SystemExit(1 if breaks else 0)
