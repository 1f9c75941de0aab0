"""A minion crashes as it begins a task and starts again under its id."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common_2 import client, system  # noqa: E402

JOB = "5c0e7a21d94b36f8"
# The work and the time limit of the requests `price-quote`.
WORK_MS, LIMIT_MS = 900, 1500
RESTART_S = 0.7


async def scenario(record, with_trouble):
    deployment = system.System(
        ["klang", "shah-alam", "ipoh"],
        [("klang", ["a", "r1"]), ("shah-alam", ["a", "r1"]),
         ("ipoh", ["a", "r2"])], record)
    restarts = []
    try:
        await deployment.start()
        await deployment.install([system.route()])
        await deployment.wait_ready()

        async def restart(minion):
            await asyncio.sleep(RESTART_S)
            await minion.start()

        for minion in deployment.minions:
            if with_trouble:
                minion.crashes_at_start = lambda task: not restarts
                minion.crashed = lambda minion=minion: restarts.append(
                    asyncio.create_task(restart(minion)))
        status = await client.submit(
            record, deployment.edges[0], JOB,
            [{"count": 1, "cpu": 6200, "memMb": 64, "estimatedMs": WORK_MS}],
            json.dumps({"ms": WORK_MS}), LIMIT_MS)
        await asyncio.sleep(0.5)
        starts = sum(len(minion.starts) for minion in deployment.minions)
        record(f"starts of the job's task: {starts}, status: {status}")
        return not (starts and status in (429, 503))
    finally:
        deployment.stop()


sys.exit(system.main(FOLDER, scenario))
