"""Simulated clients, load balancer and operator."""

import asyncio
import json
import time

from . import deployment
from . import wire
from .checker import EVACUATE_LIMIT_S, Job

CLIENT_TIMEOUT_S = 8.0
RESEND_DELAY_S = 1.3
MAX_ATTEMPTS = 3
# The load balancer removes an entry from rotation at the second failed probe.
PROBE_INTERVAL_S = 1.0
FAILED_PROBE_LIMIT = 2
CONFIG_APPLY_LIMIT_S = 2.0
# Share of durable jobs among all jobs, and of cancellations among the durable
# ones.
DURABLE_SHARE = 0.4
CANCEL_SHARE = 0.1
# A durable job must have ended within this time after the faults.
DURABLE_JOB_LIMIT_S = 60.0
# Upper bound for a round trip on loopback on a busy machine.
IDLE_CLOSE_RACE_S = 0.02
OPERATOR_TIMEOUT_S = 1.0
# A new leader is found well within this time.
COMMAND_LIMIT_S = 15.0


class Balancer:
    """Load balancer that probes whether the entries are ready."""

    def __init__(self, entries):
        self.entries = entries
        self.failed_probes = {each: FAILED_PROBE_LIMIT for each in entries}

    async def run(self):
        await asyncio.gather(*(self.probe(each) for each in self.entries))

    async def probe(self, entry):
        while True:
            connection = wire.Connection(entry.machine.listen_ip,
                                         deployment.READINESS_PORT)
            try:
                status, _, _ = await asyncio.wait_for(
                    connection.exchange("GET", "/api/readiness"), 1.0)
            except (OSError, asyncio.TimeoutError):
                status = 0
            connection.close()
            self.failed_probes[entry] = 0 if status == 200 else \
                self.failed_probes[entry] + 1
            await asyncio.sleep(PROBE_INTERVAL_S)

    def choose_entry(self, rng, excluded_entry=None):
        ready = [each for each in self.entries
                 if self.failed_probes[each] < FAILED_PROBE_LIMIT
                 and each != excluded_entry]
        return rng.choice(ready or self.entries)


class Client:
    """Submits jobs one after the other and reuses its connection until it
    fails."""

    def __init__(self, balancer, checker, rng, millicores):
        self.balancer = balancer
        self.checker = checker
        self.rng = rng
        self.millicores = millicores
        self.entry = self.connection = None
        self.is_resending = False
        self.poll_tasks = set()

    async def run(self, rate_per_s, end_time, job_numbers):
        await asyncio.sleep(self.rng.expovariate(rate_per_s))
        while time.monotonic() < end_time():
            await self.submit(self.make_job(next(job_numbers)))
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
        if self.connection is not None:
            self.connection.close()
        while self.poll_tasks:
            await asyncio.gather(*list(self.poll_tasks))

    def make_job(self, number):
        tasks, run_ms = self.rng.choice([(8, 60), (4, 400), (2, 150), (1, 30)])
        return Job(number, tasks, run_ms, self.millicores,
                   self.rng.random() < DURABLE_SHARE)

    async def submit(self, job):
        self.checker.add_job(job)
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RESEND_DELAY_S)
            if self.connection is None or not self.connection.is_open() or \
                    attempt:
                self.connect(excluded_entry=self.entry if attempt else None)
            status = await self.send_job(job)
            if status is not None and status not in (502, 504):
                break
        job.is_submitting = False
        if job.is_accepted:
            task = asyncio.create_task(self.poll_until_ended(job))
            self.poll_tasks.add(task)
            task.add_done_callback(self.poll_tasks.discard)

    async def poll_until_ended(self, job):
        """Polls the state of a durable job until it ends, or cancels it."""
        is_to_cancel = self.rng.random() < CANCEL_SHARE
        end = time.monotonic() + DURABLE_JOB_LIMIT_S
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            entry = self.balancer.choose_entry(self.rng)
            connection = wire.Connection(entry.machine.listen_ip,
                                         deployment.CLIENTS_PORT)
            method = "DELETE" if is_to_cancel else "GET"
            try:
                status, _, body = await asyncio.wait_for(
                    connection.exchange(method, f"/work/{job.id}"), 4.0)
            except (OSError, asyncio.TimeoutError):
                continue
            finally:
                connection.close()
            if is_to_cancel and status in (200, 410):
                job.cancelled_at = time.monotonic()
                return
            if status == 410:
                self.checker.job_unknown(job)
            if status == 200:
                self.checker.state_reported(job, json.loads(body)["state"])
                if job.state in ("completed", "failed", "cancelled"):
                    return

    def connect(self, excluded_entry):
        """Opens a connection to an entry that the load balancer chooses."""
        if self.connection is not None:
            self.connection.close()
        self.entry = self.balancer.choose_entry(self.rng, excluded_entry)
        self.connection = wire.Connection(self.entry.machine.listen_ip,
                                          deployment.CLIENTS_PORT)

    async def send_job(self, job):
        sent_at = time.monotonic()
        try:
            status, _, body = await asyncio.wait_for(
                self.connection.exchange(
                    "POST", f"/work/{job.id}", job.body(),
                    {"X-Hickorylatch-Deadline-Ms":
                     str(int(CLIENT_TIMEOUT_S * 1000))}), CLIENT_TIMEOUT_S)
        except asyncio.TimeoutError:
            self.checker.request_unanswered(job, "timeout")
            return None
        except (OSError, ConnectionError):
            if self.checker.has_only_planned_stops and \
                    time.monotonic() - sent_at < IDLE_CLOSE_RACE_S:
                # A stopping entry closed the idle connection before it read the
                # request. A killed entry may have read it; `submit` then
                # resends the request, after RESEND_DELAY_S.
                return await self.resend_once(job)
            self.checker.request_unanswered(job, "connection closed")
            return None
        self.checker.request_answered(job, status, body)
        return status

    async def resend_once(self, job):
        if self.is_resending:
            self.checker.request_unanswered(job, "connection closed")
            return None
        self.is_resending = True
        self.connect(excluded_entry=self.entry)
        status = await self.send_job(job)
        self.is_resending = False
        return status


class Operator:
    """Changes the configuration and reads it back, at any control replica."""

    def __init__(self, controls, checker, rng):
        self.controls = controls
        self.checker = checker
        self.rng = rng
        self.version = 0

    def configuration(self, version):
        return {"version": version,
                "services": [{"name": "desk", "enforcesCapacity": False}],
                "routes": [{"name": "work", "host": "desk.example",
                            "pathPrefix": "/work/", "timeoutMs": 15000,
                            "targetLatencyMs": 60, "priority": 1,
                            "service": "desk", "retries": 3,
                            "slackFactor": 1.6}],
                "limits": {}}

    async def send_request(self, control, method, body=b"",
                           path="/api/config"):
        connection = wire.Connection(control.machine.listen_ip,
                                     deployment.CONTROL_PORT)
        try:
            return await asyncio.wait_for(
                connection.exchange(method, path, body),
                OPERATOR_TIMEOUT_S)
        finally:
            connection.close()

    async def change_configuration(self, timeout_s):
        """Sends the next version to random replicas until one acknowledges."""
        self.version += self.rng.randint(1, 4)
        body = json.dumps(self.configuration(self.version)).encode()
        version, end = self.version, time.monotonic() + timeout_s
        while time.monotonic() < end:
            control = self.rng.choice(self.controls)
            try:
                status, _, _ = await self.send_request(control, "PUT", body)
            except (OSError, asyncio.TimeoutError):
                status = 0
            if status == 200:
                self.checker.version_acknowledged(version)
                return True
            if status in (400, 409, 412):
                self.checker.report_violation(
                    f"CONFIG {version} refused with {status}")
                return False
            await asyncio.sleep(0.2)
        return False

    async def read_configuration(self, control):
        sent_at = time.monotonic()
        try:
            status, _, body = await self.send_request(control, "GET")
        except (OSError, asyncio.TimeoutError):
            return None
        if status != 200:
            return None
        version = json.loads(body)["version"]
        self.checker.configuration_read(control.name, sent_at, version,
                                        CONFIG_APPLY_LIMIT_S)
        return version

    async def run(self, end_time):
        while time.monotonic() < end_time():
            if self.rng.random() < 0.4:
                await self.change_configuration(5.0)
            await self.read_configuration(self.rng.choice(self.controls))
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))


class Evacuator:
    """Evacuates one failure domain after the other and restores it."""

    def __init__(self, operator, checker, rng):
        self.operator = operator
        self.checker = checker
        self.rng = rng

    async def send_command(self, method, failure_domain, end):
        """Sends the command to random replicas until one acknowledges it."""
        while time.monotonic() < end:
            control = self.rng.choice(self.operator.controls)
            try:
                status, _, _ = await self.operator.send_request(
                    control, method, path=f"/api/evacuate/{failure_domain}")
            except (OSError, asyncio.TimeoutError):
                status = 0
            if status == 200:
                return True
            if 400 <= status < 500:
                self.checker.report_violation(
                    f"EVACUATION {method} {failure_domain} refused with "
                    f"{status}")
                return False
            await asyncio.sleep(0.2)
        return False

    async def run(self, end_time):
        while time.monotonic() < end_time():
            failure_domain = self.rng.choice(deployment.FAILURE_DOMAINS)
            if await self.send_command("POST", failure_domain,
                                       time.monotonic() + COMMAND_LIMIT_S):
                self.checker.evacuation_acknowledged(failure_domain)
            await asyncio.sleep(EVACUATE_LIMIT_S + self.rng.uniform(0.5, 3.0))
            self.checker.restoration_requested(failure_domain)
            if not await self.send_command("DELETE", failure_domain,
                                           time.monotonic() + COMMAND_LIMIT_S):
                self.checker.report_violation(
                    f"EVACUATION {failure_domain} was not restored within "
                    f"{COMMAND_LIMIT_S} s")
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
