"""Checks what callers and workers observe against the guarantees, during the
run."""

import collections
import contextlib
import json
import time

# Bounds of the platform that the deployment's settings name.
DRAIN_LIMIT_S = 2.0
EVACUATE_LIMIT_S = 5.0
# Allowed beyond the bound: the time that a report takes from the worker to its
# agent.
REPORT_DELAY_S = 0.3


# Time after the answer to a cancellation during which a task of the job may
# still start.
CANCEL_LIMIT_S = 3.0
RUN_LIMIT = 3
NOT_RUN_STATUSES = (429, 503, 404)


class Job:
    def __init__(self, number, tasks, run_ms, millicores, is_durable):
        self.id = f"{number:016x}"
        self.is_durable = is_durable
        self.tasks = tasks
        self.run_ms = run_ms
        self.millicores = millicores
        self.spec = json.dumps({"job": self.id, "ms": run_ms})
        self.start_count = 0
        self.completed_tasks = collections.Counter()
        # Status of the answer to each attempt, or None if none arrived.
        self.answer_statuses = []
        self.is_submitting = True
        # For durable jobs only.
        self.is_accepted = False
        self.state = None
        self.cancelled_at = None
        self.failures = collections.Counter()

    def body(self):
        body = {"spec": self.spec, "phases": [
            {"count": self.tasks, "cpu": self.millicores, "memMb": 64,
             "estimatedMs": self.run_ms}]}
        if not self.is_durable:
            body["bestEffort"] = True
        return json.dumps(body).encode()

    def was_refused(self):
        return not self.is_submitting and bool(self.answer_statuses) and all(
            status in NOT_RUN_STATUSES for status in self.answer_statuses)


class RunEnd:
    """The end of a run, as its worker reports it."""

    def __init__(self, worker, run, outcome):
        self.worker = worker
        self.task = run["task"]
        self.outcome = outcome
        self.ended_at = time.monotonic()
        self.is_acknowledged = False
        # Workers that started the task afterwards: violations if the end is
        # acknowledged.
        self.later_starts = []


class Checker:
    """Tracks all jobs, runs and configurations and records every violated
    guarantee."""

    def __init__(self):
        self.jobs = {}
        self.violations = []
        self.active_runs = collections.defaultdict(dict)
        self.acknowledged_versions = []
        # Failure domains with the time of the acknowledged evacuation.
        self.evacuated_at = {}
        # Faults in progress that may separate agents from the control group,
        # and the end of the last one.
        self.separations = 0
        self.separation_ended_at = 0.0
        # Successful ends of the tasks of durable jobs.
        self.done_ends = collections.defaultdict(list)
        self.counts = collections.Counter()
        # True while the only disturbances are planned stops and configuration
        # changes.
        self.has_only_planned_stops = False

    def report_violation(self, text):
        self.violations.append((time.monotonic(), text))

    def add_job(self, job):
        self.jobs[job.id] = job

    # Workers.

    def run_started(self, worker, run, spec):
        self.counts["starts"] += 1
        task = run["task"]
        job = self.jobs.get(task.split(".")[0])
        if job is None or job.spec != spec:
            self.report_violation(f"UNASKED {task} at {worker.name}")
            return {"ms": 1}
        if job.was_refused():
            self.report_violation(
                f"REFUSED {task} started after {job.answer_statuses}")
        job.start_count += 1
        other_workers = [name for name in self.active_runs[task]
                         if name != worker.name]
        if other_workers:
            self.report_violation(f"TWICE {task} at {worker.name} while it "
                                  f"runs at {other_workers}")
        self.active_runs[task][worker.name] = run
        if job.is_durable:
            self.check_durable_start(worker, job, task)
        used = job.millicores + sum(self.millicores_of(each) for each in
                                    worker.running.values())
        if used > worker.capacity:
            self.report_violation(
                f"LIMIT {worker.name} {used} of {worker.capacity} millicores")
        drain_reported_at = worker.drain_reported_at
        if drain_reported_at is not None and \
                time.monotonic() > \
                drain_reported_at + DRAIN_LIMIT_S + REPORT_DELAY_S:
            self.report_violation(f"DRAIN {task} at {worker.name}")
        self.check_evacuation(worker, task)
        return json.loads(spec)

    def check_evacuation(self, worker, task):
        evacuated_at = self.evacuated_at.get(worker.failure_domain)
        if evacuated_at is None or self.separations:
            return
        if time.monotonic() > EVACUATE_LIMIT_S + max(evacuated_at,
                                                     self.separation_ended_at):
            self.report_violation(f"EVACUATED {task} at {worker.name} in "
                                  f"{worker.failure_domain}")

    @contextlib.contextmanager
    def separation(self):
        """A fault during which agents may have no contact with the control
        group. They then need not know of an evacuation."""
        self.separations += 1
        try:
            yield
        finally:
            self.separations -= 1
            self.separation_ended_at = time.monotonic()

    def check_durable_start(self, worker, job, task):
        for end in self.done_ends[task]:
            end.later_starts.append(worker.name)
            if end.is_acknowledged:
                self.report_violation(f"TWICE {task} at {worker.name} after it "
                                      f"was done at {end.worker.name}")
        if job.failures[task] >= RUN_LIMIT:
            self.report_violation(f"BUDGET {task} at {worker.name} after "
                                  f"{job.failures[task]} failures")
        if job.cancelled_at is not None and \
                time.monotonic() > job.cancelled_at + CANCEL_LIMIT_S:
            self.report_violation(f"UNASKED {task} at {worker.name} after the "
                                  "job was cancelled")

    def millicores_of(self, run):
        return self.jobs[run["task"].split(".")[0]].millicores

    def run_ended(self, worker, run, outcome):
        self.counts["run " + outcome] += 1
        self.active_runs[run["task"]].pop(worker.name, None)
        job = self.jobs[run["task"].split(".")[0]]
        end = RunEnd(worker, run, outcome)
        if outcome == "done":
            job.completed_tasks[run["task"]] += 1
            if job.is_durable:
                self.done_ends[run["task"]].append(end)
        return end

    def end_acknowledged(self, end, lapsed_at):
        """The agent acknowledged the end. The acknowledgement counts unless
        the worker's lease has lapsed since the end."""
        self.counts["ends acknowledged"] += 1
        if end.ended_at < lapsed_at:
            return
        end.is_acknowledged = True
        if end.outcome == "failed":
            self.jobs[end.task.split(".")[0]].failures[end.task] += 1
        if end.later_starts:
            self.report_violation(f"TWICE {end.task} started at "
                                  f"{end.later_starts} though it was done at "
                                  f"{end.worker.name}")

    # Callers.

    def request_answered(self, job, status, body):
        """A complete answer arrived."""
        self.counts[f"answer {status}"] += 1
        job.answer_statuses.append(status)
        if status == 200 and not job.is_durable:
            self.state_reported(job, json.loads(body).get("state"))
        elif status == 200:
            job.is_accepted = True
        elif status in NOT_RUN_STATUSES and job.start_count and \
                all(each in NOT_RUN_STATUSES for each in job.answer_statuses):
            self.report_violation(f"REFUSED {job.id} answered as not run after "
                                  f"{job.start_count} starts")

    def state_reported(self, job, state):
        """A client received the state of a job."""
        job.state = state
        if state == "completed" and len(job.completed_tasks) != job.tasks:
            self.report_violation(f"MIXED {job.id} completed with "
                                  f"{len(job.completed_tasks)} of {job.tasks} "
                                  "tasks done")

    def job_unknown(self, job):
        """A client received the answer that the job is unknown."""
        if job.is_accepted and job.cancelled_at is None:
            self.report_violation(f"LOST {job.id} is unknown")

    def check_all_ended(self):
        """Checks that every accepted durable job ended after the faults."""
        for job in self.jobs.values():
            if job.is_durable and job.is_accepted and \
                    job.cancelled_at is None and \
                    job.state not in ("completed", "failed"):
                self.report_violation(f"LOST {job.id} is {job.state}, "
                                      f"{len(job.completed_tasks)} of "
                                      f"{job.tasks} tasks done")
            if job.state == "failed" and job.is_durable and \
                    max(job.failures.values(), default=0) < RUN_LIMIT:
                self.report_violation(f"LOST {job.id} failed without a "
                                      "task that used up its runs")

    def request_unanswered(self, job, cause):
        self.counts["no answer: " + cause] += 1
        job.answer_statuses.append(None)
        if self.has_only_planned_stops:
            self.report_violation(f"LOST {job.id} without an answer during "
                                  f"planned stops: {cause}")

    # Operators.

    def evacuation_acknowledged(self, failure_domain):
        self.counts["evacuations"] += 1
        self.evacuated_at[failure_domain] = time.monotonic()

    def restoration_requested(self, failure_domain):
        """The restoration may be in force as soon as it is requested."""
        self.evacuated_at.pop(failure_domain, None)

    def version_acknowledged(self, version):
        self.acknowledged_versions.append((time.monotonic(), version))

    def configuration_read(self, replica, sent_at, version, bound_s):
        """A replica returned a configuration."""
        newest = max((each
                      for acknowledged_at, each in self.acknowledged_versions
                      if acknowledged_at + bound_s < sent_at), default=0)
        if version < newest:
            self.report_violation(f"CONFIG {replica} returned {version} after "
                                  f"{newest} was acknowledged")
