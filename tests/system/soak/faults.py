"""Draws faults at random and injects them from outside the processes."""

import asyncio
import contextlib
import json
import signal
import time

from . import deployment, wire
from .links import Fault


# Time after a restart during which a machine still counts as lost, because it
# has to catch up.
CATCH_UP_S = 4.0
# Longest time that a worker which is to crash with a task waits for one.
START_WAIT_S = 1.0


def foreign_reports(worker):
    """Names and changed fields of reports that do not come from the worker."""
    later = {"sequence": worker.report_sequence + 1}
    fields = [{"service": "no-such-desk"}, {"state": "unknown"},
              {"state": "left"}, {"sequence": 2 ** 62}, {"sequence": 2 ** 70},
              {"clockMs": 2 ** 53}, {"born": worker.incarnation + 1},
              {"born": worker.incarnation - 1}, {"born": 1e300},
              {"capacity": {"cpu": 4 * 10 ** 9, "memMb": 1, "gpu": 0}},
              {"capacity": None}, {"address": "127.0.0.1:99999"},
              {"labels": {}}, {"nested": "here"}]
    return ([(worker.name, {**later, **each}) for each in fields] +
            [("i-foreign", {**later, "service": "no-such-desk",
                            "born": worker.incarnation + 1}),
             ("i-foreign", {**later, "born": worker.incarnation + 1})])


class Faults:
    """Injects overlapping faults. At most one machine with a disk has a fault
    at a time: the settings allow for the loss of one machine."""

    def __init__(self, system, links, workers, checker, rng):
        self.system = system
        self.links = links
        self.workers = workers
        self.checker = checker
        self.rng = rng
        self.disk_lock = asyncio.Lock()
        self.active_faults = set()
        self.log = []

    def all_faults(self):
        return [self.kill, self.kill, self.stop_gracefully, self.pause,
                self.reload_settings, self.reset_links, *self.worker_faults(),
                *self.exclusive_faults()]

    def worker_faults(self):
        return [self.crash_worker, self.degrade_worker, self.drain_worker,
                self.send_foreign_report]

    def exclusive_faults(self):
        """Faults during which no other machine with a disk may be lost."""
        return [self.delay_links, self.block_links, self.block_links_one_way,
                self.lose_data, self.kill_role]

    async def run_planned_stops(self, count, pause_s):
        """Stops processes gracefully, at fixed intervals and overlapping,
        without other faults. Every request must be answered meanwhile."""
        self.checker.has_only_planned_stops = True
        for process in self.rng.sample(list(self.system.processes.values()),
                                       count):
            task = asyncio.create_task(
                self.stop_gracefully(process=process))
            self.active_faults.add(task)
            task.add_done_callback(self.active_faults.discard)
            await asyncio.sleep(pause_s)
        while self.active_faults:
            await asyncio.gather(*list(self.active_faults))
        self.checker.has_only_planned_stops = False

    async def run(self, end_time, pause_s):
        while time.monotonic() < end_time():
            kind = self.rng.choice(self.all_faults())
            if self.disk_lock.locked() and kind in self.exclusive_faults():
                # Would wait until the faults that hold the lock are over.
                kind = self.rng.choice(self.worker_faults())
            task = asyncio.create_task(self.run_fault(kind))
            self.active_faults.add(task)
            task.add_done_callback(self.active_faults.discard)
            await asyncio.sleep(self.rng.uniform(0.3, 1.7) * pause_s)
        while self.active_faults:
            await asyncio.gather(*list(self.active_faults))

    async def run_fault(self, kind):
        start_time = time.monotonic()
        target = await kind()
        self.log.append((start_time, time.monotonic(),
                         f"{kind.__name__} {target}"))

    async def run_on_process(self, process, fault):
        """Injects a fault into one process. On a machine with a disk, it waits
        until no other such machine has a fault."""
        if not process.machine.has_disk:
            await fault(process)
            return
        async with self.disk_lock:
            await fault(process)
            # The process catches up before the next one may be lost.
            await asyncio.sleep(CATCH_UP_S)

    def choose_process(self):
        """Any process; only one on a machine without a disk while a machine
        with a disk has a fault."""
        return self.rng.choice([
            each for each in self.system.processes.values()
            if not (self.disk_lock.locked() and each.machine.has_disk)])

    async def kill(self):
        process, downtime_s = self.choose_process(), self.rng.uniform(0.1, 3.0)

        async def fault(process):
            process.kill()
            await asyncio.sleep(downtime_s)
            if not process.is_running():
                process.start()
        await self.run_on_process(process, fault)
        return f"{process.name} for {downtime_s:.1f} s"

    async def lose_data(self):
        process = self.rng.choice(self.system.with_duty("control"))

        async def fault(process):
            process.kill()
            process.delete_data()
            await asyncio.sleep(0.5)
            process.start()
        await self.run_on_process(process, fault)
        return process.name

    async def stop_gracefully(self, process=None):
        process = process or self.choose_process()

        async def fault(process):
            if not process.is_running():
                return
            child = process.child
            process.send_signal(signal.SIGTERM)
            end = time.monotonic() + deployment.STOP_GRACE_S
            while child.poll() is None and time.monotonic() < end:
                await asyncio.sleep(0.05)
            if process.child is not child:
                return
            if child.poll() is None and not process.is_paused:
                self.checker.report_violation(
                    f"GRACE {process.name} is still running")
                process.kill()
            elif child.poll() not in (0, -signal.SIGKILL, None):
                self.checker.report_violation(
                    f"GRACE {process.name} ended with {child.poll()}")
            if not process.is_running():
                process.start()
        await self.run_on_process(process, fault)
        return process.name

    async def pause(self):
        process, duration_s = self.choose_process(), self.rng.uniform(0.2, 4.0)

        async def fault(process):
            process.pause()
            await asyncio.sleep(duration_s)
            process.resume()
        await self.run_on_process(process, fault)
        return f"{process.name} for {duration_s:.1f} s"

    async def reload_settings(self):
        self.system.seed_rotation += 1
        for process in self.system.processes.values():
            self.system.write_settings(process)
            if self.rng.random() < 0.5:
                process.send_signal(signal.SIGHUP)
        return "in about half of all processes"

    async def kill_role(self):
        """Kills all processes of one role at once."""
        duty = self.rng.choice(["entry", "control", "agent"])
        async with self.disk_lock:
            processes = self.system.with_duty(duty)
            is_separation = duty == "control"
            with (self.checker.separation() if is_separation
                  else contextlib.nullcontext()):
                for process in processes:
                    process.kill()
                await asyncio.sleep(self.rng.uniform(0.1, 0.8))
                for process in processes:
                    if not process.is_running():
                        process.start()
                await asyncio.sleep(CATCH_UP_S)
        return duty

    async def crash_worker(self):
        worker = self.rng.choice(self.workers)
        if not worker.is_up or worker.crashes_at_start:
            return "none"
        down_s = self.rng.uniform(0.02, 3.0)
        # The worker's own random numbers: kept seeds depend on the number of
        # the shared ones that each fault draws.
        if worker.rng.random() < 0.5:
            if not await worker.crash_at_start(START_WAIT_S):
                return "none"
        else:
            await worker.crash()
        await asyncio.sleep(down_s)
        await worker.start(first_report_delay_s=self.rng.uniform(0.0, 1.0))
        return worker.name

    async def send_foreign_report(self):
        """Another process sends a report to the agent of a worker, as that
        worker or under another name."""
        worker = self.rng.choice(self.workers)
        if not worker.is_up:
            return "none"
        name, change = self.rng.choice(foreign_reports(worker))
        body = json.dumps({**worker.report_body(), **change}).encode()
        if "nested" in change:
            body = body.replace(b'"here"', b"[" * 5000 + b"]" * 5000)
        connection = wire.Connection(*worker.agent_address)
        method = "DELETE" if change.get("state") == "left" else "PUT"
        try:
            await asyncio.wait_for(connection.exchange(
                method, f"/api/instances/{name}", body), 1.0)
        except (OSError, ConnectionError, asyncio.TimeoutError):
            pass
        connection.close()
        return f"{name} at {worker.name}: {change}"

    async def degrade_worker(self):
        worker = self.rng.choice(self.workers)
        mode = self.rng.choice(["failing", "hanging", "slow", "unresponsive",
                                "delayed"])
        worker.mode = mode
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        if worker.mode == mode:
            worker.mode = "normal"
        return f"{worker.name} {mode}"

    async def drain_worker(self):
        worker = self.rng.choice(self.workers)
        if not worker.is_up:
            return "none"
        worker.is_draining = True
        await asyncio.sleep(4.0)
        if worker.is_up and worker.is_draining:
            await worker.crash()
            await worker.start()
        return worker.name

    def choose_links(self):
        """Chooses all links of one machine or those between two."""
        names = [each.name for each in self.system.machines]
        one, other = self.rng.choice(names), self.rng.choice(names)
        if self.rng.random() < 0.5:
            return one, lambda pair: one in pair
        return f"{one} and {other}", lambda pair: {one, other} == set(pair)

    async def reset_links(self):
        name, matches = self.choose_links()
        self.links.reset(matches)
        return name

    async def impair_links(self, shortest_s, longest_s, **impairment):
        name, matches = self.choose_links()
        fault = Fault(matches, **impairment)
        # A machine whose links are impaired counts as lost.
        async with self.disk_lock:
            self.links.faults.append(fault)
            with self.checker.separation():
                await asyncio.sleep(self.rng.uniform(shortest_s, longest_s))
            self.links.faults.remove(fault)
            await asyncio.sleep(2.0)
        return name

    async def delay_links(self):
        return await self.impair_links(0.5, 3.0,
                                       delay_s=self.rng.uniform(0.01, 0.3))

    async def block_links(self):
        return await self.impair_links(0.3, 4.0, blocked=("to", "from"))

    async def block_links_one_way(self):
        return await self.impair_links(0.3, 4.0, blocked=(
            self.rng.choice(["to", "from"]),))
