"""Starts the programs of `deploy/system.toml` on loopback addresses, with
settings like those of a small deployment."""

import asyncio
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from . import minion, wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONTEND, CONTROL, READINESS = 8161, 8166, 8167
FIRST_PORT = 7720
GRACE_S = 6.0
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "order-desk"
BOUNDS = """contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
spreadFactor = 1.5
leaseMs = 3000
retransmitMs = 1300"""


class Record:
    """Lines of `record.txt`, with seconds since its creation."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def reserve_network():
    """A free group of loopback addresses, kept by a bound socket."""
    for group in range(20, 250):
        lock = socket.socket()
        try:
            lock.bind((f"127.{group}.9.1", FIRST_PORT))
            return group, lock
        except OSError:
            lock.close()
    raise OSError("no group of loopback addresses is free")


class Process:
    """One process of one role on one machine."""

    def __init__(self, system, machine, role):
        self.system, self.machine, self.role = system, machine, role
        self.base = system.folder / f"{machine.name}-{role}"
        self.child = None

    def start(self):
        settings = self.system.settings(self)
        self.base.with_suffix(".toml").write_text(settings, encoding="utf-8")
        run = self.system.roles[self.role]["run"].split()
        with open(self.base.with_suffix(".log"), "ab") as log:
            self.child = subprocess.Popen(
                run, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": str(self.system.folder),
                     "LANG": "C.UTF-8",
                     "HICKORYLATCH_BOOT": str(self.base.with_suffix(".toml"))})

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            os.kill(self.child.pid, number)

    def end(self):
        if self.is_running():
            os.kill(self.child.pid, signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait(10)


class Machine:
    def __init__(self, name, ip, zone, roles):
        self.name, self.ip, self.zone, self.roles = name, ip, zone, roles

    @property
    def frontend(self):
        return self.ip, FRONTEND

    @property
    def control(self):
        return self.ip, CONTROL

    @property
    def readiness(self):
        return self.ip, READINESS


class System:
    """`edges` machines with a disk, entry and control, in zones of their own
    or in the zones given, and one agent for each minion."""

    def __init__(self, zones, minions, record):
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        group, self.lock = reserve_network()
        self.edges = [Machine(f"edge-{zone}-{number}", f"127.{group}.1.{number}",
                              zone, ["control", "entry"])
                      for number, zone in enumerate(zones, 1)]
        self.sides = [Machine(f"side-{zone}-{number}", f"127.{group}.2.{number}",
                              zone, ["agent"])
                      for number, (zone, _) in enumerate(minions, 1)]
        self.processes = [Process(self, machine, role)
                          for machine in self.edges + self.sides
                          for role in machine.roles]
        self.minions = [
            minion.Minion(f"i-{number:08x}", side.ip, side.control, SERVICE,
                          labels, record)
            for number, (side, (_, labels)) in
            enumerate(zip(self.sides, minions), 1)]
        self.version = 0
        self.is_first_start = True

    def settings(self, process):
        machine = process.machine
        seeds = ",".join(f'"{each.ip}:{CONTROL}"' for each in self.edges[:3])
        lines = [
            f'nodeName = "{machine.name}"', f'role = "{process.role}"',
            f'machineClass = "{"side" if process.role == "agent" else "edge"}"',
            f'ip = "{machine.ip}"', f'zone = "{machine.zone}"',
            'region = "semenanjung"',
            f"portRange = [{FIRST_PORT},{FIRST_PORT + 15}]",
            f"seeds = [{seeds}]",
            f"bootstrap = {str(self.is_first_start).lower()}",
            "heartbeatMs = 1500",
            'commands = "invocation"']
        if process.role == "control":
            data = self.folder / f"{machine.name}-data"
            data.mkdir(exist_ok=True)
            lines.append(f'dataDir = "{data}"')
        if process.role == "agent":
            lines.append(f'app = "{machine.ip}:{minion.APP_PORT}"')
        lines += ["[listenAddrs]", f'frontend = "{machine.ip}:{FRONTEND}"',
                  f'readiness = "{machine.ip}:{READINESS}"',
                  f'controlPlane = "{machine.ip}:{CONTROL}"',
                  "[limits]", "cpuShare = 0.5", "cores = 1", "memoryMb = 260",
                  "[faultTolerance]", "machines = 1", "zones = 0",
                  "regions = 0", "[bounds]", BOUNDS]
        return "\n".join(lines) + "\n"

    def process(self, machine, role):
        return next(each for each in self.processes
                    if each.machine is machine and each.role == role)

    async def start(self):
        for each in self.processes:
            each.start()
        for each in self.minions:
            await each.start()

    async def install(self, routes, services=(SERVICE,), limit_s=15.0):
        """Sends a configuration until it is acknowledged."""
        self.version += 1
        body = {"version": self.version, "routes": routes,
                "services": [{"name": name, "healthPath": "/health",
                              "maxConnections": 64, "protocol": "h1",
                              "tls": False, "enforcesCapacity": False,
                              "standby": False} for name in services],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                           "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for edge in self.edges:
                status, _ = await wire.call(edge.control, "PUT", "/api/config",
                                            body)
                if status == 200:
                    self.record(f"configuration {self.version} acknowledged "
                                f"by {edge.name}")
                    return
            await asyncio.sleep(0.2)
        raise RuntimeError("the configuration was not acknowledged")

    async def wait_ready(self, limit_s=20.0):
        """Waits until every entry is ready on three probes in a row."""
        end = time.monotonic() + limit_s
        good = 0
        while time.monotonic() < end:
            answers = await asyncio.gather(*(
                wire.call(edge.readiness, "GET", "/api/readiness")
                for edge in self.edges))
            good = good + 1 if all(status == 200 for status, _ in answers) \
                else 0
            if good == 3:
                self.record("all entries are ready")
                return
            await asyncio.sleep(0.5)
        raise RuntimeError("the entries were not ready")

    def stop(self):
        for each in self.minions:
            each.crash()
        for each in self.processes:
            each.end()
        self.lock.close()
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name="r-1", prefix=PREFIX, service=SERVICE, timeout_ms=1500,
          priority=0):
    return {"name": name, "host": HOST, "pathPrefix": prefix,
            "type": "non_idempotent", "timeoutMs": timeout_ms,
            "targetLatencyMs": 60, "priority": priority, "service": service,
            "retries": 3, "slackFactor": 1.6}


def main(folder, scenario):
    """Runs `scenario(record, with_trouble)`, which returns True if the rule
    held. Exits with 0 if it held, 1 if not, 2 if the case could not run."""
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if with_trouble else 'no'}")
    try:
        held = asyncio.run(asyncio.wait_for(scenario(record, with_trouble),
                                            110))
    except Exception as error:  # pylint: disable=broad-except
        record(f"could not run: {type(error).__name__} {error}")
        return 2
    record("the rule held" if held else "the rule was broken")
    return 0 if held else 1
