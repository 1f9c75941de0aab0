"""A change is handed to a control process that starts again while the leader
stands still; the next change, handed to the same process, is acknowledged."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import fleet  # noqa: E402

METRICS_PORT = 9465
ROUNDS = 8
APPLY_S = 2.0


async def find_leader(deployment):
    for _ in range(50):
        for control in deployment.controls:
            status, text = await fleet.exchange(control.ip, METRICS_PORT,
                                                "GET", "/metrics")
            if status == 200 and any(
                    line.startswith("hickorylatch_is_leader") and
                    line.split()[-1] in ("1", "1.0")
                    for line in str(text).splitlines()):
                return control
        await asyncio.sleep(0.1)
    raise fleet.CannotRun("no control process says that it leads")


async def wait_until_listening(process):
    for _ in range(1000):
        try:
            _, writer = await asyncio.open_connection(process.ip,
                                                      fleet.CONTROL_PORT)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.002)
    raise fleet.CannotRun(f"{process.name} does not start again")


async def put(record, deployment, control, version, acknowledged):
    record.write(f"PUT version {version} at {control.name}")
    status, content = await fleet.exchange(
        control.ip, fleet.CONTROL_PORT, "PUT", "/api/config",
        deployment.config(version, timeout_ms=20000 + version), timeout_s=1.5)
    record.write(f"PUT version {version} at {control.name} answered "
                 f"{status or 'nothing'} {content or ''}")
    if status == 200:
        acknowledged.append(version)


async def read_all(record, deployment):
    versions = []
    for control in deployment.controls:
        status, content = await fleet.exchange(
            control.ip, fleet.CONTROL_PORT, "GET", "/api/config")
        version = content.get("version") if status == 200 else None
        record.write(f"GET at {control.name} answered {status}, version "
                     f"{version}")
        if status == 200:
            versions.append(version or 0)
    return versions


async def play(record, has_trouble):
    """One deployment from its start. Returns True if the rule was broken."""
    deployment = fleet.Fleet(record, edges=3, sides=1)
    try:
        await deployment.start(settle_s=0.5)
        leader = await find_leader(deployment)
        # The process that took the first configuration has counted one call more
        # than the others.
        other = next(each for each in deployment.controls
                     if each not in (leader, deployment.first_control))
        acknowledged = []
        record.write(f"{leader.name} leads")
        if has_trouble:
            record.write(f"{leader.name} freezes")
            leader.signal(signal.SIGSTOP)
        first = asyncio.create_task(
            put(record, deployment, other, 2, acknowledged))
        await asyncio.sleep(0.03)
        if has_trouble:
            record.write(f"{other.name} is killed and starts again")
            other.kill()
            other.start()
            await wait_until_listening(other)
        second = asyncio.create_task(
            put(record, deployment, other, 3, acknowledged))
        await asyncio.sleep(0.06)
        if has_trouble:
            record.write(f"{leader.name} wakes")
            leader.signal(signal.SIGCONT)
        await first
        await second
        await asyncio.sleep(APPLY_S + 0.5)
        versions = await read_all(record, deployment)
        if acknowledged and versions and min(versions) < max(acknowledged):
            record.write(f"CONFIG version {max(acknowledged)} was "
                         f"acknowledged, version {min(versions)} is read")
            return True
        return False
    finally:
        await deployment.stop()


async def case(record, has_trouble):
    for _ in range(ROUNDS):
        if await play(record, has_trouble):
            return True
    return False


fleet.main(case, FOLDER)
