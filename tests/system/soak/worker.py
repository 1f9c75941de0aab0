"""Simulated worker of the platform: runs tasks while it holds a lease."""

import asyncio
import json
import time

from . import wire

MAX_LEASE_S = 1.0
STOP_DELAY_S = 0.03
REPORT_INTERVAL_S = 1.5
MAX_ENDS_PER_POLL = 500
# Rate of the worker's steady clock against real time: the slowest allowed.
CLOCK_RATE = 0.98


class Worker:
    """One worker next to an agent, across restarts. Reports every start
    and end of a run to `checker`."""

    def __init__(self, name, failure_domain, host, port, agent_address,
                 checker, capacity, rng):
        self.name = name
        self.failure_domain = failure_domain
        self.host = host
        self.port = port
        self.agent_address = agent_address
        self.checker = checker
        self.capacity = capacity
        self.rng = rng
        self.server = None
        self.report_task = None
        self.is_up = False
        # "normal", "failing", "hanging", "slow", "unresponsive" (ignores all
        # requests) or "delayed" (executes requests late, without an answer).
        self.mode = "normal"
        self.is_draining = False
        self.drain_reported_at = None
        # Crashes as it begins the next task, before it answers.
        self.crashes_at_start = False

    async def start(self, first_report_delay_s=0.0):
        """Starts a new incarnation without the state of earlier ones. It
        accepts orders before its first report."""
        self.incarnation = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.report_sequence = 0
        self.fencing_token = 0
        self.lease_expiry = 0.0
        self.lapsed_at = 0.0
        self.running = {}
        self.highest_run = {}
        self.unacknowledged_ends = []
        self.last_end_number = 0
        self.end_added = asyncio.Event()
        self.has_crashed = asyncio.Event()
        self.crashes_at_start = False
        self.mode = "normal"
        self.is_draining = False
        self.drain_reported_at = None
        self.writers = set()
        self.server = await wire.serve(self.host, self.port, self.handle,
                                       self.writers)
        self.is_up = True
        self.report_task = asyncio.create_task(
            self.report_periodically(first_report_delay_s))

    async def crash_at_start(self, timeout_s):
        """Crashes as it begins the next task, before it answers, but at the
        latest after the timeout. Returns False if another fault restarted it
        meanwhile."""
        incarnation = self.incarnation
        self.crashes_at_start = True
        try:
            await asyncio.wait_for(self.has_crashed.wait(), timeout_s)
        except asyncio.TimeoutError:
            pass
        if self.incarnation != incarnation:
            return False
        if self.is_up:
            await self.crash()
        return True

    async def crash(self):
        self.is_up = False
        self.has_crashed.set()
        self.report_task.cancel()
        for run in self.running.values():
            run["timer"].cancel()
            self.checker.run_ended(self, run, "crashed")
        self.running.clear()
        self.unacknowledged_ends.clear()
        self.server.close()
        # The connections of a process end with it.
        for writer in list(self.writers):
            writer.transport.abort()

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * CLOCK_RATE *
                   1000) + 1000

    async def report_periodically(self, first_report_delay_s):
        await asyncio.sleep(first_report_delay_s)
        connection = wire.Connection(self.agent_address[0],
                                     self.agent_address[1])
        while True:
            try:
                await asyncio.wait_for(self.report(connection), 1.0)
                pause = REPORT_INTERVAL_S
            except (OSError, ConnectionError, asyncio.TimeoutError):
                connection.close()
                pause = 0.2
            await asyncio.sleep(pause)

    async def report(self, connection):
        self.report_sequence += 1
        is_draining = self.is_draining
        body = self.report_body()
        status, _, _ = await connection.exchange(
            "PUT", f"/api/instances/{self.name}", json.dumps(body).encode())
        if is_draining and status == 200 and self.drain_reported_at is None:
            self.drain_reported_at = time.monotonic()

    def report_body(self):
        return {"service": "desk", "address": f"{self.host}:{self.port}",
                "zone": self.failure_domain, "version": "v1", "slots": 8,
                "born": self.incarnation,
                "state": "draining" if self.is_draining else "ready",
                "coldRemainingMs": 0, "clockMs": self.clock_ms(),
                "capacity": {"cpu": self.capacity, "memMb": 65536, "gpu": 0},
                "labels": ["a", "r1"], "sequence": self.report_sequence}

    async def handle(self, method, path, headers, body):
        if not self.is_up:
            return None
        expected_instance = headers.get("x-hickorylatch-expected-instance")
        if expected_instance not in (None, self.name):
            return 421, {}
        request = json.loads(body or b"{}")
        if self.mode == "unresponsive":
            return None
        if self.mode == "delayed" and path != "/api/hold":
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.05, 2.0), self.execute_late, path, request,
                self.incarnation)
            return None
        if path == "/api/hold":
            return await self.poll(request)
        answer = self.execute(path, request)
        if self.crashes_at_start and path == "/api/run-start" and \
                answer is not None and answer[0] == 200:
            await self.crash()
            return None
        return answer

    def execute_late(self, path, request, incarnation):
        # A restart drops the requests that the earlier incarnation received.
        if self.incarnation == incarnation:
            self.execute(path, request)

    def execute(self, path, request):
        if not self.is_up:
            return None
        if request.get("fencingToken", 0) < self.fencing_token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fencing_token = request.get("fencingToken", 0)
        if path == "/api/run-start":
            return self.start_run(request)
        if path == "/api/run-stop":
            self.stop_run(request)
            return 200, {"clockMs": self.clock_ms()}
        return 404, {}

    def extend_lease(self, expiry_ms):
        if not expiry_ms:
            return
        self.record_lapse()
        remaining_s = min((expiry_ms - self.clock_ms()) / 1000, MAX_LEASE_S)
        expiry = time.monotonic() + remaining_s / CLOCK_RATE
        if expiry > self.lease_expiry:
            self.lease_expiry = expiry
            asyncio.get_running_loop().call_later(
                expiry - time.monotonic() + 0.001, self.check_lease_expiry)

    def record_lapse(self):
        if time.monotonic() >= self.lease_expiry > self.lapsed_at:
            self.lapsed_at = self.lease_expiry

    def check_lease_expiry(self):
        if self.is_up and self.running and \
                time.monotonic() >= self.lease_expiry:
            for task in list(self.running):
                self.end_run(task, "lapsed")

    def start_run(self, request):
        task, run_number = request["task"], request["run"]
        current = self.running.get(task)
        if current is not None and current["run"] == run_number:
            return 200, {"clockMs": self.clock_ms()}
        reason = None
        if request["deadlineMs"] <= self.clock_ms():
            reason = "late"
        elif run_number <= self.highest_run.get(task, 0) or \
                current is not None:
            reason = "old"
        self.extend_lease(request["deadlineMs"])
        if reason is not None:
            return 409, {"clockMs": self.clock_ms(), "reason": reason}
        run = {"task": task, "run": run_number, "stopping": False}
        spec = self.checker.run_started(self, run, request["spec"])
        self.running[task] = run
        outcome, run_s = "done", spec["ms"] / 1000
        if self.mode == "failing":
            outcome, run_s = "failed", 0.02
        elif self.mode == "hanging":
            run_s = 3600.0
        elif self.mode == "slow":
            run_s *= 6
        run["timer"] = asyncio.get_running_loop().call_later(
            run_s, self.end_run, task, outcome)
        return 200, {"clockMs": self.clock_ms()}

    def stop_run(self, request):
        task, run_number = request["task"], request["run"]
        self.highest_run[task] = max(run_number, self.highest_run.get(task, 0))
        current = self.running.get(task)
        if current is None or current["run"] > run_number or \
                current["stopping"]:
            return
        current["stopping"] = True
        current["timer"].cancel()
        current["timer"] = asyncio.get_running_loop().call_later(
            STOP_DELAY_S, self.end_run, task, "stopped")

    def end_run(self, task, outcome):
        run = self.running.pop(task, None)
        if run is None or not self.is_up:
            return
        run["timer"].cancel()
        self.highest_run[task] = max(run["run"], self.highest_run.get(task, 0))
        self.last_end_number += 1
        row = [self.last_end_number, task, run["run"], outcome, ""]
        self.unacknowledged_ends.append(
            (row, self.checker.run_ended(self, run, outcome)))
        self.end_added.set()

    async def poll(self, request):
        if request.get("fencingToken", 0) < self.fencing_token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fencing_token = request.get("fencingToken", 0)
        self.record_lapse()
        cursor = request.get("ackCursor", 0)
        for row, end in self.unacknowledged_ends:
            if row[0] <= cursor:
                self.checker.end_acknowledged(end, self.lapsed_at)
        self.unacknowledged_ends = [each for each in self.unacknowledged_ends
                                    if each[0][0] > cursor]
        self.extend_lease(request.get("deadlineMs"))
        if not self.unacknowledged_ends and request.get("waitMs"):
            self.end_added.clear()
            try:
                await asyncio.wait_for(self.end_added.wait(),
                                       request["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clockMs": self.clock_ms(), "born": self.incarnation,
                     "running": [[run["task"], run["run"], "", 100]
                                 for run in self.running.values()],
                     "ended": [row for row, _ in
                               self.unacknowledged_ends[:MAX_ENDS_PER_POLL]]}
