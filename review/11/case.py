"""An order of the operator that had no answer is carried out seconds later."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common_3"))
from standins import *  # noqa: E402,F403

ZONE = "za"
FREEZE_S = 4.0
EVACUATE_S = 5.0  # evacuateMs
WATCHED_S = 9.0


async def order(deployment, method, nodes):
    """An order of the operator, sent again unchanged until it is acknowledged,
    for ackTimeoutMs at most."""
    until = time.monotonic() + 5.0
    turn = 0
    while time.monotonic() < until:
        node = nodes[turn % len(nodes)]
        turn += 1
        status, answer = await http(node.machine.ip, CONTROL_PORT, method,
                                    f"/api/evacuate/{ZONE}", timeout=1.0)
        deployment.record.write(f"operator {method} {ZONE} at {node.name}: "
                                f"{status} {answer}")
        if status is not None and 200 <= status < 300:
            return time.monotonic()
        await asyncio.sleep(0.1)
    raise CannotRun(f"{method} was not acknowledged")


async def leader_of(deployment):
    """The control process that says in its metrics that it leads."""
    for _ in range(50):
        for node in deployment.with_role("control"):
            status, answer = await http(node.machine.ip, METRICS_PORTS[1],
                                        "GET", "/metrics")
            if status == 200 and b"hickorylatch_is_leader 1" in \
                    answer.splitlines():
                return node
        await asyncio.sleep(0.1)
    raise CannotRun("no leader")


async def main(record, trouble):
    deployment = Deployment(record, disks=3, workers=6)
    deployment.contracts.insert(5, "places")
    workers = []
    loads = set()
    try:
        deployment.start()
        workers = await start_workers(deployment, lambda task: 100)
        if not await put_configuration(deployment, configuration(3)):
            raise CannotRun("no configuration")
        await wait_until_served(deployment)
        entries = deployment.with_role("entry")

        async def keep_loading():
            while True:
                call = asyncio.create_task(submit(
                    deployment, random.choice(entries), new_id(), job(1)))
                loads.add(call)
                call.add_done_callback(loads.discard)
                await asyncio.sleep(0.1)

        load = asyncio.create_task(keep_loading())
        await asyncio.sleep(2.0)
        leader = await leader_of(deployment)
        frozen = [each for each in deployment.processes.values()
                  if each.machine is leader.machine]
        others = [each for each in deployment.with_role("control")
                  if each is not leader]
        await order(deployment, "POST", others)
        await asyncio.sleep(1.5)
        began = time.monotonic()
        if trouble:
            for process in frozen:
                process.signal(signal.SIGSTOP)
            record.write(f"stopped {leader.machine.name}, which leads")
        await order(deployment, "DELETE", others)
        await asyncio.sleep(0.3)
        evacuated_at = await order(deployment, "POST", others)
        record.write(f"{ZONE} is evacuated from now on")
        if trouble:
            await asyncio.sleep(max(0, began + FREEZE_S - time.monotonic()))
            for process in frozen:
                process.signal(signal.SIGCONT)
            record.write(f"continued {leader.machine.name}")
        await asyncio.sleep(EVACUATE_S + WATCHED_S)
        load.cancel()
        if loads:
            await asyncio.wait(loads)
        late = [(worker.name, task, when - evacuated_at) for worker in workers
                if worker.process.machine.zone == ZONE
                for when, task, _ in worker.starts
                if when > evacuated_at + EVACUATE_S]
        for name, task, after in late:
            record.write(f"EVAC {name} in {ZONE} was told to start {task} "
                         f"{after:.3f} s after the evacuation was "
                         "acknowledged")
        return not late
    finally:
        for worker in workers:
            await worker.close()
        deployment.close()


run_case(main)
