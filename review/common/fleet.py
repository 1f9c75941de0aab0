"""A small deployment on loopback: the program's processes, started with the
commands of the deploy file, and stand-ins for minions, clients and operator."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/hickorylatch"

LINK_PORT = 7720
CLIENTS_PORT = 8161
APP_PORT = 8165
CONTROL_PORT = 8166
READINESS_PORT = 8167

MAX_HOLD_MS = 1000
STOP_S = 0.03
HEARTBEAT_S = 1.5
HOST = "desk.example"
PREFIX = "/work/"
SERVICE = "shedbase-desk"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in order, with times in seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns first line, headers and body, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("closed within a message") from error
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def exchange(ip, port, method, path, body=None, headers=None,
                   timeout_s=2.0):
    """One request on a connection of its own. Returns status and parsed body;
    status 0 if there was no complete answer."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            content = b"" if body is None else (
                body if isinstance(body, bytes) else json.dumps(body).encode())
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                     "Content-Type: application/json",
                     f"Content-Length: {len(content)}"]
            lines += [f"{name}: {value}"
                      for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            answer = await read_message(reader)
            if answer is None:
                return 0, None
            first, _, text = answer
            try:
                parsed = json.loads(text)
            except ValueError:
                parsed = text.decode("latin-1")
            return int(first.split(" ")[1]), parsed
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ConnectionError):
        return 0, None


class Minion:
    """One life of a minion, as PROTOCOL.md describes it. Tasks last as long as
    the spec says for their step, in milliseconds."""

    def __init__(self, record, name, ip, millicores):
        self.record = record
        self.name = name
        self.ip = ip
        self.millicores = millicores
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.last_end = 0
        self.end_added = asyncio.Event()
        self.state = "ready"
        self.server = None
        self.writers = set()
        # Rows of task, run, begin, end (None while it runs) and how it ended.
        self.runs = []
        self.tasks = []

    async def start(self, first_beat_s=0.0):
        self.server = await asyncio.start_server(self.serve, self.ip, APP_PORT,
                                                 backlog=256)
        self.tasks = [asyncio.create_task(self.beat(first_beat_s)),
                      asyncio.create_task(self.expire())]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()

    async def crash(self):
        """Ends this life: nothing runs and all connections are reset."""
        await self.stop()
        self.record.write(f"{self.name} crashes")
        for writer in list(self.writers):
            writer.transport.abort()
        for run in self.running.values():
            run["timer"].cancel()
            run["row"].update(end=self.record.now(), how="crashed")
        self.running.clear()

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    def heartbeat(self):
        self.sequence += 1
        return {"service": SERVICE, "address": f"{self.ip}:{APP_PORT}",
                "zone": "z", "version": "v1", "slots": 8, "state": self.state,
                "coldRemainingMs": 0, "clockMs": self.clock_ms(),
                "capacity": {"cpu": self.millicores, "memMb": 65536, "gpu": 0},
                "labels": ["a", "r1-1"], "sequence": self.sequence,
                "born": self.born}

    async def beat(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            status, _ = await exchange(self.ip, CONTROL_PORT, "PUT",
                                       f"/api/instances/{self.name}",
                                       self.heartbeat(), timeout_s=1.0)
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def expire(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock_ms() >= self.lease_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def extend_lease(self, deadline_ms):
        if deadline_ms:
            self.lease_ms = max(self.lease_ms, min(
                deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                status, content = await self.answer(
                    first.split(" ")[1], headers, json.loads(body or b"{}"))
                text = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: "
                             f"application/json\r\nContent-Length: {len(text)}"
                             "\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, path, headers, request):
        expected = headers.get("x-hickorylatch-expected-instance", self.name)
        if expected != self.name:
            return 421, {"clockMs": self.clock_ms()}
        token = request.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = token
        if path == "/api/hold":
            return await self.hold(request)
        if path == "/api/run-start":
            return self.run_start(request)
        if path == "/api/run-stop":
            return self.run_stop(request)
        return 404, {"clockMs": self.clock_ms()}

    def run_start(self, request):
        task, run, deadline = (request[each] for each in
                               ("task", "run", "deadlineMs"))
        def rejected(reason):
            return 409, {"clockMs": self.clock_ms(), "reason": reason}
        if deadline <= self.clock_ms():
            return rejected("late")
        self.extend_lease(deadline)
        present = self.running.get(task)
        if present is not None and present["run"] == run:
            return 200, {"clockMs": self.clock_ms()}
        if present is not None or run <= self.highest.get(task, 0):
            return rejected("old")
        step = int(task.split(".")[2])
        duration_s = json.loads(request["spec"])["ms"][step] / 1000
        row = {"task": task, "run": run, "begin": self.record.now(),
               "end": None, "how": None, "minion": self.name}
        self.runs.append(row)
        self.record.write(f"start {task} run {run} at {self.name}")
        self.running[task] = {
            "run": run, "row": row,
            "timer": asyncio.get_running_loop().call_later(
                duration_s, self.end, task, "done")}
        return 200, {"clockMs": self.clock_ms()}

    def run_stop(self, request):
        task, run = request["task"], request["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        present = self.running.get(task)
        if present is not None and present["run"] <= run:
            present["timer"].cancel()
            present["timer"] = asyncio.get_running_loop().call_later(
                STOP_S, self.end, task, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        run["row"].update(end=self.record.now(), how=how)
        self.highest[task] = max(run["run"], self.highest.get(task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.record.write(f"end {task} run {run['run']} at {self.name}: {how}")
        self.end_added.set()

    async def hold(self, request):
        cursor = request.get("ackCursor", 0)
        self.ended = [each for each in self.ended if each[0] > cursor]
        self.extend_lease(request.get("deadlineMs", 0))
        if not self.ended and request.get("waitMs"):
            self.end_added.clear()
            try:
                await asyncio.wait_for(self.end_added.wait(),
                                       min(request["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clockMs": self.clock_ms(), "born": self.born,
                     "running": [[task, run["run"], "", 100, 0]
                                 for task, run in self.running.items()],
                     "ended": self.ended[:500]}


class Process:
    """One role on one machine."""

    def __init__(self, fleet, role, name, ip, zone):
        self.fleet = fleet
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        base = os.path.join(fleet.folder, f"{name}-{role}")
        self.settings = base + ".toml"
        self.log = base + ".log"
        self.data = base + "-data"
        self.child = None

    def start(self, first=False):
        self.fleet.write_settings(self, first)
        if self.role == "control":
            os.makedirs(self.data, exist_ok=True)
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(
                [PROGRAM, "host", self.role], cwd=REPOSITORY, stdout=out,
                stderr=out, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                     "HICKORYLATCH_BOOT": self.settings})

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait(10)


class Fleet:
    """Edge machines with an entry and a control process each, and side machines
    with an agent and a minion each."""

    def __init__(self, record, edges=3, sides=4, millicores=16000):
        self.record = record
        self.group, self.reservation = self.reserve_group(edges, sides)
        self.folder = tempfile.mkdtemp(prefix="review-")
        # Of the only route.
        self.timeout_ms = 20000
        self.slack_factor = 1.6
        zones = ["muscat-a", "sohar-b", "nizwa-c"]
        self.zones = zones
        self.entries, self.controls, self.agents, self.minions = [], [], [], []
        for number in range(1, edges + 1):
            ip = f"127.{self.group}.1.{number}"
            zone = zones[(number - 1) % len(zones)]
            self.controls.append(Process(self, "control", f"edge-{number}", ip,
                                         zone))
            self.entries.append(Process(self, "entry", f"edge-{number}", ip,
                                        zone))
        for number in range(1, sides + 1):
            ip = f"127.{self.group}.2.{number}"
            zone = zones[(number - 1) % len(zones)]
            self.agents.append(Process(self, "agent", f"side-{number}", ip,
                                       zone))
            self.minions.append(Minion(record, f"i-{number:08x}", ip,
                                       millicores))

    @staticmethod
    def reserve_group(edges, sides):
        """A group of loopback addresses that nobody uses, and the socket that
        reserves it."""
        for group in range(20, 250):
            reservation = socket.socket()
            try:
                reservation.bind((f"127.{group}.3.1", LINK_PORT))
                used = [(f"127.{group}.1.{number}", port)
                        for number in range(1, max(edges, 9) + 1)
                        for port in (LINK_PORT, LINK_PORT + 1, CLIENTS_PORT,
                                     CONTROL_PORT)]
                used += [(f"127.{group}.2.{number}", port)
                         for number in range(1, max(sides, 9) + 1)
                         for port in (APP_PORT, CONTROL_PORT)]
                for address in used:
                    with socket.socket() as probe:
                        probe.bind(address)
                return group, reservation
            except OSError:
                reservation.close()
        raise CannotRun("no group of loopback addresses is free")

    def seeds(self):
        return [f"{each.ip}:{CONTROL_PORT}" for each in self.controls[:3]]

    def write_settings(self, process, first):
        serves = {"entry": ["edge"], "control": ["control"],
                  "agent": ["side"]}[process.role]
        lines = [f'nodeName = "{process.name}"', f'role = "{process.role}"',
                 f'machineClass = "{process.name.split("-")[0]}"',
                 f"serves = {json.dumps(serves)}", f'ip = "{process.ip}"',
                 f'zone = "{process.zone}"', 'region = "oman-north"',
                 f"portRange = [{LINK_PORT},{LINK_PORT + 15}]",
                 f"seeds = {json.dumps(self.seeds())}",
                 f"bootstrap = {json.dumps(first)}", 'discovery = "local"',
                 'entry = "vip"', "heartbeatMs = 1500",
                 'config_mode = "highest"', 'commands = "invocation"',
                 "lossCounts = " + json.dumps(process.role == "control")]
        if process.role == "control":
            lines.append(f'dataDir = "{process.data}"')
        if process.role == "agent":
            lines.append(f'app = "{process.ip}:{APP_PORT}"')
        lines += ["[zones]"] + [f'{each} = "oman-north"'
                                for each in self.zones]
        lines += ["[listenAddrs]"]
        if process.role == "entry":
            lines += [f'frontend = "{process.ip}:{CLIENTS_PORT}"',
                      f'readiness = "{process.ip}:{READINESS_PORT}"']
        else:
            lines += [f'controlPlane = "{process.ip}:{CONTROL_PORT}"']
        lines += ["[limits]", "cpuShare = 0.5", "cores = 1", "memoryMb = 260",
                  "maxFds = 4100", "linkMbps = 1000.0", "diskMb = 128",
                  "[faultTolerance]", "machines = 1", "zones = 0",
                  "regions = 0", "[bounds]", "contactMs = 3000",
                  "ackTimeoutMs = 4000", "catchUpS = 4", "drainMs = 2000",
                  "graceS = 6", "configApplyMs = 2000", "recoveryS = 12",
                  f"maxHoldMs = {MAX_HOLD_MS}", "stopTimeoutMs = 50",
                  "cancel_ms = 3000", "visible_ms = 3000", "status_s = 120",
                  "spreadFactor = 1.5", "fencingEnforced = true",
                  "leaseMs = 3000"]
        with open(process.settings + ".new", "w") as out:
            out.write("\n".join(lines) + "\n")
        os.rename(process.settings + ".new", process.settings)

    def processes(self):
        return self.controls + self.entries + self.agents

    async def start(self, settle_s=3.0):
        """Starts all processes, installs the first configuration and waits until
        all entries are ready. `settle_s` covers the links between all entries
        and agents."""
        if not os.path.exists(os.path.join(REPOSITORY, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        for minion in self.minions:
            await minion.start()
        for process in self.processes():
            process.start(first=True)
        self.first_control = await self.put_config(1, wait_s=20)
        deadline = time.monotonic() + 20
        for entry in self.entries:
            while (await exchange(entry.ip, READINESS_PORT, "GET",
                                  "/api/readiness"))[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRun(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(settle_s)
        self.record.write("the deployment is ready")

    def config(self, version, timeout_ms=None):
        return {"version": version,
                "routes": [{"name": "r-work", "host": HOST,
                            "pathPrefix": PREFIX, "type": "non_idempotent",
                            "timeoutMs": timeout_ms or self.timeout_ms,
                            "targetLatencyMs": 60,
                            "priority": 0, "service": SERVICE, "retries": 3,
                            "slackFactor": self.slack_factor}],
                "services": [{"name": SERVICE, "healthPath": "/health",
                              "maxConnections": 64, "protocol": "h1",
                              "tls": False, "enforcesCapacity": False,
                              "standby": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}

    async def put_config(self, version, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            for control in self.controls:
                status, _ = await exchange(control.ip, CONTROL_PORT, "PUT",
                                           "/api/config", self.config(version),
                                           timeout_s=1.0)
                if status == 200:
                    self.record.write(f"configuration {version} acknowledged "
                                      f"by {control.name}")
                    return control
            if time.monotonic() > deadline:
                raise CannotRun("the configuration is not acknowledged")
            await asyncio.sleep(0.2)

    async def stop(self):
        for process in self.processes():
            process.kill()
        for minion in self.minions:
            await minion.stop()
        self.reservation.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def runs(self):
        return [row for minion in self.minions for row in minion.runs]


def overlapping_runs(runs, now):
    """Pairs of runs of one task that ran at the same time, with the length of
    the overlap in seconds."""
    pairs = []
    earlier = {}
    for second in sorted(runs, key=lambda run: run["begin"]):
        for first in earlier.setdefault(second["task"], []):
            begin = max(first["begin"], second["begin"])
            end = min(first["end"] or now, second["end"] or now)
            if end > begin:
                pairs.append((first, second, end - begin))
        earlier[second["task"]].append(second)
    return pairs


async def run_case(case, record, has_trouble):
    task = asyncio.current_task()
    # Also ends the processes if the script is told to stop.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(case(record, has_trouble), 110)


def main(case, folder):
    """Runs `case(record, has_trouble)`, which returns True if the rule was
    broken. Exits with 1 if it was, 0 if it held and 2 if it couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if has_trouble else 'no'}")
    try:
        is_broken = asyncio.run(run_case(case, record, has_trouble))
    except (CannotRun, OSError, asyncio.TimeoutError,
            asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        sys.exit(2)
    record.write("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
