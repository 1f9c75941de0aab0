"""An idle minion crashes and starts again under the id that it had."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import fleet  # noqa: E402

CRASHES = 55
DOWN_S = 0.5
# The first heartbeat of a life comes this long after the minion takes calls,
# well within heartbeatMs (1.5 s).
FIRST_BEAT_S = 0.2
BETWEEN_S = 1.0
TASK_MS = 250
JOB_INTERVAL_S = 0.08


async def send_jobs(record, deployment, until):
    """Hands in jobs of one task at all entries in turn."""
    number = 0
    pending = set()
    while not until.is_set():
        number += 1
        entry = deployment.entries[number % len(deployment.entries)]
        task = asyncio.create_task(send_job(record, entry, number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(JOB_INTERVAL_S)
    if pending:
        await asyncio.wait(pending)


async def send_job(record, entry, number):
    job = f"5c0e7a21{number:08x}"
    body = {"spec": '{"ms": [%d]}' % TASK_MS, "bestEffort": True,
            "phases": [{"count": 1, "cpu": 1000, "memMb": 64,
                        "estimatedMs": TASK_MS}]}
    record.write(f"POST {job} at {entry.name}")
    status, content = await fleet.exchange(
        entry.ip, fleet.CLIENTS_PORT, "POST", fleet.PREFIX + job, body,
        {"X-Hickorylatch-Deadline-Ms": "5000"}, timeout_s=5.0)
    record.write(f"POST {job} answered {status} {content}")


async def case(record, has_trouble):
    deployment = fleet.Fleet(record, edges=3, sides=8)
    old_lives = []
    try:
        await deployment.start()
        until = asyncio.Event()
        jobs = asyncio.create_task(send_jobs(record, deployment, until))
        await asyncio.sleep(1.0)
        pairs = []
        for crash in range(CRASHES):
            index = crash % len(deployment.minions)
            while deployment.minions[index].running:
                await asyncio.sleep(0.01)
            if has_trouble:
                minion = deployment.minions[index]
                await minion.crash()
                old_lives.append(minion)
                await asyncio.sleep(DOWN_S)
                successor = fleet.Minion(record, minion.name, minion.ip,
                                         minion.millicores)
                await successor.start(first_beat_s=FIRST_BEAT_S)
                deployment.minions[index] = successor
                record.write(f"{minion.name} starts again")
            await asyncio.sleep(BETWEEN_S)
            runs = [run for minion in old_lives + deployment.minions
                    for run in minion.runs]
            pairs = fleet.overlapping_runs(runs, record.now())
            if pairs:
                break
        until.set()
        await jobs
        for first, second, length in pairs:
            record.write(
                f"TWICE {first['task']}: run {first['run']} at "
                f"{first['minion']} and run {second['run']} at "
                f"{second['minion']} at the same time for {length:.3f} s")
        return bool(pairs)
    finally:
        await deployment.stop()


fleet.main(case, FOLDER)
