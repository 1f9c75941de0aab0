"""Runs the platform's processes under clients that nobody controls.

Usage: untrusted_clients.py PROGRAM CASE

Guards against clients that make a process run out of memory or descriptors,
end, or stop serving ordinary callers. Each process has `memoryMb` = 64 and
`maxFds` = 400 in its settings. After the load, the loaded process must be the
same one, its peak resident memory at most 64 MB, its peak number of open
descriptors at most `maxFds` less 200, and one ordinary request of each kind
that the process serves must be answered. Times and shares are not checked.
"""

import asyncio
import collections
import concurrent.futures
import errno
import json
import multiprocessing
import os
import random
import selectors
import shutil
import socket
import sys
import tempfile
import threading
import time

from soak import deployment, wire
from soak.callers import Operator
from soak.checker import Checker, Job
from soak.deployment import Deployment
from soak.worker import Worker

# Fixed before the product was changed. They must not be eased.
MEMORY_MB = 64
MAX_FDS = 400
RESERVED_FDS = 200
MEMORY_LIMIT_KB = MEMORY_MB * 1_000_000 // 1024
FD_LIMIT = MAX_FDS - RESERVED_FDS

PIPELINING_CONNECTIONS = 8
PIPELINED_BYTES = 24 * 1024 * 1024
LOAD_S = 12.0
SLOW_CONNECTIONS = 300
SLOW_HEADER_BYTES = 15_000
SLOW_BODY_BYTES = 262_144
SLOW_BODY_FIRST_BYTES = 245_760
DRIP_INTERVAL_S = 1.0
IDLE_CONNECTIONS = 600
OPENED_CONNECTIONS = 3_000
LARGE_RESPONSE_BYTES = 1_048_576
LARGE_RESPONSE_READERS = 100
LARGE_RESPONSES_EACH = 8

STARTUP_LIMIT_S = 30.0
REQUEST_LIMIT_S = 30.0
SAMPLE_INTERVAL_S = 0.02
ENTRY_METRICS_PORT = 9464
CONTROL_METRICS_PORT = 9465
AGENT_METRICS_PORT = 9466

# With `asks_during_load`, an ordinary request must also be answered while the
# load goes on. `at_leader` chooses between the leader and another control
# process.
Case = collections.namedtuple(
    "Case", "duty port load content asks_during_load at_leader",
    defaults=(False, None))


def request(path, headers=(), method="GET"):
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


CASES = {
    "readiness": Case("entry", deployment.READINESS_PORT, "pipeline",
                      request("/api/readiness")),
    "ready": Case("entry", ENTRY_METRICS_PORT, "pipeline", request("/ready")),
    "unknown_path": Case("entry", deployment.CLIENTS_PORT, "pipeline",
                         request("/no/such/path")),
    "unknown_method": Case("entry", deployment.CLIENTS_PORT, "pipeline",
                           request("/work/", method="PATCH")),
    "control_port": Case("control", deployment.CONTROL_PORT, "pipeline",
                         request("/api/config")),
    "control_unknown_path": Case("control", deployment.CONTROL_PORT,
                                 "pipeline", request("/api/other")),
    "metrics": Case("entry", ENTRY_METRICS_PORT, "pipeline",
                    request("/metrics")),
    "control_metrics": Case("control", CONTROL_METRICS_PORT, "pipeline",
                            request("/metrics")),
    "health": Case("agent", AGENT_METRICS_PORT, "pipeline",
                   request("/health")),
    "worker_port": Case("agent", deployment.CONTROL_PORT, "pipeline",
                        request("/no/such/path")),
    "slow_headers": Case("entry", deployment.CLIENTS_PORT, "drip",
                         request("/work/")[:-2] +
                         b"a:\r\n" * (SLOW_HEADER_BYTES // 4)),
    "slow_bodies": Case("entry", deployment.CLIENTS_PORT, "drip",
                        request("/work/0000000000000001",
                                [f"Content-Length: {SLOW_BODY_BYTES}"],
                                "POST") + b" " * SLOW_BODY_FIRST_BYTES),
    "slow_bodies_at_control": Case(
        "control", deployment.CONTROL_PORT, "drip",
        request("/api/config", [f"Content-Length: {SLOW_BODY_BYTES}"],
                "PUT") + b" " * SLOW_BODY_FIRST_BYTES),
    "idle_connections": Case("entry", deployment.CLIENTS_PORT, "idle", b""),
    "refused_connections": Case("entry", deployment.CLIENTS_PORT, "idle",
                                request("/no/such/path")),
    "one_address": Case("entry", deployment.CLIENTS_PORT, "reopen",
                        request("/no/such/path"), True),
    "one_silent_address": Case("entry", deployment.CLIENTS_PORT, "reopen",
                               b"", True),
    "large_response": Case("control", deployment.CONTROL_PORT, "large",
                           request("/api/config") * LARGE_RESPONSES_EACH,
                           at_leader=True),
    "large_response_at_follower": Case(
        "control", deployment.CONTROL_PORT, "large",
        request("/api/config") * LARGE_RESPONSES_EACH, at_leader=False),
}


class Sampler(threading.Thread):
    """Records the peak resident memory and descriptors of a process."""

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid = pid
        self.peak_memory_kb = self.peak_descriptors = 0
        self.is_done = threading.Event()

    def run(self):
        while not self.is_done.is_set():
            self.sample()
            self.is_done.wait(SAMPLE_INTERVAL_S)

    def sample(self):
        try:
            with open(f"/proc/{self.pid}/status") as status:
                for line in status:
                    if line.startswith("VmHWM:"):
                        self.peak_memory_kb = max(self.peak_memory_kb,
                                                  int(line.split()[1]))
            count = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.peak_descriptors = max(self.peak_descriptors, count)
        except OSError:
            pass


class Load:
    """Connections from one address that send and read nothing."""

    def __init__(self, address, source_ip):
        self.address = address
        self.source_ip = source_ip
        self.selector = selectors.DefaultSelector()
        self.unsent = {}
        self.opened = self.closed = self.sent_bytes = 0

    def open(self, content):
        # The bound on what arrives is that of the process, so the buffers of
        # this side are small.
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.bind((self.source_ip, 0))
        client.setblocking(False)
        client.connect_ex(self.address)
        self.opened += 1
        self.unsent[client] = content
        self.selector.register(client, selectors.EVENT_WRITE)

    def close(self, client):
        self.selector.unregister(client)
        del self.unsent[client]
        client.close()
        self.closed += 1

    def is_closed_by_peer(self, client):
        # Responses stay unread: only an end or a reset counts.
        try:
            return client.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError as error:
            return error.errno != errno.ENOTCONN

    def write(self, client):
        try:
            count = client.send(self.unsent[client][:1 << 18])
        except BlockingIOError:
            return
        except OSError:
            return self.close(client)
        self.sent_bytes += count
        self.unsent[client] = self.unsent[client][count:]
        if not self.unsent[client]:
            self.selector.modify(client, selectors.EVENT_READ)

    def run(self, kind, content):
        content = memoryview(content)
        if kind == "pipeline":
            count = PIPELINED_BYTES // len(content)
            content = memoryview(bytes(content) * count)
        wanted = {"pipeline": PIPELINING_CONNECTIONS,
                  "drip": SLOW_CONNECTIONS,
                  "large": LARGE_RESPONSE_READERS}.get(kind, IDLE_CONNECTIONS)
        end = time.monotonic() + LOAD_S
        next_drip = time.monotonic() + DRIP_INTERVAL_S
        while time.monotonic() < end:
            limit = OPENED_CONNECTIONS if kind == "reopen" else wanted
            # Opened in groups, because a backlog is shorter than the crowd.
            for _ in range(32):
                if len(self.unsent) < wanted and self.opened < limit:
                    self.open(content)
            for key, _ in self.selector.select(0.02):
                if self.unsent[key.fileobj]:
                    self.write(key.fileobj)
            if kind != "pipeline":
                time.sleep(0.01)
                for client in list(self.unsent):
                    if not self.unsent[client] and \
                            self.is_closed_by_peer(client):
                        self.close(client)
            if kind == "drip" and time.monotonic() > next_drip:
                next_drip += DRIP_INTERVAL_S
                for client, rest in self.unsent.items():
                    if not rest:
                        self.unsent[client] = memoryview(b"a")
                        self.selector.modify(client, selectors.EVENT_WRITE)

def run_load(address, source_ip, kind, content):
    """Returns the numbers of opened connections and of bytes sent."""
    load = Load(address, source_ip)
    load.run(kind, content)
    return load.opened, load.sent_bytes


async def ask(limit_s, host, port, method, path, body=b""):
    connection = wire.Connection(host, port)
    try:
        status, _, _ = await asyncio.wait_for(
            connection.exchange(method, path, body), limit_s)
        return status
    except (OSError, asyncio.TimeoutError) as error:
        return f"{type(error).__name__} {error}"
    finally:
        connection.close()


class Scene:
    def __init__(self, program, folder, case):
        self.case = case
        self.folder = folder
        self.checker = Checker()
        self.failures = []
        group, self.lock = deployment.reserve_address_group()
        self.source_ip = f"127.{group}.9.1"
        self.system = Deployment(program, folder, group, 3, 0, 1)
        self.system.limits = [f"memoryMb = {MEMORY_MB}",
                              f"maxFds = {MAX_FDS}"]
        for machine in self.system.machines:
            machine.ip = machine.listen_ip
        self.workers = [
            Worker("i-" + each.name, each.failure_domain, each.listen_ip,
                   deployment.WORKER_PORT,
                   (each.listen_ip, deployment.CONTROL_PORT), self.checker,
                   16_000, random.Random(1))
            for each in self.system.machines if each.is_worker]
        self.operator = Operator(self.system.with_duty("control"),
                                 self.checker, random.Random(1))
        if case.load == "large":
            usual = self.operator.configuration
            self.operator.configuration = lambda version: {
                **usual(version), "note": "x" * LARGE_RESPONSE_BYTES}
        self.next_job = 1
        self.target = self.system.with_duty(case.duty)[0]

    async def run(self):
        self.system.start()
        try:
            for worker in self.workers:
                await worker.start()
            await self.load()
        finally:
            for worker in self.workers:
                if worker.is_up:
                    await worker.crash()
            self.system.stop()

    async def load(self):
        if not await self.wait_until_ready():
            self.failures.append("the deployment did not become ready")
            return
        if self.case.at_leader is not None:
            await self.choose_control()
        pid = self.target.child.pid
        sampler = Sampler(pid)
        sampler.start()
        # A process of its own, so that it doesn't slow the simulated worker.
        with concurrent.futures.ProcessPoolExecutor(
                1, multiprocessing.get_context("spawn")) as executor:
            running = asyncio.get_running_loop().run_in_executor(
                executor, run_load,
                (self.target.machine.listen_ip, self.case.port),
                self.source_ip, self.case.load, self.case.content)
            if self.case.asks_during_load:
                await asyncio.sleep(LOAD_S / 2)
                await self.check_ordinary_requests("during the load",
                                                   LOAD_S / 3)
            opened, sent_bytes = await running
        await self.check_ordinary_requests("after the load", REQUEST_LIMIT_S)
        sampler.is_done.set()
        sampler.join()
        sampler.sample()
        print(f"peak memory {sampler.peak_memory_kb} kB of "
              f"{MEMORY_LIMIT_KB}, descriptors {sampler.peak_descriptors} of "
              f"{FD_LIMIT}; opened {opened}, sent {sent_bytes} bytes")
        if not self.target.is_running() or self.target.child.pid != pid:
            self.failures.append("the process ended")
        if sampler.peak_memory_kb > MEMORY_LIMIT_KB:
            self.failures.append("peak memory over the limit")
        if sampler.peak_descriptors > FD_LIMIT:
            self.failures.append("descriptors over the limit")

    async def wait_until_ready(self):
        end = time.monotonic() + STARTUP_LIMIT_S
        if not await self.operator.change_configuration(STARTUP_LIMIT_S):
            return False
        while time.monotonic() < end:
            statuses = [await self.submit_job(each.machine.listen_ip,
                                              REQUEST_LIMIT_S)
                        for each in self.system.with_duty("entry")]
            if statuses == [200] * len(statuses):
                return True
            await asyncio.sleep(0.2)
        return False

    async def choose_control(self):
        for control in self.system.with_duty("control"):
            connection = wire.Connection(control.machine.listen_ip,
                                         CONTROL_METRICS_PORT)
            _, _, body = await connection.exchange("GET", "/metrics")
            connection.close()
            if (b"\nhickorylatch_is_leader 1" in body) == self.case.at_leader:
                self.target = control

    async def submit_job(self, host, limit_s):
        job = Job(self.next_job, 1, 30, 1000, False)
        self.next_job += 1
        self.checker.add_job(job)
        return await ask(limit_s, host, deployment.CLIENTS_PORT, "POST",
                         f"/work/{job.id}", job.body())

    async def check_ordinary_requests(self, when, limit_s):
        """Checks that a request of each kind succeeds within the limit. It is
        sent again while the worker or the control group is slow because the
        machine is busy."""
        host = self.target.machine.listen_ip
        get = lambda port, path: lambda: ask(limit_s, host, port, "GET", path)
        if self.case.duty == "entry":
            requests = {"job": lambda: self.submit_job(host, limit_s),
                        "readiness": get(deployment.READINESS_PORT,
                                         "/api/readiness"),
                        "metrics": get(ENTRY_METRICS_PORT, "/metrics")}
        elif self.case.duty == "control":
            requests = {"configuration": get(deployment.CONTROL_PORT,
                                             "/api/config"),
                        "metrics": get(CONTROL_METRICS_PORT, "/metrics")}
        else:
            requests = {"report": lambda: self.report_worker(limit_s),
                        "metrics": get(AGENT_METRICS_PORT, "/metrics")}
        end = time.monotonic() + limit_s
        for name, send in requests.items():
            status = None
            while status != 200:
                if status is not None and time.monotonic() > end:
                    self.failures.append(f"{name} {when}: {status}")
                    break
                if status is not None:
                    await asyncio.sleep(0.2)
                status = await send()

    async def report_worker(self, limit_s):
        worker = self.workers[0]
        return await ask(limit_s, self.target.machine.listen_ip,
                         deployment.CONTROL_PORT, "PUT",
                         f"/api/instances/{worker.name}",
                         json.dumps(worker.report_body()).encode())


def main(arguments):
    program, name = arguments
    folder = tempfile.mkdtemp(prefix="untrusted-")
    scene = Scene(program, folder, CASES[name])
    asyncio.run(scene.run())
    scene.failures += [text for _, text in scene.checker.violations]
    for failure in scene.failures:
        print(f"{name}: {failure}")
    if scene.failures:
        print(f"logs: {folder}")
        return 1
    shutil.rmtree(folder)
    print(f"{name}: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
