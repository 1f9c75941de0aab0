"""Stand-ins for the platform, its workers, clients and operators, and the
processes of one small deployment on loopback addresses."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                       "target", "hickorylatch")
LINK_PORT = 7720
CLIENTS_PORT = 8161
WORKER_PORT = 8165
CONTROL_PORT = 8166
READINESS_PORT = 8167
METRICS_PORTS = (9464, 9465, 9466)
ZONES = ("za", "zb", "zc")
LEASE_LIMIT_MS = 1000


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()
        self.hidden = None

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        if self.hidden:
            text = text.replace(self.hidden, "FOLDER")
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def reserve_group():
    """A group of loopback addresses that no other run uses."""
    groups = list(range(10, 250))
    random.shuffle(groups)
    for group in groups:
        lock = socket.socket()
        try:
            lock.bind((f"127.{group}.3.1", LINK_PORT))
            return group, lock
        except OSError:
            lock.close()
    raise OSError("no group of loopback addresses is free")


class Process:
    """One process of the system, started with a command of the deploy file."""

    def __init__(self, deployment, machine, role):
        self.deployment = deployment
        self.machine = machine
        self.role = role
        self.name = f"{machine.name}/{role}"
        base = os.path.join(deployment.folder, f"{machine.name}-{role}")
        self.settings = base + ".toml"
        self.log = base + ".log"
        self.data = base + "-data"
        self.child = None

    def start(self, bootstrap):
        self.write_settings(bootstrap)
        if machine_has_disk(self.machine, self.role):
            os.makedirs(self.data, exist_ok=True)
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(
                [PROGRAM, "host", self.role], stdout=out, stderr=out,
                env={"HICKORYLATCH_BOOT": self.settings,
                     "PATH": os.environ.get("PATH", "")})
        self.deployment.record.write(f"start {self.name} pid {self.child.pid}")

    def write_settings(self, bootstrap):
        machine = self.machine
        at = lambda port: f"{machine.ip}:{port}"
        lines = [f'nodeName = "{machine.name}"', f'role = "{self.role}"',
                 f'machineClass = "{machine.kind}"', f'ip = "{machine.ip}"',
                 f'zone = "{machine.zone}"', 'region = "area"',
                 f"portRange = [{LINK_PORT},{LINK_PORT + 15}]",
                 "seeds = " + json.dumps(self.deployment.seeds()),
                 f"bootstrap = {str(bootstrap).lower()}",
                 f"lossCounts = {str(machine.has_disk).lower()}",
                 'discovery = "local"', 'entry = "vip"', "heartbeatMs = 1500",
                 "contracts = " + json.dumps(self.deployment.contracts),
                 'commands = "invocation"']
        if machine_has_disk(machine, self.role):
            lines.append(f'dataDir = "{self.data}"')
        if machine.kind == "side":
            lines.append(f'app = "{at(WORKER_PORT)}"')
        lines += ["[zones]", *(f'{zone} = "area"' for zone in ZONES),
                  "[listenAddrs]", f'frontend = "{at(CLIENTS_PORT)}"',
                  f'readiness = "{at(READINESS_PORT)}"',
                  f'controlPlane = "{at(CONTROL_PORT)}"',
                  "[limits]", "cpuShare = 0.5", "cores = 1", "memoryMb = 260",
                  "maxFds = 4100", "diskMb = 128", "[faultTolerance]",
                  "machines = 1", "zones = 0", "regions = 0", "[bounds]",
                  "contactMs = 3000", "drainMs = 2000", "graceS = 6",
                  "configApplyMs = 2000", "maxHoldMs = 1000",
                  "stopTimeoutMs = 50", "spreadFactor = 1.5", "status_s = 120",
                  "evacuateMs = 5000"]
        with open(self.settings + ".new", "w") as out:
            out.write("\n".join(lines) + "\n")
        os.rename(self.settings + ".new", self.settings)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            os.kill(self.child.pid, number)

    def kill(self):
        if self.is_running():
            os.kill(self.child.pid, signal.SIGKILL)
        if self.child is not None:
            self.child.wait(10)


def machine_has_disk(machine, role):
    return machine.has_disk and role == "control"


class Machine:
    def __init__(self, name, kind, ip, zone, has_disk):
        self.name, self.kind, self.ip = name, kind, ip
        self.zone, self.has_disk = zone, has_disk


class Deployment:
    """`disks` edge machines with entry and control, `others` with an entry
    only, and `workers` side machines with an agent."""

    def __init__(self, record, disks=3, others=0, workers=2):
        self.record = record
        self.contracts = ["base", "drain", "config", "cost", "recover",
                          "sched", "advice", "upkeep", "sharing"]
        self.folder = tempfile.mkdtemp(prefix="hickorylatch-review-")
        record.hidden = self.folder
        group, self.lock = reserve_group()
        self.processes = {}
        self.machines = []
        number = 0
        for kind, has_disk, count, roles in (
                ("edge", True, disks, ("entry", "control")),
                ("edge", False, others, ("entry",)),
                ("side", False, workers, ("agent",))):
            for _ in range(count):
                number += 1
                machine = Machine(f"{kind}-{number}", kind,
                                  f"127.{group}.1.{number}",
                                  ZONES[number % len(ZONES)], has_disk)
                self.machines.append(machine)
                for role in roles:
                    process = Process(self, machine, role)
                    self.processes[process.name] = process

    def with_role(self, role):
        return [each for each in self.processes.values() if each.role == role]

    def seeds(self):
        return [f"{each.machine.ip}:{CONTROL_PORT}"
                for each in self.with_role("control")][:3]

    def start(self):
        for process in self.processes.values():
            process.start(bootstrap=True)

    def close(self):
        for process in self.processes.values():
            process.kill()
        self.lock.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def http(address, port, method, path, body=None, headers=None,
               timeout=1.0, source=None):
    """One call on a connection of its own: status and body, or None and the
    cause."""
    writer = None
    try:
        async def call():
            nonlocal writer
            reader, writer = await asyncio.open_connection(
                address, port,
                local_addr=(source, 0) if source else None)
            data = b"" if body is None else (
                body if isinstance(body, bytes) else json.dumps(body).encode())
            lines = [f"{method} {path} HTTP/1.1",
                     f"Content-Length: {len(data)}",
                     "Content-Type: application/json"]
            fields = {"Host": f"{address}:{port}", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            return await read_response(reader)
        return await asyncio.wait_for(call(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer"
    except (OSError, EOFError, ValueError) as error:
        return None, f"broken: {error}"
    finally:
        if writer is not None:
            writer.close()


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    status = int(lines[0].split(" ")[1])
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return status, await reader.readexactly(length)


def configuration(version, routes=None, service="svc"):
    return {"version": version,
            "routes": routes if routes is not None else [route("r-1")],
            "services": [{"name": service, "healthPath": "/health",
                          "maxConnections": 64, "protocol": "h1", "tls": False,
                          "enforcesCapacity": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def route(name, prefix="/jobs/", host="desk.example", service="svc"):
    return {"name": name, "host": host, "pathPrefix": prefix,
            "type": "non_idempotent", "timeoutMs": 1500,
            "targetLatencyMs": 60, "priority": 0, "service": service,
            "retries": 3, "slackFactor": 1.6}


async def put_configuration(deployment, content, limit_s=10.0, controls=None):
    """Sends a configuration until it is acknowledged, like the operator. True
    if it was acknowledged in time."""
    record = deployment.record
    controls = controls or deployment.with_role("control")
    until = time.monotonic() + limit_s
    data = json.dumps(content).encode()
    turn = 0
    while time.monotonic() < until:
        target = controls[turn % len(controls)]
        turn += 1
        status, answer = await http(target.machine.ip, CONTROL_PORT, "PUT",
                                    "/api/config", data)
        if status is not None or turn % 20 == 1:
            record.write(f"operator PUT version {content['version']} at "
                         f"{target.name}: {status or answer}")
        if status is not None and 200 <= status < 300:
            return True
        await asyncio.sleep(0.05 if turn < 10 else 0.2)
    return False


class Run:
    def __init__(self, number, needs, work_ms):
        self.number, self.needs, self.work_ms = number, needs, work_ms
        self.started = time.monotonic()
        self.stopping = False


class Worker:
    """One lifetime of a worker, as the pages describe it."""

    def __init__(self, deployment, process, name, cpu=16000, mem=65536,
                 service="svc"):
        self.deployment, self.record = deployment, deployment.record
        self.process, self.name = process, name
        self.ip = process.machine.ip
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.service = service
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic() - random.uniform(10, 500)
        self.token = 0
        self.rate = 1.0
        self.lease_until = 0
        self.runs = {}
        self.ended = []
        self.last_end = 0
        self.highest = {}
        self.changed = asyncio.Event()
        self.state = "ready"
        self.sequence = 0
        self.server = None
        self.connections = set()
        self.tasks = []
        self.starts = []
        self.work_ms = lambda task: 200
        self.drain_acked_at = None
        self.kind = "a"

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000 * self.rate)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 WORKER_PORT)
        self.tasks = [asyncio.create_task(self.beat_forever()),
                      asyncio.create_task(self.expire_forever())]

    async def close(self):
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()

    def report(self, **changes):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{WORKER_PORT}",
                "zone": self.process.machine.zone, "version": "v1", "slots": 8,
                "state": self.state, "coldRemainingMs": 0,
                "capacity": self.capacity, "labels": [self.kind, "r1-1"],
                "clockMs": self.clock(), "sequence": self.sequence,
                "born": self.born, **changes}

    async def restart(self, kind):
        """Crashes and starts again at once at the same address, as a lifetime
        of this kind that knows nothing of before."""
        for writer in list(self.connections):
            writer.transport.abort()
        self.runs.clear()
        self.ended.clear()
        self.highest.clear()
        self.last_end = self.token = self.sequence = self.lease_until = 0
        self.kind = kind
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.clock_start = time.monotonic() - random.uniform(1, 5)
        await self.beat()

    async def beat(self):
        body = self.report()
        status, _ = await http(self.ip, CONTROL_PORT, "PUT",
                               f"/api/instances/{self.name}", body)
        if body["state"] == "draining" and status == 200 and \
                self.drain_acked_at is None:
            self.drain_acked_at = time.monotonic()
            self.record.write(f"{self.name} draining acknowledged")
        return status

    async def beat_forever(self):
        while True:
            status = await self.beat()
            await asyncio.sleep(1.5 if status == 200 else 0.1)

    async def expire_forever(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if self.runs and self.clock() >= self.lease_until:
                for task in list(self.runs):
                    self.end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if run.stopping:
                    self.end(task, "stopped")
                elif now - run.started >= run.work_ms / 1000:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        self.ended.append([self.last_end, task, run.number, how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.record.write(f"{self.name} end {task} run {run.number} {how}")
        self.changed.set()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {name.lower(): value.strip() for name, _, value in
                          (line.partition(":") for line in lines[1:])}
                data = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                body = json.loads(data) if data else {}
                expected = fields.get("x-hickorylatch-expected-instance")
                if expected and expected != self.name:
                    status, answer = 421, {}
                else:
                    status, answer = await self.handle(
                        lines[0].split(" ")[1], body)
                answer = {"clockMs": self.clock(), "born": self.born, **answer}
                out = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             f"application/json\r\nContent-Length: {len(out)}"
                             "\r\n\r\n".encode() + out)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def grant(self, body):
        until = body.get("deadlineMs")
        if until is not None:
            self.lease_until = max(self.lease_until, min(
                until, self.clock() + LEASE_LIMIT_MS))

    async def handle(self, path, body):
        token = body.get("fencingToken", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        if path == "/api/run-start":
            return self.handle_start(body)
        if path == "/api/run-stop":
            run = self.runs.get(body["task"])
            if run is not None and run.number == body["run"]:
                run.stopping = True
            else:
                self.highest[body["task"]] = max(
                    self.highest.get(body["task"], 0), body["run"])
            return 200, {}
        if path == "/api/hold":
            return await self.handle_hold(body)
        return 404, {}

    def handle_start(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {}
        if run is not None or number <= self.highest.get(task, 0):
            self.grant(body)
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.grant(body)
        self.runs[task] = Run(number, None, self.work_ms(task))
        self.starts.append((time.monotonic(), task, number))
        self.record.write(f"{self.name} start {task} run {number}")
        return 200, {}

    async def handle_hold(self, body):
        self.grant(body)
        cursor = body.get("ackCursor", 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        wait = min(body.get("waitMs", 0), 2000) / 1000
        if not self.ended and wait:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[task, run.number, "", 100]
                   for task, run in self.runs.items()]
        return 200, {"running": running, "ended": self.ended[:500]}


def job(count=1, cpu=1600, estimated_ms=200, spec="work"):
    return {"spec": spec, "bestEffort": True,
            "phases": [{"count": count, "cpu": cpu, "memMb": 64,
                        "estimatedMs": estimated_ms}]}


def new_id():
    return f"{random.getrandbits(64):016x}"


async def submit(deployment, entry, job_id, body, prefix="/jobs/",
                 host="desk.example", limit_ms=1500):
    """One attempt of a client. Returns the status, or None and the cause."""
    record = deployment.record
    record.write(f"client POST {job_id} at {entry.name}")
    status, answer = await http(
        entry.machine.ip, CLIENTS_PORT, "POST", prefix + job_id, body,
        {"Host": host, "X-Hickorylatch-Deadline-Ms": str(limit_ms)},
        timeout=limit_ms / 1000)
    record.write(f"client POST {job_id} at {entry.name}: {status} {answer}")
    return status, answer


# Not 1, with which Python ends after an error of the script itself.
BROKEN = 10


class CannotRun(Exception):
    """The case could not be carried out."""


async def start_workers(deployment, work_ms, **options):
    workers = [Worker(deployment, agent, f"i-{number}", **options)
               for number, agent in enumerate(deployment.with_role("agent"))]
    for worker in workers:
        worker.work_ms = work_ms
        await worker.start()
    return workers


async def wait_until_served(deployment, limit_s=20.0):
    """Waits until every entry has run a small job."""
    until = time.monotonic() + limit_s
    for entry in deployment.with_role("entry"):
        while True:
            status, _ = await submit(deployment, entry, new_id(),
                                     job(1, cpu=100, estimated_ms=50))
            if status == 200:
                break
            if time.monotonic() > until:
                raise CannotRun(f"{entry.name} serves nothing")
            await asyncio.sleep(0.2)


def run_case(main):
    """Runs `main(record, trouble)`, which returns True if the rule held, and
    exits with the status that the issue asks for."""
    record = Record(os.path.dirname(os.path.abspath(
        __import__("sys").argv[0])))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble {'yes' if trouble else 'no'}")
    if not os.access(PROGRAM, os.X_OK):
        record.write("the program is not built")
        raise SystemExit(2)
    try:
        held = asyncio.run(main(record, trouble))
    except BaseException as error:  # An error of the case is no finding.
        record.write(f"could not run: {error!r}")
        raise SystemExit(2)
    record.write("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    raise SystemExit(0 if held else BROKEN)
