"""Runs the program's processes on loopback, one to two per simulated
machine."""

import os
import shutil
import signal
import socket
import subprocess

LINK_PORT = 7720
CLIENTS_PORT = 8161
WORKER_PORT = 8165
CONTROL_PORT = 8166
READINESS_PORT = 8167
STOP_GRACE_S = 6.0
FAILURE_DOMAINS = ("za", "zb", "zc")


def reserve_address_group():
    """Returns a group of loopback addresses that no other run uses, and the
    bound socket that reserves it."""
    for address_group in range(10, 250):
        lock = socket.socket()
        try:
            lock.bind((f"127.{address_group}.3.1", LINK_PORT))
            return address_group, lock
        except OSError:
            lock.close()
    raise OSError("no group of loopback addresses is free")


class Machine:
    """A machine of the platform. Other machines connect to its links at `ip`,
    the address of a proxy; its processes listen at `listen_ip`."""

    def __init__(self, name, number, address_group, has_disk, is_worker):
        self.name = name
        self.failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        self.ip = f"127.{address_group}.1.{number}"
        self.listen_ip = f"127.{address_group}.2.{number}"
        self.has_disk = has_disk
        self.is_worker = is_worker
        self.duties = (["agent"] if is_worker else
                       ["entry", "control"] if has_disk else ["entry"])


class Process:
    def __init__(self, deployment, machine, duty):
        self.deployment = deployment
        self.machine = machine
        self.duty = duty
        self.name = f"{machine.name}/{duty}"
        base_path = os.path.join(deployment.folder, f"{machine.name}-{duty}")
        self.settings = base_path + ".toml"
        self.log = base_path + ".log"
        self.data = base_path + "-data"
        self.child = None
        self.is_paused = False

    def start(self):
        self.deployment.write_settings(self)
        if self.duty == "control":
            os.makedirs(self.data, exist_ok=True)
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(
                [self.deployment.program, "host", self.duty, "--listen-ip",
                 self.machine.listen_ip, "--durable-jobs"], stdout=out,
                stderr=out,
                env={"HICKORYLATCH_BOOT": self.settings})
        self.is_paused = False

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def send_signal(self, signal_number):
        if self.is_running():
            os.kill(self.child.pid, signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait(10)

    def pause(self):
        self.send_signal(signal.SIGSTOP)
        self.is_paused = True

    def resume(self):
        self.send_signal(signal.SIGCONT)
        self.is_paused = False

    def delete_data(self):
        shutil.rmtree(self.data, ignore_errors=True)


class Deployment:
    def __init__(self, program, folder, address_group, disks, others, workers):
        self.program = os.path.abspath(program)
        self.folder = folder
        self.is_first_start = True
        # More lines of the settings' table `limits`.
        self.limits = []
        self.seed_rotation = 0
        machine_types = ([("disk", True, False)] * disks +
                         [("edge", False, False)] * others +
                         [("side", False, True)] * workers)
        self.machines = [
            Machine(f"{prefix}-{number}", number, address_group, *features)
            for number, (prefix, *features) in enumerate(machine_types, 1)]
        self.processes = {}
        for machine in self.machines:
            for duty in machine.duties:
                process = Process(self, machine, duty)
                self.processes[process.name] = process

    def with_duty(self, duty):
        return [each for each in self.processes.values() if each.duty == duty]

    def seeds(self):
        controls = [f"{each.machine.ip}:{CONTROL_PORT}"
                    for each in self.with_duty("control")]
        offset = self.seed_rotation % len(controls)
        return (controls[offset:] + controls[:offset])[:3]

    def write_settings(self, process):
        machine = process.machine
        listen_address = lambda port: f"{machine.listen_ip}:{port}"
        lines = [f'nodeName = "{machine.name}"', f'ip = "{machine.ip}"',
                 f'zone = "{machine.failure_domain}"',
                 f"portRange = [{LINK_PORT},{LINK_PORT + 15}]",
                 f"seeds = {self.seeds()}".replace("'", '"'),
                 f"bootstrap = {str(self.is_first_start).lower()}"]
        if process.duty == "control":
            lines.append(f'dataDir = "{process.data}"')
        if machine.is_worker:
            lines.append(f'app = "{listen_address(WORKER_PORT)}"')
        lines += ["[listenAddrs]",
                  f'frontend = "{listen_address(CLIENTS_PORT)}"',
                  f'readiness = "{listen_address(READINESS_PORT)}"',
                  f'controlPlane = "{listen_address(CONTROL_PORT)}"',
                  "[limits]", "cpuShare = 0.5", "cores = 1", *self.limits,
                  "[faultTolerance]", "machines = 1",
                  "[bounds]", "maxHoldMs = 1000", "spreadFactor = 1.5",
                  *(f"[zones.{each}]" for each in FAILURE_DOMAINS)]
        with open(process.settings + ".new", "w") as out:
            out.write("\n".join(lines) + "\n")
        os.rename(process.settings + ".new", process.settings)

    def start(self):
        for process in self.processes.values():
            process.start()
        self.is_first_start = False

    def stop(self):
        for process in self.processes.values():
            process.kill()
