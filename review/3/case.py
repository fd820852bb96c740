"""Open connections to writers fall silent with no error while read states wait to be taken."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import UsualClient, check_service, main, trouble, with_deployment

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 768}
# All at one conductor, with about the traffic of the whole deployment.
USUAL_CLIENTS = 16
READ_S = 0.06
# A writer under load: a request waits for its slot, then its state is fetched.
FIRST_TOKEN_S = 0.35
CALM_S = 4
ROUNDS = 8
ROUND_S = 1.5
# familyInfo.pinLimit of the settings, and 300 ms more.
LIMIT_S = 1.0 + 0.3


async def case(record):
    breaks = []

    async def play(routers, fleet):
        router = routers[0]
        until = time.monotonic() + CALM_S + ROUNDS * ROUND_S + 3
        usual = [UsualClient(record, fleet, router, f"usual{number}") for number in range(USUAL_CLIENTS)]
        tasks = [asyncio.create_task(client.run(until)) for client in usual]
        await asyncio.sleep(CALM_S)
        writers = [instance for instance in fleet.instances if instance.kind == "decode"]
        for _ in range(ROUNDS):
            await asyncio.sleep(ROUND_S)
            if trouble():
                # Only connections on which no request is under way, so that no stream is cut off.
                idle = [connection for writer in writers for connection in writer.connections
                        if connection.task is None]
                for connection in idle:
                    connection.silent = True
                record.add(f"{len(idle)} open connections to writers fall silent; new ones work as before")
        await asyncio.gather(*tasks)
        await asyncio.sleep(3)
        for hold in fleet.holds:
            held = (hold.until or record.now()) - hold.since
            if held > LIMIT_S:
                breaks.append(f"the state of {hold.id} waited at {hold.reader} for {held:.3f} s with no attempt out, "
                              f"from {hold.since:.3f} s on, until {hold.ended_by}")
        check_service(usual, 50)

    await with_deployment(record, play, limits=LIMITS, reader_times={"read": READ_S},
                          writer_times={"first_token": FIRST_TOKEN_S})
    return breaks


main(case)
