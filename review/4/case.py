"""A heartbeat of another writer reaches an agent while its minion runs tasks."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import fleet  # noqa: E402

TASK_MS = 2500
TASKS = 4


async def case(record, has_trouble):
    deployment = fleet.Fleet(record, edges=3, sides=4)
    try:
        await deployment.start()
        entry = deployment.entries[0]
        job = "5c0e7a21d94b36f8"
        body = {"spec": '{"ms": [%d]}' % TASK_MS, "bestEffort": True,
                "phases": [{"count": TASKS, "cpu": 6000, "memMb": 64,
                            "estimatedMs": TASK_MS}]}
        record.write(f"POST {job} at {entry.name}")
        post = asyncio.create_task(fleet.exchange(
            entry.ip, fleet.CLIENTS_PORT, "POST", fleet.PREFIX + job, body,
            {"X-Hickorylatch-Deadline-Ms": "15000"}, timeout_s=15.0))
        await asyncio.sleep(1.0)
        minion = next(each for each in deployment.minions if each.running)
        if has_trouble:
            # Complete and readable, but of a service that no configuration
            # names.
            status, _ = await fleet.exchange(
                minion.ip, fleet.CONTROL_PORT, "PUT",
                "/api/instances/i-0000ffff",
                {"service": "no-such-desk", "address": f"{minion.ip}:8199",
                 "zone": "z", "version": "v1", "slots": 8, "state": "ready",
                 "coldRemainingMs": 0, "clockMs": 1000,
                 "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
                 "labels": ["a", "r1-1"], "sequence": 1,
                 "born": int(time.time() * 1000)})
            record.write(f"heartbeat of no-such-desk beside {minion.name} was "
                         f"answered {status}")
        status, content = await post
        record.write(f"POST {job} answered {status} {content}")
        await asyncio.sleep(0.5)
        pairs = fleet.overlapping_runs(deployment.runs(), record.now())
        for first, second, length in pairs:
            record.write(
                f"TWICE {first['task']}: run {first['run']} at "
                f"{first['minion']} and run {second['run']} at "
                f"{second['minion']} at the same time for {length:.3f} s")
        return bool(pairs)
    finally:
        await deployment.stop()


fleet.main(case, FOLDER)
