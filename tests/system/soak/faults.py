"""Draws faults and injects them from outside of the processes."""

import asyncio
import signal
import time

from . import deployment as places
from .links import Fault


# Time that a machine counts as lost after it is back.
CATCH_UP_S = 4.0


class Faults:
    """Series of faults that overlap. At most one machine with a disk has a
    fault at a time, as many as the settings say may be lost at once."""

    def __init__(self, system, links, workers, ledger, rng):
        self.system = system
        self.links = links
        self.workers = workers
        self.ledger = ledger
        self.rng = rng
        self.disk = asyncio.Lock()
        self.running = set()
        self.log = []

    def kinds(self):
        return [self.kill, self.kill, self.stop_gracefully, self.pause,
                self.hang_up, self.reset, *self.of_workers(),
                *self.exclusive()]

    def of_workers(self):
        return [self.crash_worker, self.spoil_worker, self.drain_worker]

    def exclusive(self):
        """Faults during which no other machine with a disk may be lost."""
        return [self.delay, self.silence, self.cut_one_way, self.wipe,
                self.herd]

    async def roll(self, count, pause_s):
        """Planned stops one after the other, overlapping, and nothing else.
        Callers must not notice."""
        self.ledger.is_planned = True
        for process in self.rng.sample(list(self.system.processes.values()),
                                       count):
            task = asyncio.create_task(
                self.stop_gracefully(process=process))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(pause_s)
        while self.running:
            await asyncio.gather(*list(self.running))
        self.ledger.is_planned = False

    async def run(self, until, pause_s):
        while time.monotonic() < until():
            kind = self.rng.choice(self.kinds())
            if self.disk.locked() and kind in self.exclusive():
                # Would wait for its turn until after the others.
                kind = self.rng.choice(self.of_workers())
            task = asyncio.create_task(self.guarded(kind))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(self.rng.uniform(0.3, 1.7) * pause_s)
        while self.running:
            await asyncio.gather(*list(self.running))

    async def guarded(self, kind):
        began = time.monotonic()
        what = await kind()
        self.log.append((began, time.monotonic(), f"{kind.__name__} {what}"))

    async def on_process(self, process, fault):
        """Runs a fault of one process, alone among those with a disk."""
        if not process.machine.has_disk:
            await fault(process)
            return
        async with self.disk:
            await fault(process)
            # Catches up before the next one may be lost.
            await asyncio.sleep(CATCH_UP_S)

    def draw(self):
        """Any process; one without a disk while another fault has the
        machines with one."""
        return self.rng.choice([
            each for each in self.system.processes.values()
            if not (self.disk.locked() and each.machine.has_disk)])

    async def kill(self):
        process, down = self.draw(), self.rng.uniform(0.1, 3.0)

        async def fault(process):
            process.kill()
            await asyncio.sleep(down)
            if not process.is_running():
                process.start()
        await self.on_process(process, fault)
        return f"{process.name} for {down:.1f} s"

    async def wipe(self):
        process = self.rng.choice(self.system.of("control"))

        async def fault(process):
            process.kill()
            process.wipe()
            await asyncio.sleep(0.5)
            process.start()
        await self.on_process(process, fault)
        return process.name

    async def stop_gracefully(self, process=None):
        process = process or self.draw()

        async def fault(process):
            if not process.is_running():
                return
            child = process.child
            process.send(signal.SIGTERM)
            end = time.monotonic() + places.GRACE_S
            while child.poll() is None and time.monotonic() < end:
                await asyncio.sleep(0.05)
            if process.child is not child:
                return
            if child.poll() is None and not process.is_paused:
                self.ledger.breach(f"GRACE {process.name} runs on")
                process.kill()
            elif child.poll() not in (0, -signal.SIGKILL, None):
                self.ledger.breach(
                    f"GRACE {process.name} ended with {child.poll()}")
            if not process.is_running():
                process.start()
        await self.on_process(process, fault)
        return process.name

    async def pause(self):
        process, span = self.draw(), self.rng.uniform(0.2, 4.0)

        async def fault(process):
            process.pause()
            await asyncio.sleep(span)
            process.resume()
        await self.on_process(process, fault)
        return f"{process.name} for {span:.1f} s"

    async def hang_up(self):
        self.system.seed_order += 1
        for process in self.system.processes.values():
            self.system.write_settings(process)
            if self.rng.random() < 0.5:
                process.send(signal.SIGHUP)
        return "half of all"

    async def herd(self):
        """Kills every process of one role at the same moment."""
        duty = self.rng.choice(["entry", "control", "agent"])
        async with self.disk:
            victims = self.system.of(duty)
            for process in victims:
                process.kill()
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
            for process in victims:
                if not process.is_running():
                    process.start()
            await asyncio.sleep(CATCH_UP_S)
        return duty

    async def crash_worker(self):
        worker = self.rng.choice(self.workers)
        if not worker.is_up:
            return "none"
        await worker.crash()
        await asyncio.sleep(self.rng.uniform(0.2, 3.0))
        await worker.begin()
        return worker.name

    async def spoil_worker(self):
        worker = self.rng.choice(self.workers)
        mode = self.rng.choice(["fails", "hangs", "slow", "silent", "late"])
        worker.mode = mode
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        if worker.mode == mode:
            worker.mode = "good"
        return f"{worker.name} {mode}"

    async def drain_worker(self):
        worker = self.rng.choice(self.workers)
        if not worker.is_up:
            return "none"
        worker.is_draining = True
        await asyncio.sleep(4.0)
        if worker.is_up and worker.is_draining:
            await worker.crash()
            await worker.begin()
        return worker.name

    def draw_links(self):
        """All links of a machine, or those of a pair."""
        names = [each.name for each in self.system.machines]
        one, other = self.rng.choice(names), self.rng.choice(names)
        if self.rng.random() < 0.5:
            return one, lambda pair: one in pair
        return f"{one} and {other}", lambda pair: {one, other} == set(pair)

    async def reset(self):
        name, matches = self.draw_links()
        self.links.reset(matches)
        return name

    async def impair(self, shortest_s, longest_s, **how):
        name, matches = self.draw_links()
        fault = Fault(matches, **how)
        # A machine whose links fail counts as lost.
        async with self.disk:
            self.links.faults.append(fault)
            await asyncio.sleep(self.rng.uniform(shortest_s, longest_s))
            self.links.faults.remove(fault)
            await asyncio.sleep(2.0)
        return name

    async def delay(self):
        return await self.impair(0.5, 3.0,
                                 delay_s=self.rng.uniform(0.01, 0.3))

    async def silence(self):
        return await self.impair(0.3, 4.0, blocked=("to", "from"))

    async def cut_one_way(self):
        return await self.impair(0.3, 4.0, blocked=(
            self.rng.choice(["to", "from"]),))
