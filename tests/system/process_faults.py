#!/usr/bin/env python3
"""Injects faults into the processes of a deployment on loopback.

Usage: process_faults.py PROGRAM [CHECK...]

Starts a deployment with emulated endpoints and workers, kills, stops and
suspends its processes and sends them malformed input, and checks what callers
and operators observe. Prints "ok NAME" for each check and the measured times;
exits with 1 on a failure. After a failed check the remaining ones run in a new
deployment.
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
# Longer than the service's deadline, so that the entry answers before the
# timeout.
CALL_TIMEOUT_S = 20
WAIT_S = 15
PRINTED_LOG_LINES = 15


class CheckFailed(Exception):
    pass


def require(condition, message):
    if not condition:
        raise CheckFailed(message)


def wait_until(condition, description, timeout_s=WAIT_S):
    """Polls the condition and returns its first true value."""
    end = time.monotonic() + timeout_s
    while True:
        try:
            value = condition()
        except (OSError, http.client.HTTPException, ValueError):
            value = None
        if value:
            return value
        if time.monotonic() > end:
            raise CheckFailed(f"not within {timeout_s} s: {description}")
        time.sleep(0.02)


def free_addresses(number):
    """Returns loopback addresses with ports that the kernel chose."""
    with contextlib.ExitStack() as stack:
        sockets = []
        for _ in range(number):
            each = stack.enter_context(socket.socket())
            each.bind(("127.0.0.1", 0))
            sockets.append(each)
        return [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]


def exchange(address, method, path, body=None, headers=None):
    """Sends an HTTP request; returns the answer's status, headers and body."""
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
    """A process of the deployment and its output file."""

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

    def send_signal(self, signal_number):
        os.kill(self.child.pid, signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.child.wait(WAIT_S)

    def kill_if_running(self):
        """Kills the process if it runs or is suspended."""
        if self.is_running():
            self.kill()

    def last_lines(self):
        if not os.path.exists(self.log):
            return []
        with open(self.log, errors="replace") as lines:
            return lines.read().splitlines()[-PRINTED_LOG_LINES:]


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
        """Sends or resends the request through an entry."""
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
        """Start time, computed from the run time in the answer of the
        emulator."""
        return self.answered_at - json.loads(self.answer)["run_us"] / 1e6

    def has_correct_answer(self):
        """Whether the request ran and the answer belongs to its content."""
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
    """A job submitted by an operator and its answer."""

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

    def has_correct_answer(self):
        return (self.error is None and self.answer["verdict"] == "ran"
                and len(self.answer["answers"]) == self.tasks
                and all(each["succeeded"] for each in self.answer["answers"]))

    def describe(self):
        return f"job: error {self.error} answer {str(self.answer)[:300]}"


class Load:
    """Sends a request every 40 ms, to the paths and through the entries in
    turn, until the with block ends, and then waits until every request has been
    answered or has failed."""

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
        """Requests that were sent after a moment and answered correctly."""
        return [each for each, _ in list(self.requests)
                if each.answered_at and each.sent_at > moment
                and each.has_correct_answer()]

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
        self.shared_endpoint, self.dedicated_endpoint, self.worker_target = (
            next(addresses) for _ in range(3))
        self.add("emulator", [program, "emulate", "--slots", "64",
                              self.shared_endpoint, self.dedicated_endpoint,
                              self.worker_target])
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
            self.add_endpoint(f"endpoint-{number}", self.shared_endpoint)
        for name in ("worker-1", "worker-2"):
            self.operators[name] = next(addresses)
            self.add_role(name, {"agent": {
                "kind": "worker", "target_address": self.worker_target,
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
        self.last_endpoint_target = target
        self.add_role(name, {"agent": {
            "kind": "endpoint", "service": SERVICE, "target_address": target,
            "operators_address": self.operators[name],
            "slots": ENDPOINT_SLOTS}})

    def __getitem__(self, name):
        return self.processes[name]

    def entries(self):
        return list(self.callers.values())

    def roles(self):
        return [name for name in self.processes if name != "emulator"]

    def ctl(self, address, *arguments):
        done = subprocess.run(
            [self.program, "ctl", "--address", address, *arguments],
            capture_output=True, text=True, timeout=60)
        return done.returncode, done.stdout + done.stderr

    def status(self, name):
        return get_json(self.operators[name], "/v1/status")

    def leader(self, among=None):
        """Name of the control replica that leads, or None."""
        for name in among or self.listen:
            with contextlib.suppress(OSError, ValueError,
                                     http.client.HTTPException):
                if self[name].is_running() and self.status(name)["leading"]:
                    return name
        return None

    def wait_for_leader(self, among=None):
        return wait_until(lambda: self.leader(among), "a leader")

    def wait_ready(self):
        """Waits until every process is ready and every agent is announced."""
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
        for address in (self.shared_endpoint, self.dedicated_endpoint,
                        self.worker_target):
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
                   "the control group is founded")
        path = os.path.join(self.folder, "configuration.json")
        with open(path, "w") as out:
            json.dump(configuration("first", 0, 10), out)
        wait_until(lambda: self.ctl(self.operators["entry-1"], "configure",
                                    path)[0] == 0,
                   "the configuration is in force")
        self.wait_ready()

    def stop(self):
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.kill_if_running()


def configuration(request_id, expected_version, quota):
    return {"schema_version": 2, "request_id": request_id,
            "expected_version": expected_version,
            "customers": [{"name": CUSTOMER, "account_manager": "Aina Rahman",
                           "priority": 6, "quota": 100000 + quota}],
            "services": [{"name": SERVICE,
                          "idempotent_paths": ["/" + IDEMPOTENT_PATH],
                          "default_deadline_ms": 12000}],
            "drained": []}


def require_correct_answers(submissions):
    wrong = [each.describe() for each in submissions
             if not each.has_correct_answer()]
    require(not wrong, f"{len(wrong)} of {len(submissions)} without the "
            "correct answer: " + "; ".join(wrong[:8]))


def require_same_answers(system, recorded):
    """Resends ended submissions and compares the outcomes."""
    for submission, before in recorded:
        is_job = isinstance(submission, Job)
        submission.send(system.operators["entry-2"] if is_job
                        else system.callers["entry-2"])
        require(submission.outcome() == before,
                f"different outcome of a resend: {before} then "
                f"{submission.describe()}")


def disturb_leader(system, name, recorded, disturb):
    """Disturbs the leader under load and measures the time until the next
    request starts."""
    job = Job(40, 400)
    with Load(system.entries()) as load, \
            concurrent.futures.ThreadPoolExecutor(1) as pool:
        wait_until(lambda: len(load.answered_after(0)) > 10,
                   "answers under load")
        sent = pool.submit(job.send, system.operators["entry-1"])
        wait_until(lambda: system.counts(system.worker_target)["running"] > 0,
                   "the job runs")
        leader = system.wait_for_leader()
        disturbed_at = time.monotonic()
        disturb(leader)
        wait_until(lambda: len(load.answered_after(disturbed_at)) > 5,
                   "answers after the loss of the leader")
        sent.result()
    next_start = min(each.started_at()
                     for each in load.answered_after(disturbed_at))
    print(f"time {name}: next start {next_start - disturbed_at:.3f} s after "
          "the loss (target 2 s)", flush=True)
    requests = [each for each, _ in load.requests]
    require_correct_answers(requests + [job])
    non_idempotent = [each for each in requests
                      if each.path == OTHER_PATH] + [job]
    pairs = [(each, each.outcome()) for each in non_idempotent]
    require_same_answers(system, pairs)
    recorded += pairs
    system.check_single_starts()
    return leader


def killed_leader(system, recorded):
    """Guards against lost answers and repeated starts after the leader is
    killed."""
    leader = disturb_leader(system, "killed_leader", recorded,
                            lambda name: system[name].kill())
    system[leader].start()
    system.wait_ready()


def frozen_leader(system, recorded):
    """Guards against a leader that, resumed after a suspension, acts in its
    former term or displaces the new leader."""
    seen = {}

    def freeze(name):
        system[name].send_signal(signal.SIGSTOP)
        frozen_at = time.monotonic()
        others = [each for each in system.listen if each != name]
        seen["leader"] = system.wait_for_leader(others)
        seen["term"] = system.status(seen["leader"])["term"]
        wait_until(lambda: time.monotonic() > frozen_at + 4,
                   "the end of the suspension")
        system[name].send_signal(signal.SIGCONT)

    frozen = disturb_leader(system, "frozen_leader", recorded, freeze)
    new = system.status(seen["leader"])

    def follows_new_leader():
        status = system.status(frozen)
        return (status["leader"] == new["node"]
                and status["commit_index"] >= new["commit_index"])
    wait_until(follows_new_leader, "the resumed replica follows the new leader")
    require(not system.status(frozen)["leading"], "the resumed replica leads")
    now = system.status(seen["leader"])
    require(now["leading"] and now["term"] == seen["term"],
            f"the new leader lost its leadership: {seen} then {now}")
    system.wait_ready()


def restarted_group(system, recorded):
    """Guards against the loss of accepted submissions or of the configuration
    when the whole control group is killed and restarted."""
    before = get_json(system.operators["entry-1"], "/v1/configuration")
    for name in system.listen:
        system[name].send_signal(signal.SIGKILL)
    for name in system.listen:
        system[name].child.wait(WAIT_S)
        system[name].start()
    system.wait_for_leader()
    system.wait_ready()
    for name in [*system.listen, "entry-1", "entry-2"]:
        wait_until(lambda: get_json(system.operators[name],
                                    "/v1/configuration") == before,
                   f"the same configuration at {name}")
    require_same_answers(system, recorded)
    system.check_single_starts()


def emptied_disk(system, _):
    """Guards against a replica that votes after it has lost its data, and
    against a replacement that does not become a voter."""
    leader = system.wait_for_leader()
    lost, other = [name for name in system.listen if name != leader]
    old = system.status(lost)["node"]
    system[lost].kill()
    shutil.rmtree(os.path.join(system.folder, "data-" + lost))
    system[lost].start()
    new = wait_until(lambda: system.status(lost), "the replica's status")
    require(new["node"] != old, "the old identity with an empty data folder")
    for name in system.listen:
        nodes = [each["node"] for each in system.status(name)["members"]]
        require(new["node"] not in nodes,
                f"{name} lists the emptied replica as a member")
    require_correct_answers([Request(path, 20).send(entry)
                             for entry in system.entries()
                             for path in (IDEMPOTENT_PATH, OTHER_PATH)])
    code, text = system.ctl(system.operators["entry-1"], "replace-member", old,
                            "--new", system.operators[lost])
    require(code == 0, f"replace-member failed with {code}: {text}")
    members = {each["node"]: each["votes"]
               for each in system.status(leader)["members"]}
    require(len(members) == 3 and members.get(new["node"]) is True,
            f"members after the replacement: {members}")
    # Without this replica, a quorum needs the vote of the new member.
    system[other].kill()
    require_correct_answers([Request(OTHER_PATH, 20).send(entry)
                             for entry in system.entries()])
    system[other].start()
    system.wait_ready()


def use_dedicated_endpoint(system):
    """Points the last endpoint agent at an emulated endpoint that no other
    agent calls."""
    name = f"endpoint-{ENDPOINT_AGENTS}"
    if system.last_endpoint_target == system.dedicated_endpoint:
        return name
    system[name].send_signal(signal.SIGTERM)
    require(system[name].child.wait(WAIT_S) == 0, "exit code of " + name)
    system.add_endpoint(name, system.dedicated_endpoint)
    system[name].start()
    system.wait_ready()
    return name


def killed_agent(system, _):
    """Guards against a second start of a non-idempotent request that may have
    run, and against an idempotent request that is not retried."""
    name = use_dedicated_endpoint(system)
    before = {address: system.counts(address)["started"]
              for address in (system.shared_endpoint,
                              system.dedicated_endpoint)}
    slots = ENDPOINT_AGENTS * ENDPOINT_SLOTS
    requests = [Request((IDEMPOTENT_PATH, OTHER_PATH)[number // 3 % 2], 1500)
                for number in range(slots)]
    with concurrent.futures.ThreadPoolExecutor(slots) as pool:
        sent = [pool.submit(each.send, system.entries()[number % 2])
                for number, each in enumerate(requests)]
        wait_until(lambda: system.counts(system.dedicated_endpoint)["running"]
                   == ENDPOINT_SLOTS
                   and system.counts(system.shared_endpoint)["running"]
                   == slots - ENDPOINT_SLOTS, "every slot is in use")
        system[name].kill()
        concurrent.futures.wait(sent)
    require_correct_answers([each for each in requests
                             if each.path == IDEMPOTENT_PATH])
    unknown = [each for each in requests if not each.has_correct_answer()]
    require(0 < len(unknown) < ENDPOINT_SLOTS,
            f"{len(unknown)} requests without a correct answer; idempotent "
            "and other requests must have been in progress")
    for each in unknown:
        require(each.error is None and each.verdict == "may_have_run",
                each.describe())
    unknown_outcomes = [(each, each.outcome()) for each in unknown]
    require_same_answers(system, unknown_outcomes)
    started = {address: system.counts(address)["started"] - number
               for address, number in before.items()}
    require(started[system.dedicated_endpoint] == ENDPOINT_SLOTS
            and started[system.shared_endpoint] == slots - len(unknown),
            f"starts {list(started.values())} with {len(unknown)} unknown")
    system.check_single_starts()
    system[name].start()
    system.wait_ready()


def stop_under_load(system, name, while_stopping=lambda: None):
    """Stops a process with SIGTERM under load and starts it again; calls
    `while_stopping` after the signal."""
    job = Job(40, 300)
    job_entry = "entry-1"
    total_starts = lambda: sum(
        system.counts(address)["started"]
        for address in (system.shared_endpoint, system.dedicated_endpoint))
    before = total_starts()
    with Load(system.entries(), (OTHER_PATH,)) as load, \
            concurrent.futures.ThreadPoolExecutor(1) as pool:
        wait_until(lambda: len(load.answered_after(0)) > 10,
                   "answers under load")
        sent = pool.submit(job.send, system.operators[job_entry])
        wait_until(lambda: system.counts(system.worker_target)["running"] > 0,
                   "the job runs")
        signalled_at = time.monotonic()
        system[name].send_signal(signal.SIGTERM)
        while_stopping()
        code = system[name].child.wait(WAIT_S)
        ended_at = time.monotonic()
        wait_until(lambda: len(load.answered_after(ended_at)) > 5,
                   "answers after the stop")
        sent.result()
    print(f"time stopped_{name}: exit after "
          f"{ended_at - signalled_at:.3f} s", flush=True)
    require(code == 0, f"{name} exited with {code}")
    # An entry refuses the requests that arrive after the signal.
    stopped = system.callers.get(name)
    refused = [each for each, entry in load.requests if entry == stopped
               and each.sent_at > signalled_at
               and not each.has_correct_answer()]
    for each in refused:
        require(each.error is not None or each.verdict == "not_run",
                each.describe())
    accepted_requests = [each for each, _ in load.requests
                         if each not in refused]
    require_correct_answers(accepted_requests + [job])
    require(total_starts() - before == len(accepted_requests),
            f"{total_starts() - before} starts for "
            f"{len(accepted_requests)} requests")
    system.check_single_starts()
    system[name].start()
    system.wait_ready()


def stopped_roles(system, _):
    """Guards against planned stops that interrupt requests or jobs, and
    against starts at an endpoint whose agent is stopping."""
    leader = system.wait_for_leader()
    stop_under_load(system, leader)
    leader = system.wait_for_leader()
    stop_under_load(system, next(name for name in system.listen
                                 if name != leader))
    stop_under_load(system, "entry-2")
    stop_under_load(system, "worker-1")
    name = use_dedicated_endpoint(system)
    seen = {}

    def watch_leaving():
        def is_stopping():
            if not system[name].is_running():
                return True
            return exchange(system.operators[name], "GET", "/ready")[0] != 200
        wait_until(is_stopping, "the agent is not ready")
        seen["started"] = system.counts(system.dedicated_endpoint)["started"]
        system[name].child.wait(WAIT_S)
        ended_at = time.monotonic()
        wait_until(lambda: time.monotonic() > ended_at + 0.5,
                   "more requests are sent")
        seen["afterwards"] = system.counts(system.dedicated_endpoint)["started"]
    stop_under_load(system, name, watch_leaving)
    require(seen["started"] > 0 and seen["started"] == seen["afterwards"],
            f"starts at an endpoint whose agent is stopping: {seen}")


def racing_operators(system, _):
    """Guards against two concurrent changes of the same version that both
    succeed, a resent change that is applied again and a process that keeps an
    old configuration."""
    operators = [system.operators["entry-1"], system.operators["entry-2"]]
    version = get_json(operators[0], "/v1/configuration")["version"]
    changes = [json.dumps(configuration(f"race-{number}", version, number))
               for number in (1, 2)]

    def put_configuration(number):
        status, headers, body = exchange(operators[number], "PUT",
                                         "/v1/configuration", changes[number])
        return (status, headers["Hickorylatch-Verdict"],
                headers["Hickorylatch-Reason"], json.loads(body))
    sent_at = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        first = list(pool.map(put_configuration, (0, 1)))
    accepted = [each for each in first if each[0] == 200]
    rejected = [each for each in first if each[2] == "version_conflict"]
    require(len(accepted) == 1 and len(rejected) == 1, f"outcomes {first}")
    new = accepted[0][3]["version"]
    require(new > version, f"version {version} then {new}")

    def has_new_version(name):
        return metric(system.operators[name],
                      "hickorylatch_configuration_version") == [new]
    wait_until(lambda: all(map(has_new_version, system.roles())),
               f"version {new} in the metrics of every process", 5)
    print(f"time racing_operators: in force everywhere after "
          f"{time.monotonic() - sent_at:.3f} s (target 5 s)", flush=True)
    resent = list(map(put_configuration, (0, 1)))
    require(resent == first, f"resends {resent}, first {first}")
    require(get_json(operators[0], "/v1/configuration")["version"] == new,
            "a resent change created a new version")


def metric(address, name):
    """Values of a metric without labels, at most one."""
    text = exchange(address, "GET", "/metrics")[2].decode()
    lines = [line.split() for line in text.splitlines()]
    return [int(float(line[1])) for line in lines if line and line[0] == name]


def evacuated_domain(system, _):
    """Guards against starts in an evacuated failure domain, against an
    evacuation that a loss of all control replicas undoes, and against requests
    that stay unanswered when the domain is restored."""
    entry = system.operators["entry-1"]

    def require_ctl(address, *arguments):
        code, text = system.ctl(address, *arguments)
        require(code == 0, f"ctl {arguments} failed with {code}: {text}")

    def shows(domains):
        return all(get_json(address, "/v1/evacuations")["failure_domains"]
                   == domains for address in
                   [entry, *(system.operators[each] for each in system.listen)])

    def agents_report(value):
        return all(metric(system.operators[name],
                          "hickorylatch_worker_evacuated") == [value]
                   for name in system.roles()
                   if name not in system.listen and name not in system.callers)
    follower = next(name for name in system.listen if name != system.leader())
    require_ctl(system.operators[follower], "evacuate", "Klang")
    index = system.status(system.wait_for_leader())["last_index"]
    require_ctl(entry, "evacuate", "Klang")
    status = system.status(system.wait_for_leader())
    require(status["last_index"] == index and
            status["evacuations"]["failure_domains"] == ["Klang"],
            f"after a repeated evacuation at {index}: {status}")
    wait_until(lambda: shows(["Klang"]) and agents_report(1),
               "the evacuation is known everywhere")
    for name in system.listen:
        system[name].kill()
    for name in system.listen:
        system[name].start()
    system.wait_for_leader()
    wait_until(lambda: shows(["Klang"]), "the evacuation after a restart")
    wait_until(lambda: {each["state"] for each in
                        get_json(entry, "/v1/agents")["agents"]}
               == {"evacuated"}, "all agents are shown as evacuated")
    wait_until(lambda: all(exchange(system.operators[name], "GET", "/ready")[0]
                           == 200 for name in system.callers), "entries ready")
    started = lambda: sum(system.counts(address)["started"]
                          for address in (system.shared_endpoint,
                                          system.dedicated_endpoint))
    before = started()
    requests = [Request(OTHER_PATH, 20) for _ in range(4)]
    with concurrent.futures.ThreadPoolExecutor(len(requests)) as pool:
        sent = [pool.submit(each.send, system.entries()[number % 2])
                for number, each in enumerate(requests)]
        wait_until(lambda: system.status(system.wait_for_leader())["live"]
                   == len(requests), "the requests wait at the leader")
        require(started() == before, "starts in an evacuated domain")
        require_ctl(entry, "restore", "Klang")
        concurrent.futures.wait(sent)
    require_correct_answers(requests)
    wait_until(lambda: shows([]) and agents_report(0),
               "the restoration is known everywhere")
    code, text = system.ctl(entry, "evacuate", "K" * 129)
    require(code == 1 and "failure_domain" in text,
            f"a name that is too long: {code} {text}")
    system.wait_ready()


def waiting_evacuation(system, _):
    """Guards against an evacuation that waits in the connection to a frozen
    replica and is carried out when it wakes: its operator may have given up
    and sent the opposite command elsewhere."""
    leader = system.wait_for_leader()
    frozen = next(name for name in system.listen if name != leader)
    host, port = system.operators[frozen].rsplit(":", 1)
    record = json.dumps({"schema_version": 1, "request_id": "waiting",
                         "failure_domain": "Klang", "evacuated": True})
    connection = http.client.HTTPConnection(host, int(port), WAIT_S)
    system[frozen].send_signal(signal.SIGSTOP)
    try:
        connection.request("POST", "/v1/evacuations", record)
        frozen_at = time.monotonic()
        wait_until(lambda: time.monotonic() > frozen_at + 1.5,
                   "the operator gives up")
        for action in ("evacuate", "restore"):
            code, text = system.ctl(system.operators[leader], action, "Klang")
            require(code == 0, f"ctl {action} failed with {code}: {text}")
    finally:
        system[frozen].send_signal(signal.SIGCONT)
    # The connection stays open, as after a loss of the operator's machine.
    status = connection.getresponse().status
    connection.close()
    require(status == 503, f"the old command was answered {status}")
    system.wait_ready()

    def evacuated(name):
        shown = get_json(system.operators[name], "/v1/evacuations")
        return shown["failure_domains"]

    def has_caught_up():
        last = system.status(system.wait_for_leader())["commit_index"]
        return all(system.status(name)["commit_index"] >= last
                   for name in system.listen)
    wait_until(has_caught_up, "all replicas have the whole log")
    shown = {name: evacuated(name) for name in system.listen}
    require(not any(shown.values()), f"the old command was executed: {shown}")


def malformed_input(system, _):
    """Guards against malformed input that terminates a process or blocks its
    ports."""
    rng = random.Random(1)
    payloads = [rng.randbytes(2000), b"\xff\xff\xff\xff" + bytes(100),
                b"\x00\x00\x00\x10" + rng.randbytes(16),
                b"POST /v1/jobs HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                b"GET " + b"/" * 100000, b"\r\n\r\n\x00"]
    addresses = [*system.listen.values(), *system.callers.values(),
                 *system.operators.values()]
    pids = {name: system[name].child.pid for name in system.roles()}
    for address in addresses:
        host, port = address.rsplit(":", 1)
        for payload in payloads:
            # The process may close the connection before everything is sent.
            with socket.create_connection((host, int(port)), 5) as sender, \
                    contextlib.suppress(OSError):
                sender.sendall(payload)
                sender.shutdown(socket.SHUT_WR)
    for name, pid in pids.items():
        wait_until(lambda: exchange(system.operators[name], "GET",
                                    "/health")[0] == 200, f"health of {name}")
        require(system[name].is_running() and system[name].child.pid == pid,
                f"{name} ended")
    system.wait_ready()
    submissions = [Request(path, 20).send(entry) for entry in system.entries()
                   for path in (IDEMPOTENT_PATH, OTHER_PATH)]
    require_correct_answers(
        submissions + [Job(4, 20).send(system.operators["entry-1"])])


CHECKS = [killed_leader, frozen_leader, restarted_group, emptied_disk,
          killed_agent, stopped_roles, racing_operators, evacuated_domain,
          waiting_evacuation, malformed_input]


def run_checks(program, checks):
    """Runs checks in one deployment up to the first failure; returns the
    remaining checks and whether one failed."""
    folder = tempfile.mkdtemp(prefix="hickorylatch-")
    system = Deployment(program, folder)
    recorded = []
    remaining = list(checks)
    name = "start"
    try:
        system.start()
        while remaining:
            check = remaining.pop(0)
            name = check.__name__
            check_at = time.monotonic()
            check(system, recorded)
            print(f"ok {name} ({time.monotonic() - check_at:.1f} s)",
                  flush=True)
        return remaining, False
    except Exception:  # Any failure prints the logs of the processes.
        print(f"FAILED {name}: {traceback.format_exc()}")
        for process in system.processes.values():
            print(f"-- {process.name}, "
                  f"{'running' if process.is_running() else 'not running'}")
            print("\n".join(process.last_lines()), flush=True)
        return remaining, True
    finally:
        system.stop()
        shutil.rmtree(folder, ignore_errors=True)


def main():
    if len(sys.argv) < 2:
        sys.exit("usage: process_faults.py PROGRAM [CHECK...]")
    started_at = time.monotonic()
    names = sys.argv[2:]
    remaining = [each for each in CHECKS if not names or each.__name__ in names]
    has_failed = not remaining
    while remaining:
        remaining, failed = run_checks(os.path.abspath(sys.argv[1]), remaining)
        has_failed = has_failed or failed
    print(f"whole run {time.monotonic() - started_at:.1f} s")
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
