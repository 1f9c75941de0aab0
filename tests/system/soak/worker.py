"""Stand-in for a worker of the platform: runs tasks under a lease."""

import asyncio
import json
import time

from . import wire

LONGEST_LEASE_S = 1.0
STOP_S = 0.03
BEAT_S = 1.5
MOST_ENDS = 500
# A worker's steady clock may be this slow.
CLOCK_RATE = 0.98


class Worker:
    """One worker beside an agent, over its lifetimes. `ledger` hears of every
    start and end and checks them."""

    def __init__(self, name, host, port, agent, ledger, capacity, rng):
        self.name = name
        self.host = host
        self.port = port
        self.agent = agent
        self.ledger = ledger
        self.capacity = capacity
        self.rng = rng
        self.server = None
        self.beats = None
        self.is_up = False
        # "good", "fails", "hangs", "slow", "silent" or "late".
        self.mode = "good"
        self.is_draining = False
        self.drain_told_at = None

    async def begin(self):
        """Starts a lifetime that knows nothing of the ones before."""
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.lease_until = 0.0
        self.lapsed_at = 0.0
        self.running = {}
        self.last_run = {}
        self.ends = []
        self.last_end = 0
        self.changed = asyncio.Event()
        self.mode = "good"
        self.is_draining = False
        self.drain_told_at = None
        self.server = await wire.serve(self.host, self.port, self.handle)
        self.is_up = True
        self.beats = asyncio.create_task(self.beat())

    async def crash(self):
        self.is_up = False
        self.beats.cancel()
        for run in self.running.values():
            run["timer"].cancel()
            self.ledger.ended(self, run, "crashed")
        self.running.clear()
        self.ends.clear()
        self.server.close()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * CLOCK_RATE * 1000) + 1000

    async def beat(self):
        connection = wire.Connection(self.agent[0], self.agent[1])
        while True:
            try:
                await asyncio.wait_for(self.report(connection), 1.0)
                pause = BEAT_S
            except (OSError, ConnectionError, asyncio.TimeoutError):
                connection.close()
                pause = 0.2
            await asyncio.sleep(pause)

    async def report(self, connection):
        self.sequence += 1
        is_draining = self.is_draining
        body = {"service": "desk", "address": f"{self.host}:{self.port}",
                "zone": "z", "version": "v1", "slots": 8, "born": self.born,
                "state": "draining" if is_draining else "ready",
                "coldRemainingMs": 0, "clockMs": self.clock_ms(),
                "capacity": {"cpu": self.capacity, "memMb": 65536, "gpu": 0},
                "labels": ["a", "r1"], "sequence": self.sequence}
        status, _, _ = await connection.exchange(
            "PUT", f"/api/instances/{self.name}", json.dumps(body).encode())
        if is_draining and status == 200 and self.drain_told_at is None:
            self.drain_told_at = time.monotonic()

    async def handle(self, method, path, headers, body):
        if not self.is_up:
            return None
        wanted = headers.get("x-hickorylatch-expected-instance")
        if wanted not in (None, self.name):
            return 421, {}
        order = json.loads(body or b"{}")
        if self.mode == "silent":
            return None
        if self.mode == "late" and path != "/api/hold":
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.05, 2.0), self.carry_out_late, path, order,
                self.born)
            return None
        if path == "/api/hold":
            return await self.hold(order)
        return self.carry_out(path, order)

    def carry_out_late(self, path, order, born):
        # An order ends with the lifetime that took it.
        if self.born == born:
            self.carry_out(path, order)

    def carry_out(self, path, order):
        if not self.is_up:
            return None
        if order.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = order.get("fencingToken", 0)
        if path == "/api/run-start":
            return self.start(order)
        if path == "/api/run-stop":
            self.stop(order)
            return 200, {"clockMs": self.clock_ms()}
        return 404, {}

    def extend(self, until_ms):
        if not until_ms:
            return
        self.note_lapse()
        left = min((until_ms - self.clock_ms()) / 1000, LONGEST_LEASE_S)
        until = time.monotonic() + left / CLOCK_RATE
        if until > self.lease_until:
            self.lease_until = until
            asyncio.get_running_loop().call_later(
                until - time.monotonic() + 0.001, self.check_lease)

    def note_lapse(self):
        if time.monotonic() >= self.lease_until > self.lapsed_at:
            self.lapsed_at = self.lease_until

    def check_lease(self):
        if self.is_up and self.running and time.monotonic() >= self.lease_until:
            for task in list(self.running):
                self.end(task, "lapsed")

    def start(self, order):
        task, run = order["task"], order["run"]
        present = self.running.get(task)
        if present is not None and present["run"] == run:
            return 200, {"clockMs": self.clock_ms()}
        reason = None
        if order["deadlineMs"] <= self.clock_ms():
            reason = "late"
        elif run <= self.last_run.get(task, 0) or present is not None:
            reason = "old"
        self.extend(order["deadlineMs"])
        if reason is not None:
            return 409, {"clockMs": self.clock_ms(), "reason": reason}
        started = {"task": task, "run": run, "stopping": False}
        wanted = self.ledger.started(self, started, order["spec"])
        self.running[task] = started
        how, run_s = "done", wanted["ms"] / 1000
        if self.mode == "fails":
            how, run_s = "failed", 0.02
        elif self.mode == "hangs":
            run_s = 3600.0
        elif self.mode == "slow":
            run_s *= 6
        started["timer"] = asyncio.get_running_loop().call_later(
            run_s, self.end, task, how)
        return 200, {"clockMs": self.clock_ms()}

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.last_run[task] = max(run, self.last_run.get(task, 0))
        present = self.running.get(task)
        if present is None or present["run"] > run or present["stopping"]:
            return
        present["stopping"] = True
        present["timer"].cancel()
        present["timer"] = asyncio.get_running_loop().call_later(
            STOP_S, self.end, task, "stopped")

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None or not self.is_up:
            return
        run["timer"].cancel()
        self.last_run[task] = max(run["run"], self.last_run.get(task, 0))
        self.last_end += 1
        row = [self.last_end, task, run["run"], how, ""]
        self.ends.append((row, self.ledger.ended(self, run, how)))
        self.changed.set()

    async def hold(self, order):
        if order.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = order.get("fencingToken", 0)
        self.note_lapse()
        cursor = order.get("ackCursor", 0)
        for row, end in self.ends:
            if row[0] <= cursor:
                self.ledger.noted(end, self.lapsed_at)
        self.ends = [each for each in self.ends if each[0][0] > cursor]
        self.extend(order.get("deadlineMs"))
        if not self.ends and order.get("waitMs"):
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       order["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clockMs": self.clock_ms(), "born": self.born,
                     "running": [[run["task"], run["run"], "", 100]
                                 for run in self.running.values()],
                     "ended": [row for row, _ in self.ends[:MOST_ENDS]]}
