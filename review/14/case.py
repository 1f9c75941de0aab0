"""A worker counts its heartbeats in milliseconds, and drains."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common_3"))
from standins import *  # noqa: E402,F403

DRAIN_S = 2.0  # drainMs
ROUNDS = 3


class MillisecondWorker(Worker):
    """Takes its clock for the sequence, which increases with each call."""

    def report(self, **changes):
        self.sequence = max(self.sequence, self.clock() - 1)
        return Worker.report(self, **changes)


async def main(record, trouble):
    deployment = Deployment(record, disks=3, workers=4)
    workers = []
    loads = set()
    late = []
    try:
        deployment.start()
        for number, agent in enumerate(deployment.with_role("agent")):
            worker = MillisecondWorker(deployment, agent, f"i-{number}",
                                       cpu=6400)
            worker.work_ms = lambda task: 200
            workers.append(worker)
            await worker.start()
        if not await put_configuration(deployment, configuration(3)):
            raise CannotRun("no configuration")
        await wait_until_served(deployment)
        entries = deployment.with_role("entry")

        async def keep_loading():
            while True:
                call = asyncio.create_task(submit(
                    deployment, random.choice(entries), new_id(), job(2)))
                loads.add(call)
                call.add_done_callback(loads.discard)
                await asyncio.sleep(0.1)

        load = asyncio.create_task(keep_loading())
        await asyncio.sleep(2.0)
        for leaving in workers[:ROUNDS]:
            # A heartbeat comes each 1.5 s; the next one says that the worker
            # drains.
            await asyncio.sleep(1.0)
            if not trouble:
                continue
            leaving.state = "draining"
            for _ in range(100):
                if leaving.drain_acked_at is not None:
                    break
                await asyncio.sleep(0.05)
            if leaving.drain_acked_at is None:
                raise CannotRun("draining was not acknowledged")
            await asyncio.sleep(DRAIN_S + 5.0)
            late += [(leaving, when - leaving.drain_acked_at, task)
                     for when, task, _ in leaving.starts
                     if when > leaving.drain_acked_at + DRAIN_S]
            leaving.state = "ready"
        load.cancel()
        if loads:
            await asyncio.wait(loads)
        for leaving, after, task in late:
            record.write(f"DRAIN {leaving.name} was told to start {task} "
                         f"{after:.3f} s after draining was acknowledged")
        return not late
    finally:
        for worker in workers:
            await worker.close()
        deployment.close()


run_case(main)
