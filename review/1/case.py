"""A conductor with 32 MB and 1,024 descriptors, and 300 clients that stop in the middle of a request and stay."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import UsualClient, check_service, main, post, trouble, with_deployment

# The least memory and the most descriptors that the TERMS page names.
LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}
# All clients together stay under a third of the descriptors (341).
USUAL_CLIENTS = 12
STOPPED_IN_HEAD = 200
STOPPED_IN_BODY = 100
CALM_S = 3
TROUBLE_S = 8
POLL_S = 0.01


def memory_mb(process):
    """The memory that the process alone holds, and with the shared parts of its program, in MB."""
    text = pathlib.Path(f"/proc/{process}/status").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    return tuple(int(fields[name].split()[0]) / 1024 for name in ("RssAnon", "VmRSS"))


async def platform(record, router, until, killed):
    """Kills the conductor when it holds more than its memory, as the platform does."""
    peak = 0.0
    while time.monotonic() < until and not router.crashed():
        own, whole = memory_mb(router.process.pid)
        peak = max(peak, own)
        if own > LIMITS["memory_mb"]:
            record.add(f"the platform kills {router.name}: it holds {own:.1f} MB ({whole:.1f} MB with the shared "
                       f"parts of its program) of {LIMITS['memory_mb']} MB")
            killed.append(own)
            router.process.kill()
            await router.process.wait()
        await asyncio.sleep(POLL_S)
    record.add(f"the most memory that {router.name} held by itself: {peak:.1f} MB of {LIMITS['memory_mb']} MB")


def unfinished_head():
    """About 31 KB of a head that does not end."""
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: app.svc"]
    lines += [f"X-Filler-{number}: {'a' * 200}" for number in range(142)]
    return ("\r\n".join(lines) + "\r\n").encode()


async def stops_in_the_middle(router, data, until, ends):
    """Sends the beginning of a request and stays. Comes again when it is turned away."""
    while time.monotonic() < until and not router.crashed():
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
            writer.write(data)
            async with asyncio.timeout(4):
                await reader.read()
            writer.close()
            ends.append(time.monotonic() - began)
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.01)


async def case(record):
    breaks = []

    async def play(routers, fleet):
        router = routers[0]
        began = time.monotonic()
        until = began + CALM_S + TROUBLE_S
        killed, ends = [], []
        usual = [UsualClient(record, fleet, router, f"usual{number}") for number in range(USUAL_CLIENTS)]
        tasks = [asyncio.create_task(client.run(until)) for client in usual]
        tasks.append(asyncio.create_task(platform(record, router, until, killed)))
        await asyncio.sleep(CALM_S)
        bad = []
        if trouble():
            record.add(f"{STOPPED_IN_HEAD} clients stop in a head and {STOPPED_IN_BODY} in a body, and stay")
            head = unfinished_head()
            body = post("half", 5000, prompt_tokens=64_000)[:-1000]
            record.add(f"a head has {len(head)} bytes so far, a request with a body {len(body)} bytes so far")
            datas = [head] * STOPPED_IN_HEAD + [body] * STOPPED_IN_BODY
            bad = [asyncio.create_task(stops_in_the_middle(router, data, until, ends)) for data in datas]
        await asyncio.gather(*tasks)
        for task in bad:
            task.cancel()
        await asyncio.gather(*bad, return_exceptions=True)
        check_service(usual, 10)
        taken = {attempt.id for attempt in fleet.attempts}
        lost = [id for client in usual for id, answer in client.results if not answer.whole and id in taken]
        record.add(f"connections of bad clients that ended: {len(ends)}; usual requests: "
                   f"{sum(len(client.results) for client in usual)}, of which forwarded but not answered whole: {lost}")
        if killed:
            breaks.append(f"the conductor held {killed[0]:.1f} MB of {LIMITS['memory_mb']} MB and was killed; "
                          f"{len(lost)} requests that it had taken got no whole answer")
        elif router.crashed():
            breaks.append(f"the conductor ended by itself with {router.process.returncode}")

    await with_deployment(record, play, limits=LIMITS, writer_times={"first_token": 0.05, "tokens": 20})
    return breaks


main(case)
