"""Clients that send much at once and go: their close is noticed late, or not at all."""

import asyncio
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import UsualClient, check_service, main, post, trouble, with_deployment

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 768}
USUAL_CLIENTS = 3
PROMPT_TOKENS = 4_000
# A prompt of 4,000 tokens at 16,000 tokens a second.
READ_S = 0.25
# How long a client goes on sending before it closes its connection.
STAY_S = 0.02
# An attempt may begin 0.1 s after the close; every time limit is 50 ms longer on sockets.
LIMIT_S = 0.1 + 0.05

CHUNKS = "a request in chunks, and the next one behind it"
LENGTHS = "two requests with their lengths"
FLOOD = "a request with its length, and as much more as the connection takes"
KINDS = [CHUNKS, FLOOD, LENGTHS]
CLIENTS_OF_A_KIND = 6


async def leave(record, fleet, router, kind, number, left):
    """Sends much at once and goes. Without the disruption it sends the first request alone, and stays."""
    ids = [f"much{KINDS.index(kind)}-{number}-{part}" for part in (0, 1)]
    fleet.known_ids.update(ids)
    data = post(ids[0], 5000, chunked=kind == CHUNKS, prompt_tokens=PROMPT_TOKENS)
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    await loop.sock_connect(client, ("127.0.0.1", router.port))
    if not trouble():
        record.add(f"client sends {ids[0]} alone")
        reader, writer = await asyncio.open_connection(sock=client)
        writer.write(data)
        async with asyncio.timeout(10):
            answer = await reader.readuntil(b"\r\n0\r\n\r\n")
        record.add(f"client of {ids[0]} got {answer[:15]!r} and {len(answer)} bytes, to the last chunk")
        writer.close()
        return
    if kind != FLOOD:
        data += post(ids[1], 5000, prompt_tokens=PROMPT_TOKENS)
    await loop.sock_sendall(client, data)
    sent = len(data)
    until = time.monotonic() + STAY_S
    while time.monotonic() < until:
        if kind == FLOOD:
            try:
                sent += client.send(b"x" * 1_000_000)
            except BlockingIOError:
                pass
        await asyncio.sleep(0.001)
    client.close()
    record.add(f"client of {ids[0]} sent {sent} bytes ({kind}) and closed its connection")
    left.update({id: (time.monotonic(), kind) for id in ids})


async def case(record):
    breaks = []

    async def play(routers, fleet):
        router = routers[0]
        until = time.monotonic() + 13
        left = {}
        usual = [UsualClient(record, fleet, router, f"usual{number}") for number in range(USUAL_CLIENTS)]
        tasks = [asyncio.create_task(client.run(until)) for client in usual]
        await asyncio.sleep(2)
        for number in range(CLIENTS_OF_A_KIND):
            for kind in KINDS:
                tasks.append(asyncio.create_task(leave(record, fleet, router, kind, number, left)))
                await asyncio.sleep(0.5)
        await asyncio.gather(*tasks)
        await asyncio.sleep(1)
        late_ids = {kind: set() for kind in KINDS}
        for attempt in fleet.attempts:
            closed_at, kind = left.get(attempt.id, (float("inf"), None))
            if attempt.at - closed_at > LIMIT_S:
                late_ids[kind].add(attempt.id)
                breaks.append(f"{attempt.instance} ({attempt.role}) got an attempt of {attempt.id} "
                              f"{attempt.at - closed_at:.3f} s after its client had closed its connection")
        for kind in KINDS:
            record.add(f"clients with {kind}: {len(late_ids[kind])} of {CLIENTS_OF_A_KIND} were forwarded after "
                       f"they had gone")
        check_service(usual, 10)

    await with_deployment(record, play, limits=LIMITS, reader_times={"read": READ_S})
    return breaks


main(case)
