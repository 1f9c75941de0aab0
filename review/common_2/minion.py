"""Stand-in for a minion: runs tasks under a lease as PROTOCOL.md says."""

import asyncio
import json
import time

from . import wire

MAX_HOLD_S = 1.0
STOP_TIMEOUT_S = 0.05
HEARTBEAT_S = 1.5
APP_PORT = 8165


class Minion:
    """One minion beside an agent, across its lives. `spec` of a task is JSON
    with `ms`, the time that the task works. `record(text)` gets every start
    and end; `starts` lists them as (time, task, run, life, labels)."""

    def __init__(self, name, ip, agent, service, labels, record,
                 cpu=64000, mem_mb=131072):
        self.name = name
        self.ip = ip
        self.agent = agent
        self.service = service
        self.labels = labels
        self.record = record
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.starts = []
        self.life = 0
        self.is_up = False
        self.state = "ready"
        # Called with the name of each task that begins. True: this life
        # crashes before the answer to the start leaves.
        self.crashes_at_start = lambda task: False
        self.crashed = None

    async def start(self):
        self.life += 1
        self.is_up = True
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.lease_until = 0.0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.last_end = 0
        self.end_listed = asyncio.Event()
        self.server = wire.Server(self.ip, APP_PORT, self.handle)
        await self.server.start()
        self.record(f"{self.name} life {self.life} begins, labels "
                    f"{','.join(self.labels)}")
        self.tasks = [asyncio.create_task(self.heartbeats()),
                      asyncio.create_task(self.watch_lease())]

    def crash(self):
        if not self.is_up:
            return
        self.is_up = False
        self.record(f"{self.name} life {self.life} crashes, running "
                    f"{len(self.running)}")
        for task in self.tasks:
            task.cancel()
        for run in self.running.values():
            run["timer"].cancel()
        self.running = {}
        self.server.abort()

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    async def heartbeats(self):
        while True:
            status, _ = await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def heartbeat(self):
        self.sequence += 1
        return await wire.call(
            self.agent, "PUT", f"/api/instances/{self.name}",
            {"service": self.service, "address": f"{self.ip}:{APP_PORT}",
             "zone": "z", "version": "v1", "slots": 8, "state": self.state,
             "coldRemainingMs": 0, "born": self.born,
             "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
             "labels": self.labels, "clockMs": self.clock_ms(),
             "sequence": self.sequence})

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and time.monotonic() >= self.lease_until:
                for task in list(self.running):
                    self.end(task, "lapsed")

    async def handle(self, method, path, headers, body):
        if headers.get("x-hickorylatch-expected-instance",
                       self.name) != self.name:
            return 421, {}
        request = json.loads(body or b"{}")
        if request.get("fencingToken", 0) < self.token:
            return 409, self.reply(reason="fence")
        self.token = request.get("fencingToken", 0)
        if path == "/api/hold":
            return await self.hold(request)
        if path == "/api/run-start":
            return self.run_start(request)
        if path == "/api/run-stop":
            self.run_stop(request)
            return 200, self.reply()
        return 404, {}

    def reply(self, **more):
        return {"clockMs": self.clock_ms(), "born": self.born, **more}

    def extend_lease(self, deadline_ms):
        if deadline_ms:
            left = min((deadline_ms - self.clock_ms()) / 1000, MAX_HOLD_S)
            self.lease_until = max(self.lease_until, time.monotonic() + left)

    def run_start(self, request):
        task, run = request["task"], request["run"]
        present = self.running.get(task)
        if present is not None and present["run"] == run:
            return 200, self.reply()
        if request["deadlineMs"] <= self.clock_ms():
            return 409, self.reply(reason="late")
        self.extend_lease(request["deadlineMs"])
        if present is not None or run <= self.highest.get(task, 0):
            return 409, self.reply(reason="old")
        work_s = json.loads(request["spec"])["ms"] / 1000
        self.running[task] = {
            "run": run, "timer": asyncio.get_running_loop().call_later(
                work_s, self.end, task, "done")}
        self.starts.append((time.monotonic(), task, run, self.life,
                            list(self.labels)))
        self.record(f"{self.name} life {self.life} starts {task} run {run}")
        if self.crashes_at_start(task):
            self.crash()
            if self.crashed is not None:
                self.crashed()
            return None
        return 200, self.reply()

    def run_stop(self, request):
        task, run = request["task"], request["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        present = self.running.get(task)
        if present is None or present["run"] > run:
            return
        present["timer"].cancel()
        present["timer"] = asyncio.get_running_loop().call_later(
            STOP_TIMEOUT_S / 2, self.end, task, "stopped")

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None or not self.is_up:
            return
        run["timer"].cancel()
        self.highest[task] = max(run["run"], self.highest.get(task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.record(f"{self.name} life {self.life} ends {task} run "
                    f"{run['run']} {how}")
        self.end_listed.set()

    async def hold(self, request):
        cursor = request.get("ackCursor", 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        self.extend_lease(request.get("deadlineMs"))
        if not self.ended and request.get("waitMs"):
            self.end_listed.clear()
            try:
                await asyncio.wait_for(self.end_listed.wait(),
                                       request["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, self.reply(
            running=[[task, run["run"], "", 100]
                     for task, run in self.running.items()],
            ended=self.ended[:500])
