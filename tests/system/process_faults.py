#!/usr/bin/env python3
"""Faults of real processes on loopback.

Usage: process_faults.py PROGRAM [CHECK...]

Starts a deployment with stand-ins for endpoints and workers, ends, stops and
disturbs its processes, and checks what callers and operators see. Prints
"ok NAME" for each check and the measured times; exits with 1 on a failure.
After a failed check the others run in a new deployment.
"""

import concurrent.futures
import contextlib
import hashlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

SERVICE = "order-desk"
CUSTOMER = "sepatu-melaka"
IDEMPOTENT_PATH = "stock"
OTHER_PATH = "reserve"
ENDPOINT_SLOTS = 8
ENDPOINT_AGENTS = 3
# Longer than the service's deadline, so that the entry answers first.
CALL_TIMEOUT_S = 20
WAIT_S = 15
SHOWN_LOG_LINES = 15


class CheckFailed(Exception):
    pass


def require(condition, text):
    if not condition:
        raise CheckFailed(text)


def wait_until(condition, text, limit_s=WAIT_S):
    """Polls until the condition gives a true value, which is returned."""
    end = time.monotonic() + limit_s
    while True:
        try:
            value = condition()
        except (OSError, http.client.HTTPException, ValueError):
            value = None
        if value:
            return value
        if time.monotonic() > end:
            raise CheckFailed(f"not within {limit_s} s: {text}")
        time.sleep(0.02)


def free_addresses(number):
    """Loopback addresses with ports that the kernel chose."""
    with contextlib.ExitStack() as stack:
        sockets = []
        for _ in range(number):
            each = stack.enter_context(socket.socket())
            each.bind(("127.0.0.1", 0))
            sockets.append(each)
        return [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]


def exchange(address, method, path, body=None, headers=None):
    """One HTTP exchange; returns status, headers and body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


def get_json(address, path):
    return json.loads(exchange(address, "GET", path)[2])


class Process:
    """A process of the deployment and the file with its output."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.folder = folder
        self.log = os.path.join(folder, name + ".log")
        self.child = None

    def start(self):
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(self.command, cwd=self.folder,
                                          stdout=out, stderr=out)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        os.kill(self.child.pid, number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait(WAIT_S)

    def end(self):
        """Ends the process in any state, a stopped one too."""
        if self.is_running():
            self.kill()

    def last_lines(self):
        if not os.path.exists(self.log):
            return []
        with open(self.log, errors="replace") as lines:
            return lines.read().splitlines()[-SHOWN_LOG_LINES:]


class Request:
    """A caller's request and its answer."""

    counter = 0
    lock = threading.Lock()

    def __init__(self, path, run_ms):
        with Request.lock:
            Request.counter += 1
            number = Request.counter
        self.path = path
        self.key = f"key-{number}"
        self.submitted_at = str(int(time.time() * 1000))
        self.body = json.dumps({"token": number, "emulate_run_ms": run_ms})
        self.sent_at = self.answered_at = None
        self.status = self.verdict = self.reason = self.answer = None
        self.error = None

    def send(self, address):
        """Sends it, or sends it again, through an entry."""
        self.sent_at = time.monotonic()
        self.error = None
        try:
            self.status, headers, self.answer = exchange(
                address, "POST", f"/v1/services/{SERVICE}/{self.path}",
                self.body,
                {"Hickorylatch-Customer": CUSTOMER,
                 "Idempotency-Key": self.key,
                 "Hickorylatch-Submitted-At": self.submitted_at})
            self.verdict = headers["Hickorylatch-Verdict"]
            self.reason = headers["Hickorylatch-Reason"]
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)
        self.answered_at = time.monotonic()
        return self

    def outcome(self):
        return self.status, self.verdict, self.answer

    def started_at(self):
        """Time of the start, from the run time in the stand-in's answer."""
        return self.answered_at - json.loads(self.answer)["run_us"] / 1e6

    def is_whole(self):
        """It ran and the answer is the one to its own content."""
        if self.error or self.status != 200 or self.verdict != "ran":
            return False
        content = f"{self.path}\n{self.body}".encode()
        digest = hashlib.sha256(content).hexdigest()[:24]
        return json.loads(self.answer)["digest"] == digest

    def describe(self):
        return (f"{self.path} {self.key}: status {self.status} verdict "
                f"{self.verdict} reason {self.reason} error {self.error} "
                f"after {self.answered_at - self.sent_at:.3f} s")


class Job:
    """An operator's job and its answer."""

    def __init__(self, tasks, run_ms):
        with Request.lock:
            Request.counter += 1
            number = Request.counter
        self.record = json.dumps({
            "schema_version": 2, "key": f"job-{number}", "customer": CUSTOMER,
            "submitted_at": int(time.time() * 1000), "deadline_ms": 15000,
            "tasks": [{"body": json.dumps({"token": f"{number}-{task}",
                                           "emulate_run_ms": run_ms})}
                      for task in range(tasks)]})
        self.tasks = tasks
        self.answer = self.error = None

    def send(self, address):
        try:
            self.answer = json.loads(
                exchange(address, "POST", "/v1/jobs", self.record)[2])
        except (OSError, ValueError, http.client.HTTPException) as error:
            self.error = repr(error)
        return self

    def outcome(self):
        return self.answer

    def is_whole(self):
        return (self.error is None and self.answer["verdict"] == "ran"
                and len(self.answer["answers"]) == self.tasks
                and all(each["succeeded"] for each in self.answer["answers"]))

    def describe(self):
        return f"job: error {self.error} answer {str(self.answer)[:300]}"


class Load:
    """Requests of both kinds, one every 40 ms, through the entries in turn,
    until the block ends; then every one of them has been answered or failed."""

    def __init__(self, entries, paths=(IDEMPOTENT_PATH, OTHER_PATH),
                 run_ms=300):
        self.entries = entries
        self.paths = paths
        self.run_ms = run_ms
        self.requests = []
        self.is_stopping = threading.Event()
        self.pool = concurrent.futures.ThreadPoolExecutor(300)
        self.sender = threading.Thread(target=self.run)

    def run(self):
        count = 0
        while not self.is_stopping.is_set():
            request = Request(self.paths[count % len(self.paths)], self.run_ms)
            entry = self.entries[count // len(self.paths) % len(self.entries)]
            self.requests.append((request, entry))
            self.pool.submit(request.send, entry)
            count += 1
            self.is_stopping.wait(0.04)

    def answered_after(self, moment):
        """Whole answers to requests that were sent after a moment."""
        return [each for each, _ in list(self.requests)
                if each.answered_at and each.sent_at > moment
                and each.is_whole()]

    def __enter__(self):
        self.sender.start()
        return self

    def __exit__(self, *_):
        self.is_stopping.set()
        self.sender.join()
        self.pool.shutdown()


class Deployment:
    def __init__(self, program, folder):
        self.program = program
        self.folder = folder
        self.processes = {}
        addresses = iter(free_addresses(30))
        self.shared, self.alone, self.workers = (next(addresses)
                                                 for _ in range(3))
        self.add("stand-ins", [program, "emulate", "--slots", "64",
                               self.shared, self.alone, self.workers])
        self.listen = {f"control-{n}": next(addresses) for n in (1, 2, 3)}
        self.operators = {}
        self.callers = {}
        for name, listen in self.listen.items():
            self.operators[name] = next(addresses)
            self.add_role(name, {"control": {
                "listen_address": listen,
                "operators_address": self.operators[name],
                "data_folder": "data-" + name}})
        for name in ("entry-1", "entry-2"):
            self.callers[name] = next(addresses)
            self.operators[name] = next(addresses)
            self.add_role(name, {"entry": {
                "callers_address": self.callers[name],
                "operators_address": self.operators[name]}})
        for number in range(1, ENDPOINT_AGENTS + 1):
            self.operators[f"endpoint-{number}"] = next(addresses)
            self.add_endpoint(f"endpoint-{number}", self.shared)
        for name in ("worker-1", "worker-2"):
            self.operators[name] = next(addresses)
            self.add_role(name, {"agent": {
                "kind": "worker", "target_address": self.workers,
                "operators_address": self.operators[name], "cores": 8,
                "memory_mb": 1024}})

    def add(self, name, command):
        self.processes[name] = Process(name, command, self.folder)

    def add_role(self, name, sections):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as out:
            json.dump({"name": name, "failure_domain": "Klang",
                       "control_addresses": list(self.listen.values())}
                      | sections, out)
        self.add(name, [self.program, "serve", path])

    def add_endpoint(self, name, target):
        self.last_target = target
        self.add_role(name, {"agent": {
            "kind": "endpoint", "service": SERVICE, "target_address": target,
            "operators_address": self.operators[name],
            "slots": ENDPOINT_SLOTS}})

    def __getitem__(self, name):
        return self.processes[name]

    def entries(self):
        return list(self.callers.values())

    def roles(self):
        return [name for name in self.processes if name != "stand-ins"]

    def ctl(self, address, *arguments):
        done = subprocess.run(
            [self.program, "ctl", "--address", address, *arguments],
            capture_output=True, text=True, timeout=60)
        return done.returncode, done.stdout + done.stderr

    def status(self, name):
        return get_json(self.operators[name], "/v1/status")

    def leader(self, among=None):
        """Name of the control process that leads, or None."""
        for name in among or self.listen:
            with contextlib.suppress(OSError, ValueError,
                                     http.client.HTTPException):
                if self[name].is_running() and self.status(name)["leading"]:
                    return name
        return None

    def wait_leader(self, among=None):
        return wait_until(lambda: self.leader(among), "a leader")

    def wait_ready(self):
        """Waits until every role serves and every agent is known."""
        def ready():
            agents = get_json(self.operators["entry-1"], "/v1/agents")
            serving = {each["name"] for each in agents["agents"]
                       if each["state"] == "serving"}
            return (len(serving) == 5
                    and all(exchange(self.operators[name], "GET", "/ready")[0]
                            == 200 for name in self.roles()))
        wait_until(ready, "every process ready and five agents serving", 30)

    def counts(self, address):
        return get_json(address, "/counts")

    def check_single_starts(self):
        for address in (self.shared, self.alone, self.workers):
            counts = self.counts(address)
            require(counts["double_starts"] == 0,
                    f"an attempt was started twice: {counts}")
            repeated = counts["repeated"]
            require(not repeated, f"bodies were started twice: {counts}")

    def start(self):
        for process in self.processes.values():
            process.start()
        control = self.operators["control-1"]
        wait_until(lambda: self.ctl(control, "found", "3")[0] == 0,
                   "the group is founded")
        path = os.path.join(self.folder, "configuration.json")
        with open(path, "w") as out:
            json.dump(configuration("first", 0, 10), out)
        wait_until(lambda: self.ctl(self.operators["entry-1"], "configure",
                                    path)[0] == 0, "the configuration")
        self.wait_ready()

    def end(self):
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.end()


def configuration(request_id, expected_version, quota):
    return {"schema_version": 2, "request_id": request_id,
            "expected_version": expected_version,
            "customers": [{"name": CUSTOMER, "account_manager": "Aina Rahman",
                           "priority": 6, "quota": 100000 + quota}],
            "services": [{"name": SERVICE,
                          "idempotent_paths": ["/" + IDEMPOTENT_PATH],
                          "default_deadline_ms": 12000}],
            "drained": []}


def require_whole(works):
    wrong = [each.describe() for each in works if not each.is_whole()]
    require(not wrong, f"{len(wrong)} of {len(works)} without their answer: "
            + "; ".join(wrong[:8]))


def require_same_answers(system, ended):
    """Sends ended submissions again and compares the answers."""
    for work, before in ended:
        is_job = isinstance(work, Job)
        work.send(system.operators["entry-2"] if is_job
                  else system.callers["entry-2"])
        require(work.outcome() == before,
                f"other answer to a resend: {before} then {work.describe()}")


def lose_leader(system, name, ended, disturb):
    """Disturbs the leader under load and measures the time to a next start."""
    job = Job(40, 400)
    with Load(system.entries()) as load, \
            concurrent.futures.ThreadPoolExecutor(1) as pool:
        wait_until(lambda: len(load.answered_after(0)) > 10, "load runs")
        sent = pool.submit(job.send, system.operators["entry-1"])
        wait_until(lambda: system.counts(system.workers)["running"] > 0,
                   "the job runs")
        leader = system.wait_leader()
        at = time.monotonic()
        disturb(leader)
        wait_until(lambda: len(load.answered_after(at)) > 5,
                   "answers after the loss of the leader")
        sent.result()
    next_start = min(each.started_at() for each in load.answered_after(at))
    print(f"time {name}: next start {next_start - at:.3f} s after the loss "
          "(target 2 s)", flush=True)
    requests = [each for each, _ in load.requests]
    require_whole(requests + [job])
    kept = [each for each in requests if each.path == OTHER_PATH] + [job]
    pairs = [(each, each.outcome()) for each in kept]
    require_same_answers(system, pairs)
    ended += pairs
    system.check_single_starts()
    return leader


def killed_leader(system, ended):
    """Guards against a killed leader that costs an answer or starts work
    twice."""
    leader = lose_leader(system, "killed_leader", ended,
                         lambda name: system[name].kill())
    system[leader].start()
    system.wait_ready()


def frozen_leader(system, ended):
    """Guards against a leader that comes back from a pause and acts on, or
    takes back, a term that has passed."""
    seen = {}

    def freeze(name):
        system[name].send(signal.SIGSTOP)
        frozen_at = time.monotonic()
        others = [each for each in system.listen if each != name]
        seen["leader"] = system.wait_leader(others)
        seen["term"] = system.status(seen["leader"])["term"]
        wait_until(lambda: time.monotonic() > frozen_at + 4, "the pause's end")
        system[name].send(signal.SIGCONT)

    frozen = lose_leader(system, "frozen_leader", ended, freeze)
    new = system.status(seen["leader"])

    def has_joined():
        status = system.status(frozen)
        return (status["leader"] == new["node"]
                and status["commit_index"] >= new["commit_index"])
    wait_until(has_joined, "the thawed replica follows the new leader")
    require(not system.status(frozen)["leading"], "the thawed replica leads")
    now = system.status(seen["leader"])
    require(now["leading"] and now["term"] == seen["term"],
            f"the new leader was unseated: {seen} then {now}")
    system.wait_ready()


def restarted_group(system, ended):
    """Guards against acceptances or configurations that a restart of the
    whole group loses."""
    before = get_json(system.operators["entry-1"], "/v1/configuration")
    for name in system.listen:
        system[name].send(signal.SIGKILL)
    for name in system.listen:
        system[name].child.wait(WAIT_S)
        system[name].start()
    system.wait_leader()
    system.wait_ready()
    for name in [*system.listen, "entry-1", "entry-2"]:
        wait_until(lambda: get_json(system.operators[name],
                                    "/v1/configuration") == before,
                   f"the same configuration at {name}")
    require_same_answers(system, ended)
    system.check_single_starts()


def emptied_disk(system, _):
    """Guards against a replica that votes with memory it has lost, and
    against a repair that does not give its vote back."""
    leader = system.wait_leader()
    lost, other = [name for name in system.listen if name != leader]
    old = system.status(lost)["node"]
    system[lost].kill()
    shutil.rmtree(os.path.join(system.folder, "data-" + lost))
    system[lost].start()
    new = wait_until(lambda: system.status(lost), "the replica's status")
    require(new["node"] != old, "the old identity on an empty disk")
    for name in system.listen:
        nodes = [each["node"] for each in system.status(name)["members"]]
        require(new["node"] not in nodes, f"a member according to {name}")
    require_whole([Request(path, 20).send(entry) for entry in system.entries()
                   for path in (IDEMPOTENT_PATH, OTHER_PATH)])
    code, text = system.ctl(system.operators["entry-1"], "replace-member", old,
                            "--new", system.operators[lost])
    require(code == 0, f"replace-member failed with {code}: {text}")
    members = {each["node"]: each["votes"]
               for each in system.status(leader)["members"]}
    require(len(members) == 3 and members.get(new["node"]) is True,
            f"members after the repair: {members}")
    # Only with the new member's vote is there a quorum without this one.
    system[other].kill()
    require_whole([Request(OTHER_PATH, 20).send(entry)
                   for entry in system.entries()])
    system[other].start()
    system.wait_ready()


def use_own_stand_in(system):
    """Gives the last endpoint agent a stand-in that no other agent calls."""
    name = f"endpoint-{ENDPOINT_AGENTS}"
    if system.last_target == system.alone:
        return name
    system[name].send(signal.SIGTERM)
    require(system[name].child.wait(WAIT_S) == 0, "exit code of " + name)
    system.add_endpoint(name, system.alone)
    system[name].start()
    system.wait_ready()
    return name


def killed_agent(system, _):
    """Guards against a second start of a request that may have run, and
    against an idempotent one that is not retried."""
    name = use_own_stand_in(system)
    before = {address: system.counts(address)["started"]
              for address in (system.shared, system.alone)}
    slots = ENDPOINT_AGENTS * ENDPOINT_SLOTS
    requests = [Request((IDEMPOTENT_PATH, OTHER_PATH)[number // 3 % 2], 1500)
                for number in range(slots)]
    with concurrent.futures.ThreadPoolExecutor(slots) as pool:
        sent = [pool.submit(each.send, system.entries()[number % 2])
                for number, each in enumerate(requests)]
        wait_until(lambda: system.counts(system.alone)["running"]
                   == ENDPOINT_SLOTS and system.counts(system.shared)["running"]
                   == slots - ENDPOINT_SLOTS, "every slot in use")
        system[name].kill()
        concurrent.futures.wait(sent)
    require_whole([each for each in requests if each.path == IDEMPOTENT_PATH])
    unknown = [each for each in requests if not each.is_whole()]
    require(0 < len(unknown) < ENDPOINT_SLOTS,
            f"{len(unknown)} requests without an answer of their own; both "
            "kinds must have been in progress")
    for each in unknown:
        require(each.error is None and each.verdict == "may_have_run",
                each.describe())
    again = [(each, each.outcome()) for each in unknown]
    require_same_answers(system, again)
    started = {address: system.counts(address)["started"] - number
               for address, number in before.items()}
    require(started[system.alone] == ENDPOINT_SLOTS
            and started[system.shared] == slots - len(unknown),
            f"starts {list(started.values())} with {len(unknown)} unknown")
    system.check_single_starts()
    system[name].start()
    system.wait_ready()


def stop_under_load(system, name, during=lambda: None):
    """Stops a process with SIGTERM under load and starts it again."""
    job = Job(40, 300)
    job_entry = "entry-1"
    total = lambda: sum(system.counts(address)["started"]
                        for address in (system.shared, system.alone))
    before = total()
    with Load(system.entries(), (OTHER_PATH,)) as load, \
            concurrent.futures.ThreadPoolExecutor(1) as pool:
        wait_until(lambda: len(load.answered_after(0)) > 10, "load runs")
        sent = pool.submit(job.send, system.operators[job_entry])
        wait_until(lambda: system.counts(system.workers)["running"] > 0,
                   "the job runs")
        at = time.monotonic()
        system[name].send(signal.SIGTERM)
        during()
        code = system[name].child.wait(WAIT_S)
        ended_at = time.monotonic()
        wait_until(lambda: len(load.answered_after(ended_at)) > 5,
                   "answers after the stop")
        sent.result()
    print(f"time stopped_{name}: exit after {ended_at - at:.3f} s", flush=True)
    require(code == 0, f"{name} exited with {code}")
    # A stopped entry refuses what it gets after the signal.
    stopped = system.callers.get(name)
    refused = [each for each, entry in load.requests if entry == stopped
               and each.sent_at > at and not each.is_whole()]
    for each in refused:
        require(each.error is not None or each.verdict == "not_run",
                each.describe())
    whole = [each for each, _ in load.requests if each not in refused]
    require_whole(whole + [job])
    require(total() - before == len(whole),
            f"{total() - before} starts of {len(whole)} requests")
    system.check_single_starts()
    system[name].start()
    system.wait_ready()


def stopped_roles(system, _):
    """Guards against a planned stop that interrupts work, and against work
    for an endpoint that is leaving."""
    leader = system.wait_leader()
    stop_under_load(system, leader)
    leader = system.wait_leader()
    stop_under_load(system, next(name for name in system.listen
                                 if name != leader))
    stop_under_load(system, "entry-2")
    stop_under_load(system, "worker-1")
    name = use_own_stand_in(system)
    seen = {}

    def leaving():
        def is_leaving():
            if not system[name].is_running():
                return True
            return exchange(system.operators[name], "GET", "/ready")[0] != 200
        wait_until(is_leaving, "the agent leaves")
        seen["started"] = system.counts(system.alone)["started"]
        system[name].child.wait(WAIT_S)
        ended_at = time.monotonic()
        wait_until(lambda: time.monotonic() > ended_at + 0.5, "more load")
        seen["afterwards"] = system.counts(system.alone)["started"]
    stop_under_load(system, name, leaving)
    require(seen["started"] > 0 and seen["started"] == seen["afterwards"],
            f"starts at an endpoint whose agent stops: {seen}")


def racing_operators(system, _):
    """Guards against two changes from one version, a resend that is carried
    out again and a process that stays behind."""
    operators = [system.operators["entry-1"], system.operators["entry-2"]]
    version = get_json(operators[0], "/v1/configuration")["version"]
    changes = [json.dumps(configuration(f"race-{number}", version, number))
               for number in (1, 2)]

    def put(number):
        status, headers, body = exchange(operators[number], "PUT",
                                         "/v1/configuration", changes[number])
        return (status, headers["Hickorylatch-Verdict"],
                headers["Hickorylatch-Reason"], json.loads(body))
    at = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        first = list(pool.map(put, (0, 1)))
    won = [each for each in first if each[0] == 200]
    lost = [each for each in first if each[2] == "version_conflict"]
    require(len(won) == 1 and len(lost) == 1, f"outcomes {first}")
    new = won[0][3]["version"]
    require(new > version, f"version {version} then {new}")

    def version_of(name):
        text = exchange(system.operators[name], "GET", "/metrics")[2].decode()
        lines = [line.split() for line in text.splitlines()]
        return [int(float(line[1])) for line in lines if line
                and line[0] == "hickorylatch_configuration_version"] == [new]
    wait_until(lambda: all(map(version_of, system.roles())),
               f"version {new} in the metrics of every process", 5)
    print(f"time racing_operators: in force everywhere after "
          f"{time.monotonic() - at:.3f} s (target 5 s)", flush=True)
    again = list(map(put, (0, 1)))
    require(again == first, f"resends {again}, first {first}")
    require(get_json(operators[0], "/v1/configuration")["version"] == new,
            "a resend made a version")


def garbage(system, _):
    """Guards against input that ends a process or blocks its ports."""
    source = random.Random(1)
    pieces = [source.randbytes(2000), b"\xff\xff\xff\xff" + bytes(100),
              b"\x00\x00\x00\x10" + source.randbytes(16),
              b"POST /v1/jobs HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
              b"GET " + b"/" * 100000, b"\r\n\r\n\x00"]
    ports = [*system.listen.values(), *system.callers.values(),
             *system.operators.values()]
    pids = {name: system[name].child.pid for name in system.roles()}
    for address in ports:
        host, port = address.rsplit(":", 1)
        for piece in pieces:
            # The process may close the connection before all is sent.
            with socket.create_connection((host, int(port)), 5) as sender, \
                    contextlib.suppress(OSError):
                sender.sendall(piece)
                sender.shutdown(socket.SHUT_WR)
    for name, pid in pids.items():
        wait_until(lambda: exchange(system.operators[name], "GET",
                                    "/health")[0] == 200, f"health of {name}")
        require(system[name].is_running() and system[name].child.pid == pid,
                f"{name} ended")
    system.wait_ready()
    works = [Request(path, 20).send(entry) for entry in system.entries()
             for path in (IDEMPOTENT_PATH, OTHER_PATH)]
    require_whole(works + [Job(4, 20).send(system.operators["entry-1"])])


CHECKS = [killed_leader, frozen_leader, restarted_group, emptied_disk,
          killed_agent, stopped_roles, racing_operators, garbage]


def run_checks(program, checks):
    """Runs checks in one deployment up to the first that fails; returns those
    that are left and whether one failed."""
    folder = tempfile.mkdtemp(prefix="hickorylatch-")
    system = Deployment(program, folder)
    ended = []
    left = list(checks)
    name = "start"
    try:
        system.start()
        while left:
            check = left.pop(0)
            name = check.__name__
            check_at = time.monotonic()
            check(system, ended)
            print(f"ok {name} ({time.monotonic() - check_at:.1f} s)",
                  flush=True)
        return left, False
    except Exception:  # Whatever it is, the logs of the processes are needed.
        print(f"FAILED {name}: {traceback.format_exc()}")
        for process in system.processes.values():
            print(f"-- {process.name}, "
                  f"{'running' if process.is_running() else 'not running'}")
            print("\n".join(process.last_lines()), flush=True)
        return left, True
    finally:
        system.end()
        shutil.rmtree(folder, ignore_errors=True)


def main():
    if len(sys.argv) < 2:
        sys.exit("usage: process_faults.py PROGRAM [CHECK...]")
    started_at = time.monotonic()
    names = sys.argv[2:]
    left = [each for each in CHECKS if not names or each.__name__ in names]
    has_failed = not left
    while left:
        left, failed = run_checks(os.path.abspath(sys.argv[1]), left)
        has_failed = has_failed or failed
    print(f"whole run {time.monotonic() - started_at:.1f} s")
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
